package platform

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Outage is the way in which an endpoint is unavailable.
type Outage string

const (
	// OutageNone means that the endpoint is available.
	OutageNone Outage = ""
	// OutageRefuse answers 503. Calls have no effect.
	OutageRefuse Outage = "refuse"
	// OutageHang never answers. Calls have no effect. The connections of waiting
	// calls are closed when the outage ends.
	OutageHang Outage = "hang"
)

// Faults are the faults of one endpoint. The zero value is no fault.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// DelayMs delays every call before it takes effect, in milliseconds.
	DelayMs int `json:"delayMs,omitempty"`
	// LoseReplies is the number of coming writes after which the connection is
	// closed without a response, although the write took effect. Negative: all
	// writes.
	LoseReplies int `json:"loseReplies,omitempty"`
	// LoseRequests is the number of coming writes that have no effect and whose
	// connection is closed without a response. Negative: all writes.
	LoseRequests int `json:"loseRequests,omitempty"`
	// ReadLagMs makes reads, listings and watches see the objects as they were
	// this many milliseconds ago, at most MaxReadLag. Writes act on the current
	// objects.
	ReadLagMs int `json:"readLagMs,omitempty"`
}

// MaxReadLag is how long superseded values are kept.
const MaxReadLag = time.Minute

func (f Faults) readLag() time.Duration {
	return min(time.Duration(f.ReadLagMs)*time.Millisecond, MaxReadLag)
}

// faultSwitch holds the faults of an endpoint and signals their change.
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

// consume reports whether the counted fault in the field applies to this call, and
// decrements the field if it is positive.
func (s *faultSwitch) consume(field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := field(&s.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

func loseRepliesCount(f *Faults) *int  { return &f.LoseReplies }
func loseRequestsCount(f *Faults) *int { return &f.LoseRequests }

// applyFaults applies the outage and the delay to a call. It returns false if the
// call has been answered. It panics with http.ErrAbortHandler after a hang, or if
// the client gives up during the delay.
func (e *Endpoint) applyFaults(w http.ResponseWriter, r *http.Request) bool {
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

// hang waits until the client gives up or the endpoint no longer hangs, and then
// aborts the connection. If the call continued after the outage, it would take
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

// loseRequest aborts a write before it takes effect if LoseRequests applies.
func (e *Endpoint) loseRequest() {
	if e.faults.consume(loseRequestsCount) {
		panic(http.ErrAbortHandler)
	}
}

// loseReply aborts a write that took effect if LoseReplies applies.
func (e *Endpoint) loseReply() {
	if e.faults.consume(loseRepliesCount) {
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
