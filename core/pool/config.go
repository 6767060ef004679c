package pool

import (
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// Server is one configured backend server of the pool.
type Server struct {
	ID model.ServerID
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// State is the state that operators have set; empty means active.
	State snapshot.ServerState
}

// Config is the configuration of a pool. Zero values select the defaults named
// at each field; Plan and Detector are required.
type Config struct {
	// Servers lists the configured servers. A server that a later Config no
	// longer lists becomes Leaving: it gets no new requests and finishes the
	// running ones.
	Servers []Server
	// Limits is the floor: the capacity that ejections must leave in service.
	Limits floor.Limits
	// Plan decides which suspects are ejected and which ejected servers are
	// readmitted early; normally floor.Plan.
	Plan func(floor.Input) floor.Result
	// Detector judges the health of the servers. Configure ignores it, so that
	// the evidence is kept when the configuration changes.
	Detector detector.Detector
	// QueueLimit is the largest number of waiting requests; default
	// DefaultQueueLimit.
	QueueLimit int
	// WorkspaceQueueLimit is the largest number of waiting requests of one
	// workspace; default QueueLimit.
	WorkspaceQueueLimit int
	// RetryBudgetShare is the largest ratio of retries and hedges to requests;
	// default DefaultRetryBudgetShare. A negative value allows none.
	RetryBudgetShare float64
	// RetryBurst is the number of retries that the budget can accumulate;
	// default DefaultRetryBurst.
	RetryBurst int
	// HedgePercentile is the percentile of the pool's latency after which a
	// repeatable request is hedged, 0 to 1; default DefaultHedgePercentile. A
	// negative value disables hedging.
	HedgePercentile float64
	// ReserveShare is the share of the serving slots that is reserved for each
	// of the two classes of requests (repeatable or not) while the class uses
	// less. It is rounded down, but at least one slot in pools of at least
	// minReserveSlots slots. Default DefaultReserveShare; a negative value
	// reserves nothing.
	ReserveShare float64
	// ReserveIdleTimeout is how long slots stay reserved for a class after its
	// latest request. After that, a pool that gets requests of one class only
	// uses all of its slots for them. Default DefaultReserveIdleTimeout.
	ReserveIdleTimeout time.Duration
	// CancelHold bounds how long an abandoned attempt occupies its slot without
	// a confirmation by the server. The default is cancelHoldHedgeDelays hedge
	// delays, at most MaxCancelHold: by then most healthy servers have finished
	// the attempt even if they cannot cancel.
	CancelHold time.Duration
	// ServiceTime is the initial estimate of the mean time of an attempt;
	// default DefaultServiceTime.
	ServiceTime time.Duration
	// Readmission controls how ejected servers return to service.
	Readmission Readmission
}

// Readmission controls how ejected servers return to service and how slots of
// new and returned servers ramp up.
type Readmission struct {
	// EjectionTime is the time from the first ejection to probation. It doubles
	// with each consecutive ejection, up to MaxEjectionTime. Defaults:
	// DefaultEjectionTime, DefaultMaxEjectionTime.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// EjectionDecayTime is the time in service that undoes one doubling of the
	// ejection time; default DefaultEjectionDecayTime.
	EjectionDecayTime time.Duration
	// SuccessThreshold is the number of consecutive successes that return a
	// server on probation to service; default DefaultSuccessThreshold.
	SuccessThreshold int
	// MaxProbation is the time after which a server on probation without a
	// failure returns to service, even if there were too few repeatable requests
	// to test it; default DefaultMaxProbation. Without it, a pool that gets no
	// repeatable requests would never get a server back.
	MaxProbation time.Duration
	// RampTime is the time in which the usable slots of a new or returned server
	// grow from one to all; default DefaultRampTime. A negative value disables
	// the ramp.
	RampTime time.Duration
}

// Defaults of Config and Readmission. The configuration of a service can override
// DefaultQueueLimit and DefaultRetryBudgetShare.
const (
	DefaultQueueLimit         = 1000
	DefaultRetryBudgetShare   = 0.1
	DefaultRetryBurst         = 10
	DefaultHedgePercentile    = 0.95
	DefaultReserveShare       = 0.1
	DefaultReserveIdleTimeout = 10 * time.Second
	MaxCancelHold             = 2 * time.Second
	DefaultServiceTime        = 20 * time.Millisecond
	DefaultEjectionTime       = 5 * time.Second
	DefaultMaxEjectionTime    = 5 * time.Minute
	DefaultEjectionDecayTime  = time.Minute
	DefaultSuccessThreshold   = 3
	DefaultMaxProbation       = 30 * time.Second
	DefaultRampTime           = 10 * time.Second
)

// withDefaults replaces zero values by the defaults.
func (c Config) withDefaults() Config {
	setDefault(&c.QueueLimit, DefaultQueueLimit)
	setDefault(&c.WorkspaceQueueLimit, c.QueueLimit)
	setDefault(&c.RetryBudgetShare, DefaultRetryBudgetShare)
	setDefault(&c.RetryBurst, DefaultRetryBurst)
	setDefault(&c.HedgePercentile, DefaultHedgePercentile)
	setDefault(&c.ReserveShare, DefaultReserveShare)
	setDefault(&c.ReserveIdleTimeout, DefaultReserveIdleTimeout)
	setDefault(&c.ServiceTime, DefaultServiceTime)
	r := &c.Readmission
	setDefault(&r.EjectionTime, DefaultEjectionTime)
	setDefault(&r.MaxEjectionTime, DefaultMaxEjectionTime)
	setDefault(&r.EjectionDecayTime, DefaultEjectionDecayTime)
	setDefault(&r.SuccessThreshold, DefaultSuccessThreshold)
	setDefault(&r.MaxProbation, DefaultMaxProbation)
	setDefault(&r.RampTime, DefaultRampTime)
	return c
}

// latencyPercentile returns the percentile of the latency estimate. Admission
// uses the estimate, so it is kept even if hedging is disabled.
func (c Config) latencyPercentile() float64 {
	if c.HedgePercentile < 0 {
		return DefaultHedgePercentile
	}
	return c.HedgePercentile
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
