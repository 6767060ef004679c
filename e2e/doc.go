// Package e2e tests the built programs: four usherd, a stand-in platform and
// stand-in backend servers run as processes on loopback, while daemons are
// killed, paused and stopped as planned and the platform has outages.
package e2e
