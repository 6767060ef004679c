package proof

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Request is one request that a caller sent, and what it was told.
type Request struct {
	Entry       string
	Sent, Ended time.Time
	// Abandoned is set if the caller went away before an answer arrived.
	Abandoned bool
	// Err is set if no whole response arrived.
	Err       error
	RequestID model.RequestID
	// Outcome is zero if there was no response, or one that names no outcome.
	Outcome model.Outcome
	Reason  model.Reason
	Status  int
	Body    []byte
	// ContentChanged is set if the request's content differs from the operation's.
	ContentChanged bool
}

// Operation is one thing that a caller wants done, with all requests it sent
// for it.
type Operation struct {
	// ID is the caller's own identifier, which answers repeat.
	ID string
	// Key is the idempotency key; empty for lookups.
	Key string
	// Bytes is the payload size that was asked for.
	Bytes int
	// Deadline bounds a lookup from its first send to its answer.
	Deadline time.Duration

	mu       sync.Mutex
	Requests []Request
}

// Add records a send.
func (o *Operation) Add(s Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Requests = append(o.Requests, s)
}

// Answered returns the sends that brought a backend server's answer.
func (o *Operation) Answered() []Request {
	var list []Request
	for _, s := range o.Requests {
		if s.Err == nil && s.Outcome == model.Answered {
			list = append(list, s)
		}
	}
	return list
}

// History collects operations. It is safe for concurrent use.
type History struct {
	mu   sync.Mutex
	list []*Operation
}

// Add records an operation whose sends have ended.
func (h *History) Add(o *Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, o)
}

// Operations returns what was recorded.
func (h *History) Operations() []*Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Operation(nil), h.list...)
}

// Summary counts operations by what their callers know in the end.
type Summary struct {
	Keyed, Lookups, Requests int
	// Answered, NotRun, Unknown and NoOutcome count keyed operations by the best
	// thing that any of their sends was told, in this order.
	Answered, NotRun, Unknown, NoOutcome int
	// FirstUnknown counts keyed operations whose first send was told "unknown"
	// or got no whole response, without leaving.
	FirstUnknown int
	// Reasons counts responses that are not answers, by "outcome/reason".
	Reasons map[string]int
}

// Summary counts what was recorded.
func (h *History) Summary() Summary {
	s := Summary{Reasons: map[string]int{}}
	for _, o := range h.Operations() {
		s.Requests += len(o.Requests)
		for _, x := range o.Requests {
			if x.Err == nil && x.Outcome != model.Answered {
				s.Reasons[x.Outcome.String()+"/"+string(x.Reason)]++
			}
		}
		if o.Key == "" {
			s.Lookups++
			continue
		}
		s.Keyed++
		s.count(o)
	}
	return s
}

func (s *Summary) count(o *Operation) {
	told := map[model.Outcome]bool{}
	for _, x := range o.Requests {
		told[x.Outcome] = true
	}
	switch {
	case told[model.Answered]:
		s.Answered++
	case told[model.NotRun]:
		s.NotRun++
	case told[model.Unknown]:
		s.Unknown++
	default:
		s.NoOutcome++
	}
	if len(o.Requests) == 0 {
		return
	}
	first := o.Requests[0]
	for _, x := range o.Requests {
		if x.Sent.Before(first.Sent) {
			first = x
		}
	}
	if !first.Abandoned && first.Outcome != model.Answered && first.Outcome != model.NotRun {
		s.FirstUnknown++
	}
}
