// Package admission decides, for one service as seen by one daemon, what happens to
// requests that servers reject while most servers of the service reject many attempts:
// which are held, when a held one is sent again, and which are refused.
//
// The first attempt of a request costs nothing; every further one is charged to the
// retry budget, which all daemons of a data centre share. While a service sheds, the
// budget covers only a part of the rejected requests. They are held, and the budget
// is spent evenly over time on those for which it serves most. First attempts show
// when the service accepts more again.
//
// The package has no clock, goroutines, locks or I/O: callers pass the time in and
// must serialise calls.
package admission
