// Package pooltrial measures the pool's state machine in virtual time: an
// event-driven harness drives the real core packages with random arrivals and
// service times. Times are model times; network, CPU and the additional hop
// from entry to owner are not modelled.
package pooltrial
