// Package fetch decides when a daemon reads content from the store by itself, so that one
// daemon of a region does so and the others get the content from it.
//
// The package is pure: callers pass the time that has passed.
package fetch

import "time"

const (
	// hearDelay is how long a daemon that knows the other hosts waits for their
	// heartbeats: they may have the content, or read it.
	hearDelay = 150 * time.Millisecond
	// unlistedDelay is how much later a daemon reads that does not know the other hosts,
	// and so cannot hear them.
	unlistedDelay = time.Second
	// listedStagger is the delay for each daemon that the registry ranks higher. It is
	// the time in which a daemon tells others that it reads.
	listedStagger = 100 * time.Millisecond
	// listedMax is the number of daemons that read by their rank in the registry. The
	// registry may list daemons that no longer run.
	listedMax = 4
	// takeover is how long after the first live daemon in rank the next ones read, if
	// nobody says that it is reading.
	takeover     = 300 * time.Millisecond
	rankStagger  = 100 * time.Millisecond
	orderStagger = 300 * time.Millisecond
	staggerMax   = 3 * time.Second
	// peerPatience is how long a daemon relies on others that have content, or that are
	// reading it, before it reads by itself.
	peerPatience = 3 * time.Second
)

// Unlisted is the value of Situation.Listed while the hosts are not known.
const Unlisted = -1

// Situation is what a daemon without content knows.
type Situation struct {
	// Waited is the time since the start, and Delay this daemon's own part in the
	// spread of reads; zero in a deployment without seeds, which has no spread.
	Waited, Delay time.Duration
	// Quiet is the time since another daemon was last known to read or to have content;
	// Waited if none ever was. Daemons that relied on one that is killed take over in
	// turn, not all at once.
	Quiet time.Duration
	// Listed is the number of listed daemons of the region that are preferred to this
	// one; Unlisted if the hosts are not known. Known is for how long they are known.
	Listed int
	Known  time.Duration
	// Alone is set if no other daemon of the region is listed or was heard.
	Alone bool
	// Rank and Order are the numbers of preferred live daemons of the data centre and
	// of preferred data centres of the region.
	Rank, Order int
	// First is set if, of the live daemons, this one is to follow the store for the
	// region.
	First bool
	// Demanded is set if a request is waiting.
	Demanded bool
	// PeerReading is set while another daemon of the region receives content from the
	// store, PeerContent while one of the data centre has content that is not old.
	PeerReading, PeerContent bool
}

// MayStart reports whether the daemon reads the store now.
func MayStart(s Situation) bool {
	stagger := min(staggerMax, time.Duration(s.Rank)*rankStagger+time.Duration(s.Order)*orderStagger)
	switch {
	case s.PeerReading || s.PeerContent:
		return s.Waited >= s.Delay+peerPatience+stagger
	case s.Listed != Unlisted && s.Alone && s.Demanded:
		return true
	case s.Listed != Unlisted && s.Listed < listedMax && !s.Alone && min(s.Quiet, s.Known) >= hearDelay+time.Duration(s.Listed)*listedStagger:
		return true
	case s.First && s.Delay > 0 && (s.Listed == Unlisted || s.Known < hearDelay):
		return s.Waited >= s.Delay+unlistedDelay
	case s.First:
		return s.Waited >= s.Delay
	}
	return min(s.Quiet, s.Waited-s.Delay) >= takeover+stagger
}

const (
	// staleAfter is the age of the last confirmation after which daemons other than the
	// relay call the store, in the order of their rank.
	staleAfter = 1500 * time.Millisecond
	// staleStagger is the delay for each rank. It lets the first daemon pass its result
	// on before the next one calls the store.
	staleStagger = 40 * time.Millisecond
	// staleStaggerMax bounds the delay of any one daemon.
	staleStaggerMax = 400 * time.Millisecond
)

// Stale reports whether content of an age is stale.
func Stale(age time.Duration) bool { return age > staleAfter }

// MayWatch reports whether the relay watches the configuration, given the age of its
// content. A new relay does not while another daemon receives a change: its watch would
// bring the same change again.
func MayWatch(age time.Duration, peerReading bool) bool {
	return !peerReading || age >= staleAfter+peerPatience
}

// MayRefresh reports whether a daemon other than the relay calls the store, given the
// age of its content.
func MayRefresh(age time.Duration, rank int, peerReading bool) bool {
	if peerReading && age < staleAfter+peerPatience {
		return false
	}
	return age > staleAfter+min(staleStaggerMax, time.Duration(rank)*staleStagger)
}
