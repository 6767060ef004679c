// Package daemon assembles usherd: settings, configuration, membership, the
// entry and owner roles, the listeners and graceful shutdown.
package daemon
