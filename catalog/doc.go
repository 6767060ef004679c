// Package catalog keeps what a daemon knows of the configuration and of the
// backend servers when both are published by the platform's store.
//
// In each data centre one daemon, the relay, watches the store; the others
// learn of a change from its gossip and pull the new content from it. Every
// daemon knows how long ago the store last confirmed its content, and asks the
// store itself once that is too long. Content only moves forward: a
// configuration by its epoch, the set of servers by the store's revision.
package catalog
