// Package random holds the randomised test of entries and owners in one
// process, with faults on the links between them. See TestAtMostOnce.
package random
