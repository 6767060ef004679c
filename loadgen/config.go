package loadgen

import (
	"fmt"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/standin/backend"
)

// Defaults of Config.
const (
	DefaultDuration = 10 * time.Second
	// DefaultTimeout is how long a caller waits for one answer.
	DefaultTimeout = 10 * time.Second
	// DefaultRepeats is the number of times a caller repeats a request whose
	// answer was lost.
	DefaultRepeats = 2
	// DefaultKeyBatch is the number of idempotency keys fetched per call.
	DefaultKeyBatch = 20
	// DefaultMaxInFlight limits concurrent requests; requests beyond it are not
	// sent and count as overflow.
	DefaultMaxInFlight = 20_000
	// DefaultQuietPeriod is the time without new requests after which a server
	// counts as ejected.
	DefaultQuietPeriod = time.Second
	// DefaultSettleTime is the wait between the last answer and reading the
	// execution logs, so that requests still in flight are recorded.
	DefaultSettleTime = 500 * time.Millisecond
	// DefaultBytes is the payload size of an answer, in bytes.
	DefaultBytes = 512
)

// ArrivalKind names an arrival process.
type ArrivalKind string

const (
	// Poisson arrivals have exponential gaps. The default.
	Poisson ArrivalKind = "poisson"
	// FixedRate arrivals have equal gaps.
	FixedRate ArrivalKind = "fixed"
)

// Workspace is a group of callers with its own arrival process.
type Workspace struct {
	ID model.WorkspaceID
	// RatePerSecond is in requests per second.
	RatePerSecond float64
}

// Operation is a kind of request.
type Operation struct {
	// Method and Path are sent unchanged.
	Method string
	Path   string
	// Repeatable marks lookups; other requests are sent with an idempotency key.
	Repeatable bool
	// Weight is its share of the requests relative to the other operations.
	Weight float64
}

// String returns "METHOD path".
func (o Operation) String() string { return o.Method + " " + o.Path }

// FaultPlan injects a fault into one backend server during the run.
type FaultPlan struct {
	Server model.ServerID
	// At is relative to the start of the run.
	At time.Duration
	// For is the duration of the fault; zero: until the end of the run.
	For    time.Duration
	Faults backend.Faults
}

// Config describes a run. The zero value of an optional field selects its
// default.
type Config struct {
	// Entries are the caller listeners of the fleet, "ip:port".
	Entries []string
	// Host is sent as the requests' host name; empty: the entry's address.
	Host       string
	Workspaces []Workspace
	Operations []Operation
	Arrivals   ArrivalKind
	Duration   time.Duration
	// Bytes is the payload size of every answer, in bytes.
	Bytes int
	// Timeout is how long a caller waits for one answer. A lost answer is
	// repeated up to Repeats times through other entries, with the same key.
	// A negative number of repeats means none.
	Timeout time.Duration
	Repeats int
	// RepeatUnknown also repeats requests whose outcome is unknown.
	RepeatUnknown bool
	KeyBatch      int
	MaxInFlight   int
	// StandinAdmin is the admin address of the stand-in servers, "ip:port" (see
	// backend.Group). Empty: no direct calls, no execution logs, no faults.
	StandinAdmin string
	// DirectShare is the ratio of direct calls to requests, 0 to 1.
	DirectShare float64
	Fault       *FaultPlan
	// Daemons are the admin addresses of the daemons that are polled for ejected
	// servers.
	Daemons     []string
	QuietPeriod time.Duration
	SettleTime  time.Duration
	// Seed makes arrivals and the choice of operations reproducible.
	Seed uint64
}

// ConfigError reports an invalid value in a Config.
type ConfigError struct {
	Field    string
	Value    any
	Expected string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("load %s: got %v, expected %s", e.Field, e.Value, e.Expected)
}

func (c Config) withDefaults() Config {
	setDefault(&c.Arrivals, Poisson)
	setDefault(&c.Duration, DefaultDuration)
	setDefault(&c.Timeout, DefaultTimeout)
	setDefault(&c.Repeats, DefaultRepeats)
	setDefault(&c.KeyBatch, DefaultKeyBatch)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.QuietPeriod, DefaultQuietPeriod)
	setDefault(&c.SettleTime, DefaultSettleTime)
	setDefault(&c.Bytes, DefaultBytes)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validate returns a *ConfigError for the first invalid value.
func (c Config) validate() error {
	rate, weight := 0.0, 0.0
	for _, w := range c.Workspaces {
		if w.RatePerSecond < 0 {
			return &ConfigError{Field: "rate of workspace " + string(w.ID), Value: w.RatePerSecond, Expected: "requests per second"}
		}
		rate += w.RatePerSecond
	}
	for _, o := range c.Operations {
		weight += o.Weight
	}
	switch {
	case len(c.Entries) == 0:
		return &ConfigError{Field: "entries", Value: "none", Expected: "at least one ip:port"}
	case rate <= 0:
		return &ConfigError{Field: "workspaces", Value: rate, Expected: "a positive total rate"}
	case weight <= 0:
		return &ConfigError{Field: "operations", Value: weight, Expected: "a positive total weight"}
	case c.Arrivals != Poisson && c.Arrivals != FixedRate:
		return &ConfigError{Field: "arrivals", Value: c.Arrivals, Expected: `"poisson" or "fixed"`}
	case c.DirectShare < 0 || c.DirectShare > 1:
		return &ConfigError{Field: "direct share", Value: c.DirectShare, Expected: "a ratio from 0 to 1"}
	case c.Fault != nil && c.StandinAdmin == "":
		return &ConfigError{Field: "fault", Value: c.Fault.Server, Expected: "the administration address of the stand-in servers"}
	}
	return nil
}
