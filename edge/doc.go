// Package edge implements the daemon for platforms that register backend servers
// themselves. It reads callers' requests, chooses a backend server for each attempt
// from the evidence that the daemons of its data centre share (packages core/balance
// and gossip), and forwards the request.
//
// Unlike package daemon, it sends requests to backend servers directly, without a
// pool owner, and needs no idempotency keys: each request of a caller is a separate
// operation. A request that is not idempotent is sent to a second server only if the
// first one certainly did not run it.
package edge
