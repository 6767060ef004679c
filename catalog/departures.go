package catalog

import (
	"maps"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/outage"
)

const (
	// departureMemory is how long the departure of a server is remembered. The copy from
	// which the store comes back is some seconds old.
	departureMemory = time.Minute
	// departureHold is for how long a server that had no entry any more is not used after
	// the store came back with it. By then the store has removed the entry, after three
	// heartbeat intervals of silence, or the server still runs and its entry holds.
	departureHold = 8 * time.Second
)

// Departure is a server that the store's copy may list although it had left.
type Departure struct {
	ID  model.ServerID
	Key uint64
	// At is when the departure became known.
	At time.Time
	// Until is when a server that had no entry may be used again. It is zero for a server
	// that said that it is draining: it stays so until its end.
	Until time.Time
}

// departure is what is remembered of a server that is draining or has no entry any more.
type departure struct {
	id       model.ServerID
	at       time.Time
	era      Era
	draining bool
}

// departures are the servers that left lately, by their keys. A store that comes back from
// an older copy lists some of them in service again.
type departures struct {
	known map[uint64]departure
	// excluded are the departures that are not in force in the store's copy, since the
	// present era of the servers was entered at enteredAt. It is replaced, never changed.
	excluded  []Departure
	enteredAt time.Time
}

func newDepartures() departures { return departures{known: map[uint64]departure{}} }

func (d *departures) add(s *Server, x departure) {
	x.id = s.ID
	d.known[s.Key()] = x
}

// record records the differences of two sets of the same era. Servers in retained count as
// present until they are dropped.
func (d *departures) record(now time.Time, era Era, before, after, retained map[string]*Server) {
	d.forget(now)
	for name, s := range before {
		next, ok := after[name]
		same := ok && next.ID == s.ID && next.StartedAtMs == s.StartedAtMs
		_, kept := retained[name]
		switch {
		case same && next.Draining && !s.Draining:
			d.add(s, departure{at: now, era: era, draining: true})
		case !same && !s.Draining && !kept:
			d.add(s, departure{at: now, era: era})
		}
	}
	if len(d.known) == 0 {
		return
	}
	for _, s := range after {
		key := s.Key()
		x, ok := d.known[key]
		// The store's later word in the same era is newer than the departure. In a later
		// era it may be that of the copy, until the hold has ended.
		if ok && !x.draining && !s.Draining && (x.era == era || now.Sub(d.enteredAt) > departureHold) {
			delete(d.known, key)
		}
	}
}

// enterEra excludes the servers that left before the store came back from a copy. before is
// the set of the earlier era.
func (d *departures) enterEra(now time.Time, before map[string]*Server) {
	for _, s := range before {
		if s.Draining {
			d.add(s, departure{at: now, era: 0, draining: true})
		}
	}
	d.forget(now)
	d.enteredAt = now
	excluded := make([]Departure, 0, len(d.known))
	for key, x := range d.known {
		e := Departure{ID: x.id, Key: key, At: x.at}
		if !x.draining {
			e.Until = now.Add(departureHold)
		}
		excluded = append(excluded, e)
	}
	d.excluded = excluded
}

// forget removes departures that the store's copy cannot undo any more.
func (d *departures) forget(now time.Time) {
	maps.DeleteFunc(d.known, func(_ uint64, x departure) bool { return now.Sub(x.at) > departureMemory })
}

// inGrace reports whether servers that are missing in the store's copy are still retained.
func (d *departures) inGrace(now time.Time) bool {
	return !d.enteredAt.IsZero() && now.Sub(d.enteredAt) < outage.Grace
}
