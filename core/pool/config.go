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
	// Slots is the number of requests it runs at a time.
	Slots int
	// State is what operators ask for; empty means active.
	State snapshot.ServerState
}

// Config is everything that a pool is told. Zero values select the defaults
// named at each field; Plan and Detector are required.
type Config struct {
	// Servers lists the configured servers. A server that a later Config no
	// longer lists is leaving: it gets no new work and finishes what it has.
	Servers []Server
	// Limits is the floor of the pool.
	Limits floor.Limits
	// Plan decides which suspects may be ejected; normally floor.Plan.
	Plan func(floor.Input) floor.Result
	// Detector judges the servers. Configure ignores it, so that evidence
	// survives a change of configuration.
	Detector detector.Detector
	// QueueLimit bounds the waiting requests; default DefaultQueueLimit.
	QueueLimit int
	// WorkspaceQueueLimit bounds the waiting requests of one workspace; default
	// QueueLimit.
	WorkspaceQueueLimit int
	// RetryBudgetShare is the largest ratio of retries and hedges to requests;
	// default DefaultRetryBudgetShare. A negative value allows none.
	RetryBudgetShare float64
	// RetryBurst is the number of retries that may be saved up; default
	// DefaultRetryBurst.
	RetryBurst int
	// HedgePercentile of the pool's latency after which a request that may be
	// repeated is hedged, 0 to 1; default DefaultHedgePercentile. A negative
	// value disables hedging.
	HedgePercentile float64
	// ReserveShare of the serving slots is kept for each of the two classes of
	// requests (repeatable or not) while it uses less: rounded down, but one slot
	// in pools of at least minReserveSlots. Default DefaultReserveShare; a
	// negative value reserves nothing.
	ReserveShare float64
	// ReserveIdleTimeout is how long slots stay reserved for a class after its
	// latest request, so that a pool with one class uses all of its slots;
	// default DefaultReserveIdleTimeout.
	ReserveIdleTimeout time.Duration
	// CancelHold bounds how long an attempt that this side ended occupies its
	// slot without a confirmation. By default it is holdDelays times the hedge
	// delay, at most MaxCancelHold: by then most healthy servers have ended
	// it even if they cannot cancel.
	CancelHold time.Duration
	// ServiceTime is the assumed time of an attempt until one was measured;
	// default DefaultServiceTime.
	ServiceTime time.Duration
	// Readmission controls how ejected servers return.
	Readmission Readmission
}

// Readmission controls how ejected and new servers are given work.
type Readmission struct {
	// EjectionTime is the time from a first ejection to probation. It doubles with each
	// ejection in a row up to MaxEjectionTime. Defaults: DefaultEjectionTime,
	// DefaultMaxEjectionTime.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// EjectionDecayTime is the time without an ejection that halves the next hold;
	// default DefaultEjectionDecayTime.
	EjectionDecayTime time.Duration
	// SuccessThreshold that a server on probation needs in a row; default
	// DefaultSuccessThreshold.
	SuccessThreshold int
	// MaxProbation returns a server on probation that had no failure, even
	// if there were too few repeatable requests to test it; default
	// DefaultMaxProbation. Without it a pool whose requests may not be repeated
	// would never get a server back.
	MaxProbation time.Duration
	// RampTime is how long the slots of a new or returned server grow from one
	// to all; default DefaultRampTime. A negative value disables the ramp.
	RampTime time.Duration
}

// Defaults of Config and Readmission. They are starting points that operators
// can override in the settings.
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

// latencyPercentile is the percentile that is estimated even without hedging,
// because admission uses it.
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
