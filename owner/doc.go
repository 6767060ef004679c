// Package owner drives the pools that this daemon owns: it runs core/pool's
// decisions against real backend servers, and keeps the idempotency keys that
// this process issued.
//
// Each pool has one goroutine and a bounded ring of events. A new request that
// finds the ring full is refused; the end of an attempt waits for room.
package owner
