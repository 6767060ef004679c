package detection

import (
	"time"

	"github.com/agateusher/agateusher/core/detector"
)

// LongRunResult is the sum of healthy pools without any fault.
type LongRunResult struct {
	ServerDays float64
	Attempts   int
	False      int
	Signals    map[string]int
}

// longRunPart is the simulated time of one seed. Each seed starts with an
// empty reference, so short parts also exercise cold starts.
const longRunPart = 6 * time.Hour

const secondsPerDay = 24 * 3600

// LongRun simulates healthy servers for a number of server-days, rounded up to
// whole seeds.
func LongRun(p detector.Profile, b Background, rate, serverDays float64, seed uint64, workers int) LongRunResult {
	perSeed := poolServers * longRunPart.Seconds() / secondsPerDay
	seeds, part := int(serverDays/perSeed+0.999), longRunPart
	if serverDays < perSeed {
		seeds, part = 1, time.Duration(serverDays/perSeed*float64(longRunPart))
	}
	r := LongRunResult{Signals: map[string]int{}}
	c := NewConfig(Sequential(p), NoFault, rate, part, 0)
	c.Background, c.FromStart = b, true
	for _, o := range RunSeeds(c, seed, seeds, workers) {
		r.ServerDays += poolServers * o.Elapsed.Seconds() / secondsPerDay
		r.Attempts += o.Attempts
		r.False += o.FalseTotal()
		for s, n := range o.False {
			r.Signals[s] += n
		}
	}
	return r
}
