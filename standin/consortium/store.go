package consortium

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

// pathPrefix precedes the kind of an object in a request path.
const pathPrefix = "/agateusher/objects/"

// Fault is a fault of the store or of one of its endpoints.
type Fault uint8

const (
	// Healthy is no fault.
	Healthy Fault = iota
	// Busy answers 503.
	Busy
	// Silent does not answer.
	Silent
	// Reset closes the connection without an answer.
	Reset
	// LoseAnswers executes calls and closes the connection without an answer. Like
	// Late, it works on a Store only.
	LoseAnswers
	// Limited answers 429.
	Limited
	// Late does not answer, and executes changes after lateChangeDelay.
	Late
)

// lateChangeDelay is the time from a call with Late to its execution.
const lateChangeDelay = 300 * time.Millisecond

// Object is a stored object.
type Object struct {
	Metadata struct {
		Name           string `json:"name"`
		Revision       uint64 `json:"revision"`
		CreateRevision uint64 `json:"create_revision"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`

	raw string // the whole text, if PutRaw wrote the object
}

type event struct {
	revision uint64
	kind     string
	removed  bool
	object   Object
}

// Store is a stand-in for the platform's object store.
type Store struct {
	listener  net.Listener
	server    *http.Server
	endpoints []*Endpoint

	mu       sync.Mutex
	objects  map[string]map[string]Object
	history  []event
	revision uint64
	// oldestWatchRevision is the oldest revision that a watch may start from.
	oldestWatchRevision uint64
	// era rises each time that the store comes back from a copy.
	era      uint64
	fault    Fault
	delay    time.Duration
	pageSize int
	calls    int
	changed  chan struct{}
	// staleObjects is what reads that allow stale data return. If it is nil, they
	// return the current state.
	staleObjects map[string]map[string]Object
	staleReads   map[string]int
	reads        map[string]int
	changes      map[string]int
}

// Endpoint is a further address of a store with its own faults, so that the store
// can refuse some hosts and serve others.
type Endpoint struct {
	store    *Store
	listener net.Listener
	server   *http.Server

	mu    sync.Mutex
	fault Fault
	// faultChanged is closed when the fault changes, which ends calls in progress.
	faultChanged chan struct{}
}

// NewEndpoint opens a further loopback address of the store.
func (s *Store) NewEndpoint() (*Endpoint, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{store: s, listener: l, faultChanged: make(chan struct{})}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	s.endpoints = append(s.endpoints, e)
	return e, nil
}

// Address returns "ip:port".
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// SetFault replaces the fault of this endpoint and closes the connections of calls
// in progress.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	close(e.faultChanged)
	e.faultChanged = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	fault, faultChanged := e.fault, e.faultChanged
	e.mu.Unlock()
	if fault.intercept(w, r) {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-faultChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	e.store.ServeHTTP(w, r.WithContext(ctx))
	select {
	case <-faultChanged:
		panic(http.ErrAbortHandler)
	default:
	}
}

// intercept handles the faults with which a call is not executed. It returns false
// if the call is to be executed.
func (f Fault) intercept(w http.ResponseWriter, r *http.Request) bool {
	switch f {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Limited:
		w.WriteHeader(http.StatusTooManyRequests)
	case Silent:
		<-r.Context().Done()
	case Reset:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

// NewStore starts a store on a loopback port.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, objects: map[string]map[string]Object{}, revision: 1, era: 1, pageSize: 500, changed: make(chan struct{}), staleReads: map[string]int{}, reads: map[string]int{}, changes: map[string]int{}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns "ip:port".
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	for _, e := range s.endpoints {
		_ = e.server.Close()
	}
	_ = s.server.Close()
}

// SetFault replaces the fault. Any fault but LoseAnswers closes the connections of
// watches in progress.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// SetDelay delays each answer.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetPage sets the maximum number of objects in one list response. The default is
// 500.
func (s *Store) SetPage(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = n
}

// DropHistory makes watches from an earlier revision fail with 410, those in
// progress included.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldestWatchRevision = nil, s.revision+1
	s.revision++
	s.wake()
}

// FreezeStaleReads makes reads that allow stale data return the current state from
// now on, whatever changes later.
func (s *Store) FreezeStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleObjects = map[string]map[string]Object{}
	for kind, objects := range s.objects {
		s.staleObjects[kind] = maps.Clone(objects)
	}
}

// StaleReads returns the number of reads of a kind that allowed stale data.
func (s *Store) StaleReads(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.staleReads[kind]
}

// Reads returns the number of lists and watches of a kind that were current.
func (s *Store) Reads(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[kind]
}

// Changes returns the number of executed POST, PUT and DELETE calls for objects of
// a kind, including those that failed.
func (s *Store) Changes(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes[kind]
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object. Its spec and status are raw JSON.
func (s *Store) Put(kind, name, spec, status string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, json.RawMessage(spec), json.RawMessage(status))
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind, name string, spec, status json.RawMessage) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.revision++
	o := s.objects[kind][name]
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if o.Metadata.CreateRevision == 0 {
		o.Metadata.CreateRevision = s.revision
	}
	o.Spec, o.Status = spec, status
	s.objects[kind][name] = o
	s.history = append(s.history, event{revision: s.revision, kind: kind, object: o})
	s.wake()
	return o
}

func (s *Store) remove(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.objects[kind], name)
	s.history = append(s.history, event{revision: s.revision, kind: kind, removed: true, object: o})
	s.wake()
	return true
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault, delay := s.fault, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if fault.intercept(w, r) {
		return
	}
	if fault == Late {
		if r.Method != http.MethodGet {
			s.executeLate(r)
		}
		<-r.Context().Done()
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathPrefix), "/")
	s.mu.Lock()
	s.setEra(w)
	s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *Store) respond(w http.ResponseWriter, status int, body any) {
	s.mu.Lock()
	loseAnswer := s.fault == LoseAnswers
	s.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // a test wrote an object that cannot be encoded
	}
	_, _ = w.Write(insertRaw(data, body)) // the caller has gone
}

type listResponse struct {
	Items   []Object `json:"items"`
	HasMore bool     `json:"has_more"`
	AsOf    uint64   `json:"as_of"`
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	after := r.URL.Query().Get("after")
	a := listResponse{Items: []Object{}, AsOf: s.revision}
	objects := s.objects[kind]
	if r.URL.Query().Get("serializable") == "1" {
		s.staleReads[kind]++
		if s.staleObjects != nil {
			objects = s.staleObjects[kind]
		}
	} else {
		s.reads[kind]++
	}
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		if name <= after {
			continue
		}
		if len(a.Items) == s.pageSize {
			a.HasMore = true
			break
		}
		a.Items = append(a.Items, objects[name])
	}
	s.setEra(w)
	s.mu.Unlock()
	s.respond(w, http.StatusOK, a)
}

type watchEvent struct {
	Removed bool   `json:"removed"`
	Object  Object `json:"object"`
}

type watchResponse struct {
	Events []watchEvent `json:"events"`
	AsOf   uint64       `json:"as_of"`
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	s.reads[kind]++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		a, expired, changed := s.eventsSince(kind, from), from < s.oldestWatchRevision || from > s.revision, s.changed
		s.setEra(w)
		interrupted := s.fault != Healthy && s.fault != LoseAnswers
		s.mu.Unlock()
		switch {
		case interrupted:
			panic(http.ErrAbortHandler)
		case expired:
			w.WriteHeader(http.StatusGone)
			return
		case len(a.Events) > 0:
			s.respond(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.respond(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsSince(kind string, from uint64) watchResponse {
	a := watchResponse{Events: []watchEvent{}, AsOf: s.revision}
	for _, e := range s.history {
		if e.kind == kind && e.revision > from {
			a.Events = append(a.Events, watchEvent{Removed: e.removed, Object: e.object})
		}
	}
	return a
}

// executeLate executes a change after lateChangeDelay, as if the call had been
// delayed in the network.
func (s *Store) executeLate(r *http.Request) {
	var in Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			return
		}
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathPrefix), "/")
	time.AfterFunc(lateChangeDelay, func() { s.execute(r.Method, kind, name, in) })
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	status, out := s.execute(r.Method, kind, name, in)
	s.respond(w, status, out)
}

func (s *Store) execute(method, kind, name string, in Object) (int, Object) {
	if name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes[kind]++
	old, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old
	case method == http.MethodPost, method == http.MethodPut && exists:
		return http.StatusOK, s.put(kind, name, in.Spec, old.Status)
	case method == http.MethodDelete && exists:
		s.remove(kind, name)
		return http.StatusOK, old
	}
	return http.StatusNotFound, old
}
