// Package configstore accepts configuration changes and spreads the accepted
// configuration to all daemons.
//
// Accepting a change is one conditional update of the object "config/head",
// which names the epoch, the change and the content-addressed chunks that
// hold the objects. Store.Apply does that. A Follower brings a daemon to the
// newest epoch: the relays of a data centre watch the head in the object API,
// and every other host pulls from a peer that is ahead. The calls between
// peers are made by another package through the Source interface.
//
// A Collector removes chunks that the head no longer names.
package configstore
