package platform

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Outage says how an endpoint fails.
type Outage string

const (
	// OutageNone: the endpoint works.
	OutageNone Outage = ""
	// OutageRefuse answers 503 without any effect.
	OutageRefuse Outage = "refuse"
	// OutageHang never answers and has no effect. Connections that wait are
	// broken when it ends.
	OutageHang Outage = "hang"
)

// Faults are the faults of one endpoint. The zero value is no fault.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// DelayMs delays every call before it takes effect, in milliseconds.
	DelayMs int `json:"delayMs,omitempty"`
	// LoseReplies closes the connection without a response after each of the
	// next so many writes that took effect. Negative: all writes.
	LoseReplies int `json:"loseReplies,omitempty"`
	// LoseRequests closes the connection without a response before each of the
	// next so many writes takes effect. Negative: all writes.
	LoseRequests int `json:"loseRequests,omitempty"`
	// ReadLagMs makes reads, listings and watches see the objects as they were
	// so many milliseconds ago. Writes act on the current objects. At most
	// MaxReadLag.
	ReadLagMs int `json:"readLagMs,omitempty"`
}

// MaxReadLag is the longest that superseded values are kept.
const MaxReadLag = time.Minute

func (f Faults) readLag() time.Duration {
	return min(time.Duration(f.ReadLagMs)*time.Millisecond, MaxReadLag)
}

// faultSwitch holds faults and signals their change.
type faultSwitch struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newFaultSwitch() faultSwitch { return faultSwitch{changed: make(chan struct{})} }

func (s *faultSwitch) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultSwitch) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// take consumes one of the counted faults that count selects.
func (s *faultSwitch) take(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

func replies(f *Faults) *int  { return &f.LoseReplies }
func requests(f *Faults) *int { return &f.LoseRequests }

// admit delays or fails the call as the faults say. False means that the call
// has been answered.
func (e *Endpoint) admit(w http.ResponseWriter, r *http.Request) bool {
	f, changed := e.faults.get()
	if f.Outage == OutageHang {
		e.hang(r.Context(), changed)
	}
	if f.Outage == OutageRefuse {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	if f.DelayMs > 0 && !sleep(r.Context(), time.Duration(f.DelayMs)*time.Millisecond) {
		panic(http.ErrAbortHandler)
	}
	return true
}

// hang waits until the client gives up or the endpoint no longer hangs, and
// then breaks the connection. A call that went on after the outage would take
// effect although its client has given up.
func (e *Endpoint) hang(ctx context.Context, changed <-chan struct{}) {
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		var f Faults
		if f, changed = e.faults.get(); f.Outage != OutageHang {
			panic(http.ErrAbortHandler)
		}
	}
}

// loseRequest aborts a write that the faults lose before it takes effect.
func (e *Endpoint) loseRequest() {
	if e.faults.take(requests) {
		panic(http.ErrAbortHandler)
	}
}

// loseReply aborts a write that took effect and whose reply the faults lose.
func (e *Endpoint) loseReply() {
	if e.faults.take(replies) {
		panic(http.ErrAbortHandler)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
