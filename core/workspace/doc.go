// Package workspace decides which workspace a request belongs to and whether its key is
// still accepted. It handles digests of keys only.
//
// The package has no clock, goroutines, locks or I/O: callers pass the time in and must
// serialise calls that change a value.
package workspace
