// Package adminapi defines the part of a daemon's admin endpoint that reports the
// state of the host and of the pools that it owns: two GET paths that return JSON.
// Daemons serve them with Handler; the operator service reads them.
package adminapi
