package proof

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Request is the record of one request and its response.
type Request struct {
	Entry       string
	Sent, Ended time.Time
	// Abandoned is set if the caller cancelled the request before a whole
	// response arrived.
	Abandoned bool
	// Err is set if no whole response arrived.
	Err       error
	RequestID model.RequestID
	// Outcome is zero if there was no response or its header names no outcome.
	Outcome model.Outcome
	Reason  model.Reason
	Status  int
	Body    []byte
	// ContentChanged is set if the body differs from that of the operation's
	// other requests.
	ContentChanged bool
}

// Operation is a keyed operation or a lookup, with all requests sent for it.
type Operation struct {
	// ID is chosen by the caller; the stand-in servers return it in answers.
	ID string
	// Key is the idempotency key; empty for lookups.
	Key string
	// Bytes is the requested payload size of the answer.
	Bytes int
	// Deadline of a lookup, from its first request to its answer.
	Deadline time.Duration

	mu       sync.Mutex
	Requests []Request
}

// Add records a request that has ended.
func (o *Operation) Add(s Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Requests = append(o.Requests, s)
}

// Answered returns the requests that received a backend server's answer.
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
	mu         sync.Mutex
	operations []*Operation
}

// Add records an operation whose requests have all ended.
func (h *History) Add(o *Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

// Operations returns a copy of the list of recorded operations.
func (h *History) Operations() []*Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Operation(nil), h.operations...)
}

// Summary counts operations by the outcomes that their callers received.
type Summary struct {
	Keyed, Lookups, Requests int
	// Answered, NotRun, Unknown and NoOutcome count keyed operations by the best
	// outcome of any of their requests; this is the order from best to worst.
	Answered, NotRun, Unknown, NoOutcome int
	// FirstUnknown counts keyed operations whose first request was not abandoned
	// and received the outcome "unknown" or none.
	FirstUnknown int
	// Reasons counts responses without an answer, by "outcome/reason".
	Reasons map[string]int
}

// Summary returns the counts of the recorded operations.
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
		s.countKeyed(o)
	}
	return s
}

func (s *Summary) countKeyed(o *Operation) {
	outcomes := map[model.Outcome]bool{}
	for _, x := range o.Requests {
		outcomes[x.Outcome] = true
	}
	switch {
	case outcomes[model.Answered]:
		s.Answered++
	case outcomes[model.NotRun]:
		s.NotRun++
	case outcomes[model.Unknown]:
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
