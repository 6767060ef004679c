// Package outage decides whether entries that are missing from the store after a gap in
// its confirmations may have lapsed during an outage of the store, or were removed while
// only this daemon could not reach it.
//
// The package has no clock, goroutines, locks or I/O: callers pass the time in and must
// serialise calls.
package outage

import "time"

const (
	// Min is the shortest gap in the confirmations in which entries may lapse. The
	// store removes an entry after three missed heartbeats.
	Min = 2 * time.Second
	// Grace is how long after an outage missing entries are retained. According to the
	// platform's documentation lapsed entries are back after about two seconds.
	Grace = 2200 * time.Millisecond
	// suspectAge is the age of a confirmation above which the store may be away. It is
	// above the ages that occur while the store serves the relay (0.9 s).
	suspectAge = 1200 * time.Millisecond
	// peerMemory is how long before a gap the last heartbeat of another daemon may have
	// come for this daemon to count as one of several.
	peerMemory = time.Minute
)

// Tracker follows the confirmations of one daemon. The zero value is ready for use.
type Tracker struct {
	confirmedAt time.Time
	// servedSince is the earliest time since which the store is known to have confirmed
	// content to some daemon without a gap of Min.
	servedSince time.Time
	// begin and end are those of the last outage; zero without one.
	begin, end time.Time
	// lastPeer is when a daemon of the data centre was last heard.
	lastPeer time.Time
	// corroborated is set if, in the present gap, another daemon was without a
	// confirmation too.
	corroborated bool
}

// Confirmed records that the store confirmed content at a time. A gap of Min or more
// before it was an outage of the store if another daemon had the gap too, or if there is
// no other daemon that could tell. A daemon that hears nobody cannot distinguish an
// outage from its own isolation, and takes it for the latter.
func (t *Tracker) Confirmed(at time.Time) {
	if !at.After(t.confirmedAt) {
		return
	}
	if at.Sub(t.confirmedAt) >= Min {
		single := t.lastPeer.IsZero() || t.confirmedAt.Sub(t.lastPeer) > peerMemory
		if !t.confirmedAt.IsZero() && (t.corroborated || single) {
			t.begin, t.end = t.confirmedAt, at
		}
		t.servedSince = at
	}
	t.confirmedAt, t.corroborated = at, false
}

// ObservePeer records the report of another daemon: the age of its last confirmation
// and for how long the store has served it. local is set for a daemon of the same data
// centre.
func (t *Tracker) ObservePeer(now time.Time, age, served time.Duration, local bool) {
	if local {
		t.lastPeer = now
		t.corroborated = t.corroborated || (age >= suspectAge && now.Sub(t.confirmedAt) >= suspectAge)
	}
	if served <= 0 || t.servedSince.IsZero() {
		return
	}
	since := now.Add(-served)
	if since.Before(t.servedSince) {
		t.servedSince = since
	}
	switch {
	case t.end.IsZero() || !since.Before(t.end):
	case since.Sub(t.begin) < Min:
		t.begin, t.end = time.Time{}, time.Time{}
	default:
		t.end = since
	}
}

// Served returns for how long the store is known to have confirmed content to some
// daemon without a gap; zero if it does not do so now.
func (t *Tracker) Served(now time.Time) time.Duration {
	if t.confirmedAt.IsZero() || now.Sub(t.confirmedAt) >= Min {
		return 0
	}
	return now.Sub(t.servedSince)
}

// GraceEnd returns the time until which entries that are missing are retained; false
// if no outage has ended in the last Grace.
func (t *Tracker) GraceEnd(now time.Time) (time.Time, bool) {
	if t.end.IsZero() {
		return time.Time{}, false
	}
	end := t.end.Add(Grace)
	return end, now.Before(end)
}

// AddAge moves the last confirmation back by a time that the clock has not counted.
func (t *Tracker) AddAge(age time.Duration) {
	if !t.confirmedAt.IsZero() {
		t.confirmedAt = t.confirmedAt.Add(-age)
	}
}
