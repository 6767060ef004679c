package main

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// queueLength is how many requests an endpoint queues beyond its slots.
const queueLength = 8

// arrival is a request that reached an endpoint.
type arrival struct {
	id, endpoint, service, method, target string
	body                                  uint32 // checksum
	deadline                              time.Duration
	at, began, ended                      time.Time
	ran, cut                              bool
}

// endpoint is a sound backend server: it runs requests in its slots, sheds when its queue
// is full, rejects those for another instance, and drops a request whose connection closes.
type endpoint struct {
	id, service, zone string
	born              int64
	slots             int
	work              func(id string) time.Duration
	listener          net.Listener
	record            *record

	slot  chan struct{}
	queue chan struct{}

	mu       sync.Mutex
	arrivals []*arrival
	conns    map[net.Conn]struct{}
}

func newEndpoint(rec *record, address, id, service, zone string, slots int, work time.Duration) (*endpoint, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: slots, listener: l, record: rec,
		work: func(string) time.Duration { return work },
		slot: make(chan struct{}, slots), queue: make(chan struct{}, slots+queueLength), conns: map[net.Conn]struct{}{},
	}
	go e.accept()
	return e, nil
}

func (e *endpoint) address() string { return e.listener.Addr().String() }

// entry returns the spec and the status of the endpoint's entry in the store.
func (e *endpoint) entry(state string, sequence int) (spec, status any) {
	return map[string]any{
			"address": e.address(), "born": e.born,
			"info": map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "capacity": e.slots},
		}, map[string]any{
			"state": state, "sequence": sequence, wire.WarmupLeft: 0,
		}
}

func (e *endpoint) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = struct{}{}
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *endpoint) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil || !e.handle(c, r, req) || req.Close {
			return
		}
	}
}

func (e *endpoint) handle(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	a := &arrival{id: req.Header.Get(wire.RequestID), endpoint: e.id, service: e.service, method: req.Method, target: req.RequestURI, at: time.Now()}
	if ms, err := strconv.ParseFloat(req.Header.Get(wire.Deadline), 64); err == nil {
		a.deadline = time.Duration(ms * float64(time.Millisecond))
	}
	sum := fnv.New32a()
	if _, err := io.Copy(sum, req.Body); err != nil {
		return false
	}
	a.body = sum.Sum32()
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	if target := req.Header.Get(wire.Target); target != "" && target != e.id {
		e.record.add("%s %s rejects %s: misdirected", e.service, e.id, a.id)
		return write(c, 421, a.id, wire.NotExecuted+": misdirected\r\n"+wire.Instance+": "+e.id+"\r\n", "")
	}
	select {
	case e.queue <- struct{}{}:
		defer func() { <-e.queue }()
	default:
		e.record.add("%s %s rejects %s: full", e.service, e.id, a.id)
		return write(c, 503, a.id, wire.NotExecuted+": full\r\n", "")
	}
	e.slot <- struct{}{}
	defer func() { <-e.slot }()
	return e.run(c, r, a)
}

// run works on a request. It returns false if the connection ends meanwhile.
func (e *endpoint) run(c net.Conn, r *bufio.Reader, a *arrival) bool {
	e.mu.Lock()
	a.ran, a.began = true, time.Now()
	e.mu.Unlock()
	e.record.add("%s %s runs %s %s %s", e.service, e.id, a.id, a.method, a.target)
	work, late := e.work(a.id), false
	if left := a.deadline - time.Since(a.at); a.deadline > 0 && work > left {
		work, late = max(0, left), true
	}
	_ = c.SetReadDeadline(time.Now().Add(work))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	e.mu.Lock()
	a.ended = time.Now()
	a.cut = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	e.mu.Unlock()
	switch {
	case a.cut:
		e.record.add("%s %s drops %s: its connection closed", e.service, e.id, a.id)
		return false
	case late:
		e.record.add("%s %s ends %s: deadline", e.service, e.id, a.id)
		return write(c, 504, a.id, wire.Signature+": "+stamp(e.id, a.id)+"\r\n", "late\n")
	}
	e.record.add("%s %s ends %s: 200", e.service, e.id, a.id)
	return write(c, 200, a.id, wire.Signature+": "+stamp(e.id, a.id)+"\r\n", answerTo(a.id))
}

func stamp(endpoint, id string) string { return endpoint + "." + id }

// answerTo returns the body of the answer to a request.
func answerTo(id string) string { return "answer to " + id + "\n" }

func write(c net.Conn, status int, id, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), wire.RequestID, id, headers, len(body), body)
	return err == nil
}

// all returns copies of the requests that arrived.
func (e *endpoint) all() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]arrival, len(e.arrivals))
	for i, a := range e.arrivals {
		out[i] = *a
	}
	return out
}
