// Package entry serves callers: it matches the route, classifies the request,
// chooses a pool, passes the request to the pool's owner and returns the answer
// whole, or a typed failure.
package entry
