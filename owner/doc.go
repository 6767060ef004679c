// Package owner runs the pools that this daemon owns. It carries out the decisions
// of core/pool at the backend servers, and keeps the idempotency keys that this
// process issued.
//
// Each pool has one goroutine, which handles events from a bounded ring buffer. A
// new request is refused if the ring is full; the end of an attempt waits until
// there is room.
package owner
