// Package edge is the daemon that serves callers on a platform that registers
// backend servers itself. It reads requests, chooses a backend server for each
// attempt from the evidence that the daemons of its data centre share
// (core/balance, gossip), and forwards.
//
// Unlike package daemon it sends to backend servers directly, without a pool
// owner, and needs no idempotency keys: each request of a caller is an operation
// of its own, and one that is not idempotent is sent to a second server only if
// the first certainly did not run it.
package edge
