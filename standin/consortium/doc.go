// Package consortium is a stand-in for the consortium platform, for tests and the
// soak test. It provides the platform's object store and backend servers, with
// injectable faults. It is written from the platform's published protocol.
package consortium
