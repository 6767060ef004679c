package admission

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of the averages of arrival rates.
	rateTime = 6 * time.Second
	// minRateTime is the shortest time that an average is taken over.
	minRateTime = 500 * time.Millisecond
	// minRate is added to rates that are divided, so that a few arrivals after an idle
	// time give no extreme share.
	minRate = 0.05
	// minServiceTime bounds the rate that is expected of servers.
	minServiceTime = time.Millisecond
)

// rate is an exponentially weighted average of events per second.
type rate struct {
	value     float64
	since, at time.Time
}

func (r *rate) add(now time.Time) {
	if r.at.IsZero() {
		r.since = now
	}
	r.value, r.at = r.value*decay(now.Sub(r.at))+1/rateTime.Seconds(), now
}

// perSecond returns the average over the time since the first event, if that is
// shorter than the memory of the average.
func (r *rate) perSecond(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	seen := 1 - decay(max(minRateTime, now.Sub(r.since)))
	return r.value * decay(now.Sub(r.at)) / seen
}

func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / rateTime.Seconds()) }
