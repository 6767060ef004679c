package quota

import "time"

const (
	// advanceShare is the part of the expected demand for which admissions are asked
	// for in advance. Above it, many would expire unused.
	advanceShare = 0.7
	// idleStore is how long the store keeps a workspace without requests.
	idleStore = 30 * time.Second
)

// Store holds the admissions of one host that were not used yet. Create it with NewStore.
type Store struct {
	workspaces map[Key]*stock
	lastSweep  time.Time
}

type stock struct {
	batches []batch
	demand  meter
}

// batch is admissions that expire at the same time.
type batch struct {
	count   int
	expires time.Time
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{workspaces: map[Key]*stock{}} }

// Len returns the number of workspaces in memory.
func (s *Store) Len() int { return len(s.workspaces) }

// Arrive records a request of a workspace.
func (s *Store) Arrive(now time.Time, k Key) {
	s.sweep(now)
	w := s.workspaces[k]
	if w == nil {
		w = &stock{demand: meter{period: demandPeriod.Seconds()}}
		s.workspaces[k] = w
	}
	w.demand.add(now, 1)
}

// Take uses one admission. It returns when the admission expires, and false if there is
// none.
func (s *Store) Take(now time.Time, k Key) (expires time.Time, ok bool) {
	w := s.workspaces[k]
	if w == nil {
		return time.Time{}, false
	}
	for len(w.batches) > 0 {
		b := &w.batches[0]
		if b.count > 0 && now.Before(b.expires) {
			b.count--
			return b.expires, true
		}
		w.batches = w.batches[1:]
	}
	w.batches = nil
	return time.Time{}, false
}

// Add adds admissions, or returns one that was not used.
func (s *Store) Add(now time.Time, k Key, count int, expires time.Time) {
	w := s.workspaces[k]
	if w == nil || count <= 0 || !now.Before(expires) {
		return
	}
	w.batches = append(w.batches, batch{count, expires})
}

// Ask returns the request for admissions of a workspace with waiting requests.
func (s *Store) Ask(now time.Time, k Key, waiting int, lifetime time.Duration) Ask {
	q := Ask{Workspace: k, Need: waiting}
	if w := s.workspaces[k]; w != nil {
		expected := advanceShare * w.demand.value(now) * lifetime.Seconds()
		q.Extra = max(0, int(expected)-waiting)
	}
	return q
}

func (s *Store) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < idleStore {
		return
	}
	s.lastSweep = now
	for k, w := range s.workspaces {
		if now.Sub(w.demand.at) >= idleStore {
			delete(s.workspaces, k)
		}
	}
}
