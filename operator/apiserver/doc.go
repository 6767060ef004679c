// Package apiserver is the process usher-api: it reads the settings, connects
// the operator service to the object API and the fleet, and serves it until it
// is told to stop.
package apiserver
