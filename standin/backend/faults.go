package backend

import (
	"sync"
	"time"
)

// ResetPoint is the point of an answer at which its connection is reset.
type ResetPoint string

// Reset points: before, within and after the body of the answer. The request has
// run in all three cases.
const (
	ResetBefore ResetPoint = "before"
	ResetWithin ResetPoint = "within"
	ResetAfter  ResetPoint = "after"
)

// Faults describes how a server misbehaves. The zero value is a healthy
// server. Rates are probabilities for each request, from 0 to 1.
type Faults struct {
	// Stall holds every request until the fault is cleared, its connection
	// closes or it is cancelled. Probes are still answered.
	Stall bool `json:"stall,omitempty"`
	// StallControl holds /health, /load and cancellations too.
	StallControl bool `json:"stallControl,omitempty"`
	// ErrorRate is the rate of requests that run and are then answered with
	// ErrorStatus (default 500).
	ErrorRate   float64 `json:"errorRate,omitempty"`
	ErrorStatus int     `json:"errorStatus,omitempty"`
	// LatencyFactor multiplies service times; zero means 1.
	LatencyFactor float64 `json:"latencyFactor,omitempty"`
	// SlowRate limits LatencyFactor to a share of the requests; zero means all.
	SlowRate float64 `json:"slowRate,omitempty"`
	// ShedRate is the rate of requests that are shed without being run.
	ShedRate float64 `json:"shedRate,omitempty"`
	// TruncateRate is the rate of answers whose connection ends after half of the
	// body.
	TruncateRate float64 `json:"truncateRate,omitempty"`
	// LateRate is the rate of answers that are delayed by LateMs milliseconds
	// after the request finished and its slot was released.
	LateRate float64 `json:"lateRate,omitempty"`
	LateMs   int     `json:"lateMs,omitempty"`
	// ResetRate is the rate of requests whose connection is reset at ResetPoint
	// (default: before the body).
	ResetRate  float64    `json:"resetRate,omitempty"`
	ResetPoint ResetPoint `json:"resetPoint,omitempty"`
	// FlapOnMs and FlapOffMs make the faults above intermittent: they apply for
	// FlapOnMs milliseconds, then not for FlapOffMs milliseconds, and so on. They
	// always apply if FlapOffMs is zero.
	FlapOnMs  int `json:"flapOnMs,omitempty"`
	FlapOffMs int `json:"flapOffMs,omitempty"`
}

// Validate returns an *OptionError for the first field outside its range.
func (f Faults) Validate() error {
	rates := []struct {
		name  string
		value float64
	}{
		{"errorRate", f.ErrorRate}, {"slowRate", f.SlowRate}, {"shedRate", f.ShedRate},
		{"truncateRate", f.TruncateRate}, {"lateRate", f.LateRate}, {"resetRate", f.ResetRate},
	}
	for _, r := range rates {
		if r.value < 0 || r.value > 1 {
			return &OptionError{Option: r.name, Value: r.value, Expected: "a probability from 0 to 1"}
		}
	}
	if f.LatencyFactor < 0 {
		return &OptionError{Option: "latencyFactor", Value: f.LatencyFactor, Expected: "a positive factor"}
	}
	if f.ErrorStatus != 0 && (f.ErrorStatus < 400 || f.ErrorStatus > 599) {
		return &OptionError{Option: "errorStatus", Value: f.ErrorStatus, Expected: "a status from 400 to 599"}
	}
	switch f.ResetPoint {
	case "", ResetBefore, ResetWithin, ResetAfter:
	default:
		return &OptionError{Option: "resetPoint", Value: f.ResetPoint, Expected: `"before", "within" or "after"`}
	}
	if f.FlapOnMs < 0 || f.FlapOffMs < 0 || (f.FlapOffMs > 0 && f.FlapOnMs == 0) {
		return &OptionError{Option: "flapOnMs", Value: f.FlapOnMs, Expected: "a positive time when flapOffMs is set"}
	}
	return nil
}

// faultState holds the current faults and wakes stalled requests on a change.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	since   time.Time
	changed chan struct{}
}

func newFaultState(now time.Time) *faultState {
	return &faultState{since: now, changed: make(chan struct{})}
}

func (s *faultState) set(now time.Time, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.since = f, now
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) get() (Faults, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.since
}

// active returns the faults that apply now, a channel that closes on a change,
// and the time until flapping changes them (zero if there is no flapping).
func (s *faultState) active(now time.Time) (Faults, <-chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.FlapOffMs == 0 {
		return f, s.changed, 0
	}
	on := time.Duration(f.FlapOnMs) * time.Millisecond
	period := on + time.Duration(f.FlapOffMs)*time.Millisecond
	phase := now.Sub(s.since) % period
	if phase < on {
		return f, s.changed, on - phase
	}
	return Faults{}, s.changed, period - phase
}
