package detection

import (
	"time"

	"github.com/agateusher/agateusher/core/detector"
)

// LongRunResult sums the trials of healthy pools. Signals counts the false
// ejections by signal.
type LongRunResult struct {
	ServerDays     float64
	Attempts       int
	FalseEjections int
	Signals        map[string]int
}

// longRunTimePerSeed is the simulated time of one seed. Each seed starts with an
// empty reference, so several short seeds also cover cold starts.
const longRunTimePerSeed = 6 * time.Hour

const secondsPerDay = 24 * 3600

// LongRun simulates healthy servers for the given server-days, rounded up to
// whole seeds if they exceed one seed.
func LongRun(p detector.Profile, b Background, rate, serverDays float64, seed uint64, workers int) LongRunResult {
	perSeed := poolServers * longRunTimePerSeed.Seconds() / secondsPerDay
	seeds, part := int(serverDays/perSeed+0.999), longRunTimePerSeed
	if serverDays < perSeed {
		seeds, part = 1, time.Duration(serverDays/perSeed*float64(longRunTimePerSeed))
	}
	r := LongRunResult{Signals: map[string]int{}}
	c := NewConfig(Sequential(p), NoFault, rate, part, 0)
	c.Background, c.FromStart = b, true
	for _, o := range RunSeeds(c, seed, seeds, workers) {
		r.ServerDays += poolServers * o.Elapsed.Seconds() / secondsPerDay
		r.Attempts += o.Attempts
		r.FalseEjections += o.TotalFalseEjections()
		for s, n := range o.FalseEjections {
			r.Signals[s] += n
		}
	}
	return r
}
