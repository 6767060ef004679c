package main

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	readsPerSecond = 2000
	pageItems      = 500
	heartbeat      = 1500 * time.Millisecond
	// entryLifetime is after how much silence the store removes the entry of an endpoint.
	entryLifetime = 3 * heartbeat
)

// errAway is returned while the store is away.
var errAway = errors.New("the store is away")

type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	revision uint64
	kind     string
	removed  bool
	object   object
}

// state is what a copy of the store holds.
type state struct {
	objects  map[string]map[string]object
	history  []event
	revision uint64
}

func (s state) clone() state {
	c := state{objects: map[string]map[string]object{}, history: slices.Clone(s.history), revision: s.revision}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// store is a stand-in for the platform's metadata store.
type store struct {
	listener net.Listener

	mu     sync.Mutex
	state  state
	copies []timedCopy
	era    int
	away   bool
	// awaySince is when the store went away.
	awaySince time.Time
	// silent is set if calls get no answer while the store is away, also not later.
	silent  bool
	changed chan struct{}
	// heard is when the entry of an endpoint was last written.
	heard map[string]time.Time
	// second and reads count the reading calls of the present second.
	second int64
	reads  int
	// gone counts the watches that were answered 410.
	gone, calls int
}

type timedCopy struct {
	at    time.Time
	state state
}

func newStore() *store {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	s := &store{listener: l, state: state{objects: map[string]map[string]object{}, revision: 40}, era: 1, changed: make(chan struct{}), heard: map[string]time.Time{}}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	go s.expire()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// keepCopies takes a copy each half second, from which restore can choose.
func (s *store) keepCopies(stop <-chan struct{}) {
	for {
		s.mu.Lock()
		s.copies = append(s.copies, timedCopy{time.Now(), s.state.clone()})
		s.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// setAway makes the store answer 503 to everything.
func (s *store) setAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.awaySince = true, time.Now()
	s.wake()
}

// since returns when the store went away.
func (s *store) since() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.awaySince
}

// setBack ends the absence. Nothing was lost.
func (s *store) setBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	now := time.Now()
	for name := range s.state.objects["servers"] {
		s.heard[name] = now
	}
	s.wake()
}

// setSilent makes the store answer nothing.
func (s *store) setSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.silent = true, true
	s.wake()
}

// restore ends the absence: the store goes on from its newest copy of that age.
func (s *store) restore(age time.Duration) (before, after uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.state.revision
	for _, c := range slices.Backward(s.copies) {
		if time.Since(c.at) >= age {
			s.state = c.state.clone()
			break
		}
	}
	s.era++
	s.away, s.silent = false, false
	now := time.Now()
	for name := range s.state.objects["servers"] {
		s.heard[name] = now
	}
	s.wake()
	return before, s.state.revision
}

func (s *store) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// put writes an object. same reports whether two forms of a status are equal for the
// revision; nil compares the bytes.
func (s *store) put(kind, name string, spec, status json.RawMessage, same func(a, b json.RawMessage) bool) (object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return object{}, errAway
	}
	s.heard[name] = time.Now()
	o, ok := s.state.objects[kind][name]
	if ok && string(o.Spec) == string(spec) && (string(o.Status) == string(status) || (same != nil && same(o.Status, status))) {
		return o, nil
	}
	return s.write(kind, name, spec, status), nil
}

// write changes an object. s.mu must be held.
func (s *store) write(kind, name string, spec, status json.RawMessage) object {
	if s.state.objects[kind] == nil {
		s.state.objects[kind] = map[string]object{}
	}
	s.state.revision++
	o := s.state.objects[kind][name]
	o.Metadata.Name, o.Metadata.Revision = name, s.state.revision
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.state.revision
	}
	o.Spec, o.Status = spec, status
	s.state.objects[kind][name] = o
	s.state.history = append(s.state.history, event{revision: s.state.revision, kind: kind, object: o})
	s.wake()
	return o
}

func (s *store) remove(kind, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return errAway
	}
	s.drop(kind, name)
	return nil
}

// drop removes an object. s.mu must be held.
func (s *store) drop(kind, name string) {
	o, ok := s.state.objects[kind][name]
	if !ok {
		return
	}
	s.state.revision++
	delete(s.state.objects[kind], name)
	s.state.history = append(s.state.history, event{revision: s.state.revision, kind: kind, removed: true, object: o})
	s.wake()
}

// expire removes the entries of endpoints that have been silent.
func (s *store) expire() {
	for {
		time.Sleep(200 * time.Millisecond)
		s.mu.Lock()
		if !s.away {
			for name := range s.state.objects["servers"] {
				if time.Since(s.heard[name]) > entryLifetime {
					s.drop("servers", name)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	away, silent, era := s.away, s.silent, s.era
	s.calls++
	limited := false
	if now := time.Now().Unix(); r.Method == http.MethodGet && r.URL.Query().Get("serializable") != "1" {
		if now != s.second {
			s.second, s.reads = now, 0
		}
		s.reads++
		limited = s.reads > readsPerSecond
	}
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	switch {
	case silent:
		<-r.Context().Done()
		return
	case away:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case limited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(4 * time.Millisecond)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, names["objectsPath"]), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.change(w, r, kind, name, body)
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.state.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items, more := []object{}, false
	for _, name := range slices.Sorted(maps.Keys(s.state.objects[kind])) {
		if name <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, s.state.objects[kind][name])
	}
	asOf := s.state.revision
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": asOf})
}

type watchEvent struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []watchEvent{}
		for _, e := range s.state.history {
			if e.kind == kind && e.revision > from {
				events = append(events, watchEvent{e.object, e.removed})
			}
		}
		asOf, changed, away, silent := s.state.revision, s.changed, s.away, s.silent
		if from > asOf {
			s.gone++
		}
		s.mu.Unlock()
		answer := map[string]any{"events": events, "as_of": asOf}
		switch {
		case silent:
			<-r.Context().Done()
			return
		case away:
			panic(http.ErrAbortHandler) // a watch that is waiting may be cut off
		case from > asOf:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			respond(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			respond(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var in object
	if r.Method != http.MethodDelete && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.state.objects[kind][name]
	switch {
	case s.away:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodPost && exists:
		respond(w, http.StatusConflict, old)
	case r.Method == http.MethodPost, r.Method == http.MethodPut && exists && string(old.Spec) != string(in.Spec):
		respond(w, http.StatusOK, s.write(kind, name, in.Spec, old.Status))
	case r.Method == http.MethodPut && exists:
		respond(w, http.StatusOK, old)
	case r.Method == http.MethodDelete && exists:
		s.drop(kind, name)
		respond(w, http.StatusOK, old)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
