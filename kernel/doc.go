// Package kernel holds the parts that daemons are built from: a registry of
// modules (plug-ins that register themselves), tasks (one goroutine each)
// connected by bounded rings, and a bus for control events.
//
// Requests pass through rings; nothing else in this package is on the request
// path.
package kernel
