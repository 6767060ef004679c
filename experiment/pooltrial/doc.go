// Package pooltrial measures the pool's state machine in virtual time. A
// discrete-event simulation drives the real core packages with random arrivals
// and service times. The network, the CPU and the extra hop from entry to owner
// are not modelled.
package pooltrial
