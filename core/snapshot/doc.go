// Package snapshot holds the configuration objects that operators apply, and
// the immutable snapshot of all of them at one epoch.
package snapshot
