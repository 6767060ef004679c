package backend

import (
	"sync"
	"time"
)

// ResetPoint says where a connection is reset.
type ResetPoint string

// Points of a connection reset. In all three cases the request has run.
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
	// ErrorRate is the rate of requests that run and are answered with
	// ErrorStatus (default 500).
	ErrorRate   float64 `json:"errorRate,omitempty"`
	ErrorStatus int     `json:"errorStatus,omitempty"`
	// LatencyFactor multiplies service times; zero means 1.
	LatencyFactor float64 `json:"latencyFactor,omitempty"`
	// SlowRate limits LatencyFactor to a share of the requests; zero means all.
	SlowRate float64 `json:"slowRate,omitempty"`
	// ShedRate is the rate of requests that are shed without being run.
	ShedRate float64 `json:"shedRate,omitempty"`
	// TruncateRate is the rate of answers that end within their body.
	TruncateRate float64 `json:"truncateRate,omitempty"`
	// LateRate is the rate of answers that are held for LateMs milliseconds
	// after the request finished and its slot was released.
	LateRate float64 `json:"lateRate,omitempty"`
	LateMs   int     `json:"lateMs,omitempty"`
	// ResetRate is the rate of requests whose connection is reset at ResetPoint
	// (default: before the body).
	ResetRate  float64    `json:"resetRate,omitempty"`
	ResetPoint ResetPoint `json:"resetPoint,omitempty"`
	// FlapOnMs and FlapOffMs make the faults above come and go: they apply for
	// FlapOnMs milliseconds, then not for FlapOffMs. Zero: they always apply.
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

// faultBox holds the current faults and wakes stalled requests on a change.
type faultBox struct {
	mu      sync.Mutex
	faults  Faults
	since   time.Time
	changed chan struct{}
}

func newFaultBox(now time.Time) *faultBox {
	return &faultBox{since: now, changed: make(chan struct{})}
}

func (b *faultBox) set(now time.Time, f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults, b.since = f, now
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *faultBox) get() (Faults, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.since
}

// active returns the faults that apply now, a channel that closes on a change,
// and the time until flapping changes them (zero: never).
func (b *faultBox) active(now time.Time) (Faults, <-chan struct{}, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.faults
	if f.FlapOffMs == 0 {
		return f, b.changed, 0
	}
	on := time.Duration(f.FlapOnMs) * time.Millisecond
	period := on + time.Duration(f.FlapOffMs)*time.Millisecond
	phase := now.Sub(b.since) % period
	if phase < on {
		return f, b.changed, on - phase
	}
	return Faults{}, b.changed, period - phase
}
