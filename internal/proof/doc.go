// Package proof drives a fleet as its callers do, records what they are told
// and compares that with the execution logs of stand-in backend servers. Tests
// use it to show that a request with an idempotency key runs at most once and
// that outcomes are truthful.
package proof
