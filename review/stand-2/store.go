package main

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageSize is the number of objects in one page of a list.
	pageSize = 500
	// storeDelay is how long an answer of the store takes.
	storeDelay = 4 * time.Millisecond
)

type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision,omitempty"`
	CreateRevision uint64   `json:"create_revision,omitempty"`
	Finalizers     []string `json:"finalizers,omitempty"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	revision uint64
	kind     string
	removed  bool
	object   object
}

// store is the platform's store: objects by kind and name, watches, conditional changes.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	objects  map[string]map[string]object
	history  []change
	revision uint64
	changed  chan struct{}
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), objects: map[string]map[string]object{}, revision: 1, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an object and returns its revision.
func (s *store) put(kind, name string, spec, status any) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := object{Metadata: metadata{Name: name}, Spec: encode(spec)}
	if status != nil {
		o.Status = encode(status)
	}
	return s.write(kind, o).Metadata.Revision
}

func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func (s *store) write(kind string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.revision++
	old, exists := s.objects[kind][o.Metadata.Name]
	o.Metadata.Revision, o.Metadata.CreateRevision = s.revision, s.revision
	if exists {
		o.Metadata.CreateRevision = old.Metadata.CreateRevision
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{revision: s.revision, kind: kind, object: o})
	s.wake()
	return o
}

func (s *store) delete(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.history = append(s.history, change{revision: s.revision, kind: kind, removed: true, object: o})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	rest, ok := strings.CutPrefix(r.URL.Path, wire.ObjectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.modify(w, r, kind, name)
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	page := struct {
		Items   []object `json:"items"`
		HasMore bool     `json:"has_more"`
		AsOf    uint64   `json:"as_of"`
	}{Items: []object{}}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	page.AsOf = s.revision
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= after {
			continue
		}
		if len(page.Items) == pageSize {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, s.objects[kind][name])
	}
	s.mu.Unlock()
	respond(w, http.StatusOK, page)
}

type event struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		answer := struct {
			Events []event `json:"events"`
			AsOf   uint64  `json:"as_of"`
		}{Events: []event{}}
		s.mu.Lock()
		answer.AsOf = s.revision
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				answer.Events = append(answer.Events, event{Removed: c.removed, Object: c.object})
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 {
			respond(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if r.Context().Err() == nil {
				respond(w, http.StatusOK, answer)
			}
			return
		}
	}
}

func (s *store) modify(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = in.Metadata.Name
	}
	in.Metadata.Name = name
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		respond(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		respond(w, http.StatusCreated, s.write(kind, in))
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		respond(w, http.StatusConflict, old)
	case r.Method == http.MethodPut:
		in.Status = old.Status
		respond(w, http.StatusOK, s.write(kind, in))
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		respond(w, http.StatusOK, old)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
