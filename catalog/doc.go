// Package catalog keeps a daemon's copy of the configuration and of the backend
// servers, both of which are published in the platform's store.
//
// In each region one daemon, the relay, watches the store. The others learn of a
// change from gossip and pull the difference from the daemon that sent it.
// Every daemon tracks how long ago the store last confirmed its content, and
// calls the store itself once that is too long ago. Content is only replaced by
// newer content: the configuration is versioned by its epoch, the servers by the
// store's revision.
package catalog
