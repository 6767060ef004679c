// Package consortium is a stand-in of the consortium platform for tests and for
// the soak: its object store and its backend servers, with their faults, written
// from the platform's published protocol.
package consortium
