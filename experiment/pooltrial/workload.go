package pooltrial

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Parameters of the simulated pool, from the exploratory model of the design page.
const (
	Servers     = 20
	Slots       = 2
	MeanService = 20 * time.Millisecond
	// Capacity is in requests per second.
	Capacity = float64(Servers*Slots) * float64(time.Second) / float64(MeanService)
)

// lognormalSigma gives the service times a coefficient of variation of 1.3, which
// is somewhat higher than that of the exponential distribution.
const lognormalSigma = 1.0

// Service draws a service time with the mean MeanService.
type Service func(*rand.Rand) time.Duration

// Exponential draws an exponentially distributed service time.
func Exponential(r *rand.Rand) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(MeanService))
}

// Lognormal draws a lognormally distributed service time.
func Lognormal(r *rand.Rand) time.Duration {
	x := math.Exp(r.NormFloat64()*lognormalSigma - lognormalSigma*lognormalSigma/2)
	return time.Duration(x * float64(MeanService))
}

// newRand returns the random source of one stream of a seed.
func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Arrivals schedules Poisson arrivals. rate returns the requests per second at a
// given time.
func Arrivals(c *Clock, r *rand.Rand, rate func(time.Time) float64, arrive func()) {
	var next func()
	schedule := func() {
		gap := r.ExpFloat64() / rate(c.Now()) * float64(time.Second)
		c.After(time.Duration(gap), next)
	}
	next = func() {
		arrive()
		schedule()
	}
	schedule()
}

// Constant returns a rate that does not change.
func Constant(rate float64) func(time.Time) float64 {
	return func(time.Time) float64 { return rate }
}

// Samples is a set of measured durations.
type Samples []time.Duration

// Percentile returns the percentile p, 0 to 1, or zero if there are no samples.
func (s Samples) Percentile(p float64) time.Duration {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// WorkspaceStats counts the outcomes of the requests of one workspace.
type WorkspaceStats struct {
	Workspace model.WorkspaceID
	// Offered counts requests, Answered complete answers within the deadline,
	// NotRun and Unknown the other outcomes.
	Offered, Answered, NotRun, Unknown int
	// Latency is the time from arrival to the answer of each answered request.
	Latency Samples
}

// answeredShare returns the share of finished requests that were answered.
func (a *WorkspaceStats) answeredShare() float64 {
	return float64(a.Answered) / float64(a.Answered+a.NotRun+a.Unknown)
}
