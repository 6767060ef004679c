// Package configstore accepts configuration changes and spreads the accepted
// configuration to all daemons.
//
// # Objects in the object API
//
// Accepting a change is one conditional update of the object "config/head"
// (type Head, JSON): the epoch, the change and its author, the names of the
// content-addressed chunks that hold the objects, and the last 32 changes, as
// many of them in full as fit into 8 KB. Chunks are the objects
// "config/chunks/<name>"; each holds one hash bucket of one kind of objects,
// under 1 MB.
//
// # Accepting
//
// Store.Apply accepts a change at an expected epoch. One call costs a read of
// the head, a write for each chunk that the change touches (usually one), and
// the update. What an operator is told is definite except for
// *UnknownResultError, which comes only when the object API goes away during
// the update; applying the same change again then gives the result.
//
// # Following
//
// A Follower brings a daemon to the newest epoch. Relays, two hosts of each
// data centre (IsRelay), wait for the head in the object API with one pending
// watch each. All other hosts learn of an epoch from peers:
//
//   - the package that makes the calls between daemons passes the epoch in
//     each heartbeat, or sent after FollowerOptions.OnEpoch, to ObserveEpoch;
//   - the follower then pulls through the peer's Source, at once from its own
//     data centre and after DefaultRemotePullDelay from another one;
//   - it serves others, since it implements Source itself.
//
// MissingChunks and Deliver do the same for a head that a peer pushes.
//
// A host that is a few epochs behind replays the changes that the head
// carries and reads no chunk. Otherwise it reads only the chunks that it does
// not have, from the peer that it pulls from, then from other peers, then from
// the object API (a relay asks the object API first).
//
// # Starting
//
// A host asks up to five peers for their epochs, pulls from the highest, and
// then reads the head from the object API once. Until that has succeeded,
// Status reports it as unconfirmed. It goes on trying with a growing pause.
//
// # Chunks that are no longer used
//
// A Collector removes them at a bounded rate.
package configstore
