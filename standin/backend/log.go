package backend

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// End says how a request ended at the server.
type End string

// Ends of a request.
const (
	// EndRunning: it waits or runs.
	EndRunning End = "running"
	// EndCompleted: it ran and was answered with success.
	EndCompleted End = "completed"
	// EndError: it ran and was answered with an error by a fault.
	EndError End = "error"
	// EndCancelled: it was cancelled by DELETE.
	EndCancelled End = "cancelled"
	// EndDisconnected: its connection closed.
	EndDisconnected End = "disconnected"
	// EndDeadline: its deadline passed.
	EndDeadline End = "deadline"
	// EndShed: it was shed without being run.
	EndShed End = "shed"
)

// Execution is one request in the execution log. A request has run, wholly or
// in part, exactly if Started is set.
type Execution struct {
	Server         model.ServerID  `json:"server"`
	RequestID      model.RequestID `json:"requestId,omitempty"`
	ClientID       string          `json:"clientId,omitempty"`
	IdempotencyKey string          `json:"idempotencyKey,omitempty"`
	Method         string          `json:"method"`
	Path           string          `json:"path"`
	// Direct marks a measuring call that bypassed the fleet.
	Direct   bool      `json:"direct,omitempty"`
	Arrived  time.Time `json:"arrived"`
	Started  time.Time `json:"started,omitzero"`
	Finished time.Time `json:"finished,omitzero"`
	End      End       `json:"end"`
}

// Ran reports whether the request started to run.
func (e Execution) Ran() bool { return !e.Started.IsZero() }

// executionLog records requests in the order of their arrival.
type executionLog struct {
	mu      sync.Mutex
	limit   int
	entries []Execution
	dropped int
}

// entry refers to one recorded request; a negative one was dropped.
type entry int

func (l *executionLog) arrive(e Execution) entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= l.limit {
		l.dropped++
		return -1
	}
	e.End = EndRunning
	l.entries = append(l.entries, e)
	return entry(len(l.entries) - 1)
}

func (l *executionLog) start(at entry, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at >= 0 {
		l.entries[at].Started = now
	}
}

func (l *executionLog) finish(at entry, now time.Time, end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at >= 0 {
		l.entries[at].Finished, l.entries[at].End = now, end
	}
}

// since returns copies of the requests that arrived at or after t, and the
// number of requests that could not be recorded.
func (l *executionLog) since(t time.Time) ([]Execution, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Execution, 0, len(l.entries))
	for _, e := range l.entries {
		if !e.Arrived.Before(t) {
			out = append(out, e)
		}
	}
	return out, l.dropped
}
