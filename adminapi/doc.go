// Package adminapi defines what a daemon's admin endpoint answers about the
// host and the pools that it owns: two GET paths that return JSON. The operator
// service reads them; daemons serve them with Handler.
package adminapi
