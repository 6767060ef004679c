// Package proof sends requests to a fleet, records the responses and compares
// them with the execution logs of stand-in backend servers. Tests use it to
// check that a request with an idempotency key runs at most once and that the
// reported outcomes are true.
package proof
