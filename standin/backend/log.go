package backend

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// End is how a request ended at the server.
type End string

// Ends of a request.
const (
	// EndRunning: the request has not ended; it waits for a slot or runs.
	EndRunning End = "running"
	// EndCompleted: the request ran and was answered with success.
	EndCompleted End = "completed"
	// EndError: the request ran and was answered with an injected error.
	EndError End = "error"
	// EndCancelled: the request was cancelled by DELETE.
	EndCancelled End = "cancelled"
	// EndDisconnected: the request's connection closed.
	EndDisconnected End = "disconnected"
	// EndDeadline: the request's deadline passed while it ran.
	EndDeadline End = "deadline"
	// EndShed: the request was shed without being run.
	EndShed End = "shed"
)

// Execution is one request in the execution log. Started is set if and only if
// the request ran, wholly or in part.
type Execution struct {
	Server         model.ServerID  `json:"server"`
	RequestID      model.RequestID `json:"requestId,omitempty"`
	ClientID       string          `json:"clientId,omitempty"`
	IdempotencyKey string          `json:"idempotencyKey,omitempty"`
	Method         string          `json:"method"`
	Path           string          `json:"path"`
	// Direct marks a measurement call that bypassed the fleet.
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

// logIndex is the index of a recorded request, or -1 if it was dropped.
type logIndex int

func (l *executionLog) arrive(e Execution) logIndex {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= l.limit {
		l.dropped++
		return -1
	}
	e.End = EndRunning
	l.entries = append(l.entries, e)
	return logIndex(len(l.entries) - 1)
}

func (l *executionLog) start(at logIndex, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at >= 0 {
		l.entries[at].Started = now
	}
}

func (l *executionLog) finish(at logIndex, now time.Time, end End) {
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
