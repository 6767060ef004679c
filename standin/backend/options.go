package backend

import (
	"fmt"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Defaults of Options.
const (
	// DefaultSlots is the number of slots of a backend server on both users'
	// sites.
	DefaultSlots = 2
	// DefaultServiceTime is the mean service time of the design page's model.
	DefaultServiceTime = 20 * time.Millisecond
	// DefaultPayloadBytes is the payload of a request that names no size.
	DefaultPayloadBytes = 256
	// MaxPayloadBytes is the largest payload that a request may ask for.
	MaxPayloadBytes = 4 << 20
	// DefaultLogLimit is the number of executions that a server records.
	DefaultLogLimit = 1_000_000
	// DefaultShedHeader is the response header that marks a 503 as not run.
	DefaultShedHeader = "X-Request-Not-Run"
)

// Options describes a stand-in server. The zero value of a field selects its
// default.
type Options struct {
	// ID is echoed in every answer.
	ID model.ServerID
	// Service and DataCentre are labels for listings.
	Service    model.ServiceName
	DataCentre model.DataCentre
	// Slots is the number of requests that run concurrently. Default: 2.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot. Default: 0,
	// so a request that finds no free slot is shed at once.
	QueueLimit int
	// QueueWait is the longest wait for a slot, after which a request is shed.
	// Default: no limit.
	QueueWait time.Duration
	// Connections limits open connections; further ones are closed at once.
	// Default: no limit.
	Connections int
	// ConnectDelay delays the first read of each connection.
	ConnectDelay time.Duration
	// ServiceTime is the distribution of the time that a request runs.
	// Default: exponential with a mean of 20 ms.
	ServiceTime Distribution
	// ColdStart is the time after a start during which service times are
	// multiplied by a factor that falls linearly from ColdFactor to 1.
	ColdStart  time.Duration
	ColdFactor float64
	// PayloadBytes is the payload of a request that names no size.
	PayloadBytes int
	// Health selects what /health and /load report.
	Health HealthMode
	// HealthLag is the maximum age of the reports of /health and /load with
	// HealthLagging.
	HealthLag time.Duration
	// ProbeDelay delays the answers of /health and /load.
	ProbeDelay time.Duration
	// IgnoreClose lets a request run to its end after its connection closed.
	IgnoreClose bool
	// IgnoreDeadline lets a request run past the time in its header
	// Agateusher-Budget-Us (microseconds).
	IgnoreDeadline bool
	// CancelDelay is how long a request still occupies its slot after it was
	// cancelled, lost its connection or passed its deadline.
	CancelDelay time.Duration
	// ShedHeader is the response header that marks a 503 as not run.
	ShedHeader string
	// LogLimit is the maximum number of recorded executions. Further ones are
	// counted as dropped.
	LogLimit int
	// Seed makes service times and random faults reproducible.
	Seed uint64
}

// OptionError reports an option or a fault whose value is outside its range.
type OptionError struct {
	Option   string
	Value    any
	Expected string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("%s: got %v, expected %s", e.Option, e.Value, e.Expected)
}

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.ServiceTime.Kind == "" {
		o.ServiceTime.Kind = Exponential
	}
	if o.ServiceTime.Mean == 0 {
		o.ServiceTime.Mean = DefaultServiceTime
	}
	if o.PayloadBytes <= 0 {
		o.PayloadBytes = DefaultPayloadBytes
	}
	if o.ColdFactor < 1 {
		o.ColdFactor = 1
	}
	if o.Health == "" {
		o.Health = HealthHonest
	}
	if o.ShedHeader == "" {
		o.ShedHeader = DefaultShedHeader
	}
	if o.LogLimit <= 0 {
		o.LogLimit = DefaultLogLimit
	}
	return o
}
