// Package entry implements the HTTP handler for callers. It matches the route,
// classifies the request as idempotent or not, chooses a pool, forwards the
// request to the pool's owner and returns the complete response or a typed
// failure.
package entry
