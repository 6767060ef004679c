// Package cost estimates how long a backend server works for a request, from what is known
// before it is sent, and how long a request that is running goes on.
//
// An Estimator learns from the service times of finished requests in classes of growing
// detail: the service; the route, method and size of the body; the first path element below
// the prefix; the workspace. A class with few samples takes most of its estimate from the
// class above it. Remainders keeps the distribution of service times in relation to their
// estimates.
//
// The package has no clock, goroutines, locks or I/O: callers pass the time in and must
// serialise calls.
package cost
