// Package daemon assembles usherd: settings, configuration, membership, the
// entry and owner roles, listeners and the planned stop.
package daemon
