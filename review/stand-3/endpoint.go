package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached an endpoint.
type arrival struct {
	endpoint, id, method, target string
	header                       http.Header
	at                           time.Time
	ran                          bool
}

// endpoint is a stand-in for a backend server.
type endpoint struct {
	id, service, zone string
	born              int64
	work              time.Duration
	listener          net.Listener
	server            *http.Server
	store             *store
	log               *record
	stop              chan struct{}

	mu       sync.Mutex
	state    string
	warmAt   time.Time
	sequence int
	writeNow chan struct{}
	// acked is when the store accepted the report of draining.
	acked    time.Time
	arrivals []arrival
}

// newEndpoint starts an endpoint, which registers itself in the store.
func newEndpoint(s *store, log *record, id, service, zone string, work, warmup time.Duration) *endpoint {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	e := &endpoint{
		id: id, service: service, zone: zone, born: time.Now().UnixMilli(), work: work, listener: l, store: s, log: log,
		stop: make(chan struct{}), state: names["inService"], warmAt: time.Now().Add(warmup), writeNow: make(chan struct{}, 1),
	}
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	return e
}

func (e *endpoint) address() string { return e.listener.Addr().String() }

// sameStatus reports whether two statuses differ in nothing but their sequence.
func sameStatus(a, b json.RawMessage) bool {
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	delete(x, "sequence")
	delete(y, "sequence")
	return fmt.Sprint(x) == fmt.Sprint(y)
}

// beat writes the entry at each heartbeat and at each change of the state, and again
// soon if the store does not take it.
func (e *endpoint) beat() {
	for {
		pause := heartbeat
		if e.write() != nil {
			pause = 100 * time.Millisecond
		}
		select {
		case <-e.stop:
			return
		case <-e.writeNow:
		case <-time.After(pause):
		}
	}
}

func (e *endpoint) write() error {
	e.mu.Lock()
	e.sequence++
	left := max(0, time.Until(e.warmAt).Milliseconds())
	state := e.state
	spec := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":2}}`, e.address(), e.born, e.service, e.zone)
	status := fmt.Sprintf(wire(`{"state":%q,"sequence":%d,"${warmup}":%d}`), state, e.sequence, left)
	e.mu.Unlock()
	_, err := e.store.put("servers", e.id, json.RawMessage(spec), json.RawMessage(status), sameStatus)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil && state == "draining" && e.acked.IsZero() {
		e.acked = time.Now()
		e.log.line("store acknowledged that %s is draining, revision %d", e.id, e.store.revision())
	}
	return err
}

// drain reports the endpoint as draining.
func (e *endpoint) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.writeNow <- struct{}{}
}

// leave ends the endpoint and removes its entry.
func (e *endpoint) leave() {
	close(e.stop)
	_ = e.store.remove("servers", e.id)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.server.Shutdown(ctx)
	e.log.line("%s ended", e.id)
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Agateusher-Request-Id")
	e.mu.Lock()
	draining := e.state == "draining"
	e.mu.Unlock()
	h := w.Header()
	if draining {
		h.Set("Server-Leaving", "1")
	}
	h.Set(names["instanceHeader"], e.id)
	if id != "" {
		h.Set("Agateusher-Request-Id", id)
	}
	if target := r.Header.Get(names["targetHeader"]); target != "" && target != e.id {
		h.Set(names["notExecutedHeader"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{endpoint: e.id, id: id, method: r.Method, target: r.RequestURI, header: r.Header.Clone(), at: time.Now(), ran: true}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	e.log.line("run %s by %s (%s)", id, e.id, e.service)
	time.Sleep(e.work)
	body := "answer to " + id + "\n"
	h.Set(names["signatureHeader"], e.id+"."+id)
	h.Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte(body))
}

func (e *endpoint) ran() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

func (e *endpoint) drainedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acked
}
