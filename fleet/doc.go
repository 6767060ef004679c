// Package fleet defines what daemons say to each other over HTTP on the fleet
// listener: forwarded requests, key issue and ping. Bodies are the callers'
// own, which is why this is HTTP and not JSON-RPC.
//
// Every request carries a MAC made with the fleet secret. The MAC covers the
// method, the path and the request ID; replaying a captured message can repeat
// only what is idempotent, since the rest needs an unspent idempotency key.
package fleet
