// Package kernel is the small core that daemons are assembled from: a registry
// of plug-ins that register themselves, tasks (one goroutine each) joined by
// bounded rings, and a bus for control events.
//
// Nothing in this package is on the request path.
package kernel
