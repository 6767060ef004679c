package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

const (
	// MaxPause bounds the pause that a server may ask for.
	MaxPause = 10 * time.Minute
	// leavingLifetime is how long it is remembered that a server that is not listed any
	// more is leaving, and how long other daemons are told. An entry may come back after
	// an outage of the store.
	leavingLifetime = time.Hour
	// maxLeaving bounds the number of servers remembered as leaving. Their list fits in
	// one datagram.
	maxLeaving = 512
)

const (
	// maxAbsence bounds how long a server is withheld because it had left before the
	// platform's store came back with an older entry of it.
	maxAbsence = time.Minute
	// maxAbsentListed bounds how many of them other daemons are told of, so that the list
	// with the leaving servers fits in one datagram.
	maxAbsentListed = 128
)

// Leaving is a server that said that it is leaving, and for how long that has been known.
type Leaving struct {
	Server ServerKey
	Age    time.Duration
	// Left is how much longer a server is withheld that had left, but may have an entry
	// again; zero for one that is leaving for good.
	Left time.Duration
}

// signals is what servers said about themselves. It is kept by incarnation and apart
// from the entries, because an entry may disappear and come back, and a server may be
// heard of before its entry.
type signals struct {
	// leaving has since when it is known that a server is leaving.
	leaving map[ServerKey]time.Time
	// absentUntil has the ends of the times in which servers are withheld that had left
	// before the store came back with older entries of them.
	absentUntil map[ServerKey]time.Time
	// digest is that of the keys of leaving and absentUntil until digestUntil; zero time: not
	// known.
	digest      uint32
	digestUntil time.Time
	// pausedUntil has the ends of the pauses that servers asked this daemon for.
	pausedUntil map[ServerKey]time.Time
	// peerPauses has the ends of those that servers asked other daemons of the data centre
	// for, so that they can be told after a restart.
	peerPauses map[peerPause]time.Time
}

// peerPause is a server that asked a host for a pause.
type peerPause struct {
	host   model.HostID
	server ServerKey
}

// maxPeerPauses bounds the pauses of other daemons that are remembered. Further ones are
// not, and end when the daemon restarts.
const maxPeerPauses = 4096

// Pause is a server that wants no requests, and for how long.
type Pause struct {
	Server ServerKey
	Left   time.Duration
}

func newSignals() signals {
	return signals{leaving: map[ServerKey]time.Time{}, absentUntil: map[ServerKey]time.Time{}, pausedUntil: map[ServerKey]time.Time{}, peerPauses: map[peerPause]time.Time{}}
}

// withheld reports whether this daemon must send the server no request, and for how long;
// a negative time means forever.
func (s *signals) withheld(now time.Time, k ServerKey) (bool, time.Duration) {
	if _, ok := s.leaving[k]; ok {
		return true, -1
	}
	wait := max(s.pausedUntil[k].Sub(now), s.absentUntil[k].Sub(now))
	return wait > 0, max(0, wait)
}

// MayReceive reports whether this daemon may still send the server a request for which it
// was chosen before. It is false if the server has left, is leaving or asked for a pause.
func (t *Table) MayReceive(now time.Time, k ServerKey) bool {
	_, listed := t.servers[k]
	withheld, _ := t.signals.withheld(now, k)
	return listed && !withheld
}

// ObserveLeaving records that a server said, the time age ago, that it is leaving. It
// returns false if that is known already. A server that leaves never returns under the
// same key: a new start has another one.
func (t *Table) ObserveLeaving(now time.Time, l Leaving) bool {
	if l.Left > 0 {
		return t.observeAbsent(now, l)
	}
	since := now.Add(-max(0, l.Age))
	known, ok := t.signals.leaving[l.Server]
	if ok || l.Age > leavingLifetime {
		// The earliest time is kept, so that all daemons forget at the same time.
		if ok && since.Before(known) {
			t.signals.leaving[l.Server], t.signals.digestUntil = since, time.Time{}
		}
		return false
	}
	t.signals.leaving[l.Server], t.signals.digestUntil = since, time.Time{}
	t.forgetSignals(now)
	return true
}

// observeAbsent is ObserveLeaving for a server that is withheld for a time.
func (t *Table) observeAbsent(now time.Time, l Leaving) bool {
	until := now.Add(min(l.Left, maxAbsence))
	known, ok := t.signals.absentUntil[l.Server]
	_, leaving := t.signals.leaving[l.Server]
	if leaving || !until.After(known) || (!ok && len(t.signals.absentUntil) >= maxLeaving) {
		return false
	}
	t.signals.absentUntil[l.Server], t.signals.digestUntil = until, time.Time{}
	t.forgetSignals(now)
	return !ok
}

// ObservePause records that a server asked this daemon for a pause. A shorter pause does
// not end a longer one: each response binds by itself.
func (t *Table) ObservePause(now time.Time, k ServerKey, pause time.Duration) {
	if pause <= 0 {
		return // called for each response; only new entries are worth a clean-up
	}
	until := now.Add(min(pause, MaxPause))
	if until.After(t.signals.pausedUntil[k]) {
		t.signals.pausedUntil[k] = until
	}
	t.forgetSignals(now)
}

// forgetSignals removes pauses that have ended, and servers that are leaving, are not
// listed and have been known for longest.
func (t *Table) forgetSignals(now time.Time) {
	for k, until := range t.signals.pausedUntil {
		if !now.Before(until) {
			delete(t.signals.pausedUntil, k)
		}
	}
	for p, until := range t.signals.peerPauses {
		if !now.Before(until) {
			delete(t.signals.peerPauses, p)
		}
	}
	for k, until := range t.signals.absentUntil {
		if !now.Before(until) {
			delete(t.signals.absentUntil, k)
		}
	}
	for k, since := range t.signals.leaving {
		if _, listed := t.servers[k]; !listed && now.Sub(since) > leavingLifetime {
			delete(t.signals.leaving, k)
		}
	}
	for len(t.signals.leaving) > maxLeaving {
		var oldest ServerKey
		var found, oldestListed bool
		for k, since := range t.signals.leaving {
			_, listed := t.servers[k]
			if !found || (oldestListed && !listed) || (oldestListed == listed && since.Before(t.signals.leaving[oldest])) {
				oldest, oldestListed, found = k, listed, true
			}
		}
		delete(t.signals.leaving, oldest)
	}
}

// LeavingServers returns the servers that are leaving and that other daemons are to be
// told of, in the order of their keys.
func (t *Table) LeavingServers(now time.Time) []Leaving {
	var list []Leaving
	for k, since := range t.signals.leaving {
		if age := now.Sub(since); age <= leavingLifetime {
			list = append(list, Leaving{Server: k, Age: max(0, age)})
		}
	}
	absent := slices.Sorted(maps.Keys(t.signals.absentUntil))
	for _, k := range absent[:min(len(absent), maxAbsentListed)] {
		if left := t.signals.absentUntil[k].Sub(now); left > 0 {
			list = append(list, Leaving{Server: k, Left: left})
		}
	}
	slices.SortFunc(list, func(a, b Leaving) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return list
}

// LeavingDigest returns a number that is equal for equal sets of LeavingServers; zero for an
// empty one. It is computed only after a change, because each datagram carries it.
func (t *Table) LeavingDigest(now time.Time) uint32 {
	s := &t.signals
	if !s.digestUntil.IsZero() && !now.After(s.digestUntil) {
		return s.digest
	}
	list := t.LeavingServers(now)
	s.digest, s.digestUntil = 0, now.Add(leavingLifetime)
	for _, l := range list {
		// The finalizer of SplitMix64 spreads keys that differ little.
		x := uint64(l.Server) + 0x9e3779b97f4a7c15
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		s.digest ^= uint32(x ^ x>>31)
		until := now.Add(leavingLifetime - l.Age)
		if l.Left > 0 {
			until = now.Add(l.Left)
		}
		if until.Before(s.digestUntil) {
			s.digestUntil = until
		}
	}
	if len(list) > 0 {
		s.digest |= 1
	}
	return s.digest
}

// PeerPauses returns the pauses of another daemon that have not ended.
func (t *Table) PeerPauses(now time.Time, h model.HostID) (list []Pause) {
	for p, until := range t.signals.peerPauses {
		if p.host == h && now.Before(until) {
			list = append(list, Pause{Server: p.server, Left: until.Sub(now)})
		}
	}
	return list
}

// PausedServers returns the number of servers that asked this daemon for a pause that has
// not ended.
func (t *Table) PausedServers(now time.Time) int {
	n := 0
	for _, until := range t.signals.pausedUntil {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// ObservePeerPause records that a server asked another daemon for a pause. It counts as
// shedding for that time, at most for maxShedBackoff: the pause binds only the daemon
// that was asked.
func (t *Table) ObservePeerPause(now time.Time, h model.HostID, k ServerKey, pause time.Duration) {
	if pause <= 0 {
		return
	}
	t.forgetSignals(now)
	p, until := peerPause{host: h, server: k}, now.Add(min(pause, MaxPause))
	if len(t.signals.peerPauses) < maxPeerPauses && until.After(t.signals.peerPauses[p]) {
		t.signals.peerPauses[p] = until
	}
	s, ok := t.servers[k]
	if !ok {
		return
	}
	if until := now.Add(min(pause, maxShedBackoff)); until.After(s.shedUntil) {
		s.shedUntil = until
	}
}
