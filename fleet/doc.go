// Package fleet defines the HTTP messages between daemons on the fleet listener:
// forwarded requests, key issue, demand reports, server health and ping. Forwarded
// requests carry the callers' own bodies, which is why the protocol is HTTP and
// not JSON-RPC.
//
// Every request carries a MAC made with the fleet secret. The MAC covers the
// method, the path and the request ID. Replaying a captured message can repeat
// only idempotent operations, since all others need an unspent idempotency key.
package fleet
