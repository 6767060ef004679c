// Package e2e tests the real programs: four usherd, a stand-in platform and
// stand-in backend servers as processes on loopback, under kills, pauses,
// planned stops and outages of the platform.
package e2e
