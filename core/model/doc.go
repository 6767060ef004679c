// Package model defines the typed identifiers and outcomes that every other
// package uses. It holds values only: no behaviour, no I/O and no clock.
package model
