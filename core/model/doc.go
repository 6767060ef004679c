// Package model defines the identifier types, request outcomes and reasons that
// the other packages share. It performs no I/O and uses no clock.
package model
