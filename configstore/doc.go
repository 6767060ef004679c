// Package configstore accepts configuration changes and distributes the
// accepted configuration to all daemons.
//
// # Objects in the object API
//
// A change is accepted by one conditional update of the object "config/head"
// (type Head, JSON). It holds the epoch, the change ID and author, the names of
// the content-addressed chunks that hold the objects, and the last 32 changes,
// as many of them in full as fit into 8 KB. Chunks are the objects
// "config/chunks/<name>". Each holds one hash bucket of one kind of object and
// is smaller than 1 MB.
//
// # Accepting changes
//
// Store.Apply accepts a change at an expected epoch. One call costs a read of
// the head, a write for each chunk that the change touches (usually one), and
// the update of the head. Its result is definite except for
// *UnknownResultError, which is returned only if the object API becomes
// unavailable during the update. Applying the same change again then gives the
// result.
//
// # Following
//
// A Follower brings a daemon to the newest epoch. Two hosts of each data
// centre are relays (IsRelay). Each relay keeps one pending watch on the head
// in the object API. All other hosts learn of a new epoch from peers:
//
//   - The package that makes the calls between daemons passes an epoch from a
//     heartbeat, or one that a peer sent after FollowerOptions.OnEpoch, to
//     ObserveEpoch.
//   - The follower pulls the configuration through the peer's Source: at once
//     from its own data centre, after DefaultRemotePullDelay from another one.
//   - The follower implements Source and so serves other hosts.
//
// MissingChunks and Deliver do the same for a head that a peer pushes.
//
// A host that is a few epochs behind replays the changes listed in the head
// and reads no chunks. Otherwise it reads only the chunks that it does not
// have: from the peer that it pulls from, then from other peers, then from the
// object API. A relay tries the object API first.
//
// # Starting
//
// A starting host queries up to five peers for their epochs, pulls from the
// peer with the highest, and then reads the head from the object API once.
// Until that read succeeds, it retries with backoff and Status reports the
// host as unconfirmed.
//
// # Garbage collection
//
// A Collector deletes unused chunks at a limited rate.
package configstore
