// Package apiserver implements the usher-api process. It reads the settings,
// connects the operator service to the object API and the fleet, and serves it
// until the process is told to stop.
package apiserver
