package pooltrial

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// The modelled pool: that of the design page's exploratory model.
const (
	Servers     = 20
	Slots       = 2
	MeanService = 20 * time.Millisecond
	// Capacity in requests a second.
	Capacity = float64(Servers*Slots) * float64(time.Second) / float64(MeanService)
)

// lognormalSigma of the service times gives a coefficient of variation of 1.3,
// somewhat heavier than exponential.
const lognormalSigma = 1.0

// Service draws a service time with the mean MeanService.
type Service func(*rand.Rand) time.Duration

// Exponential service times.
func Exponential(r *rand.Rand) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(MeanService))
}

// Lognormal service times.
func Lognormal(r *rand.Rand) time.Duration {
	x := math.Exp(r.NormFloat64()*lognormalSigma - lognormalSigma*lognormalSigma/2)
	return time.Duration(x * float64(MeanService))
}

// newRand returns a random source of a seed and a stream of it.
func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Arrivals schedules Poisson arrivals at a rate that may change: rate returns
// the requests a second at a time.
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

// Samples is a set of measured times.
type Samples []time.Duration

// Percentile returns the percentile p, 0 to 1; zero of no samples.
func (s Samples) Percentile(p float64) time.Duration {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// Account is what happened to the requests of one workspace.
type Account struct {
	Workspace model.WorkspaceID
	// Offered counts requests, Answered whole answers in time, NotRun and
	// Unknown the other outcomes.
	Offered, Answered, NotRun, Unknown int
	// Latency from arrival to the answer, of answered requests.
	Latency Samples
}

// answeredShare is the share of the finished requests that were answered.
func (a *Account) answeredShare() float64 {
	return float64(a.Answered) / float64(a.Answered+a.NotRun+a.Unknown)
}
