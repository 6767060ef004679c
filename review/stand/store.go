package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store, as PROTOCOL.md describes it.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type event struct {
	revision uint64
	kind     string
	removed  bool
	object   object
}

// store is a stand-in of the platform's metadata store. It is sound: it answers each
// call at once, loses nothing and keeps its whole history.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an object as the operator or an endpoint does.
func (s *store) put(kind, name, spec, status string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: json.RawMessage(spec), Status: json.RawMessage(status)})
}

// write stores an object and wakes the watches. s.mu must be held.
func (s *store) write(kind string, o object) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o.Metadata.Revision, o.Metadata.CreateRevision = s.revision, s.revision
	if old, ok := s.objects[kind][o.Metadata.Name]; ok {
		o.Metadata.CreateRevision = old.Metadata.CreateRevision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if len(o.Status) == 0 {
		o.Status = json.RawMessage("null")
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{revision: s.revision, kind: kind, object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, platform.Objects), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.change(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, asOf, changed := []map[string]any{}, s.revision, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, map[string]any{"removed": e.removed, "object": e.object})
			}
		}
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-deadline:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name != "" {
		o.Metadata.Name = name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][o.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && ok:
		answer(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && !ok:
		w.WriteHeader(http.StatusNotFound)
	default:
		answer(w, http.StatusOK, s.write(kind, o))
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
