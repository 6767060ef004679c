package consortium

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// headerEra names the era in each answer.
const headerEra = "Store-Era"

// Copy is the content of a store at one moment.
type Copy struct {
	objects  map[string]map[string]Object
	history  []event
	revision uint64
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{objects: map[string]map[string]Object{}, history: slices.Clone(s.history), revision: s.revision}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// Restore replaces the store's content by an older copy, gives out the revisions after it
// again and begins the next era. It has no effect on the fault.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.history, s.revision = map[string]map[string]Object{}, slices.Clone(c.history), c.revision
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.era++
	s.wake()
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// setEra names the present era in an answer. s.mu must be held.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
}

// Count returns the number of objects of a kind.
func (s *Store) Count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[kind])
}
