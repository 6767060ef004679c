package detector

import (
	"math"
	"slices"
	"time"
)

const (
	// recentSize is the number of the pool's last answers whose median tells
	// its present speed: with 20 servers, fewer than two of each, so that a
	// slowdown of the whole service is known before single servers stand out.
	recentSize = 32
	// recentStep is the number of answers between two computations.
	recentStep = 8
)

// recentAnswers holds the logarithms of the pool's last answered latencies.
type recentAnswers struct {
	logs  [recentSize]float64
	count int
}

// add records a latency and returns the lower median of the last recentSize
// logarithms of seconds; false between computations.
func (r *recentAnswers) add(d time.Duration) (float64, bool) {
	r.logs[r.count%recentSize] = math.Log(max(d, firstBucket).Seconds())
	r.count++
	if r.count < recentSize || r.count%recentStep != 0 {
		return 0, false
	}
	sorted := r.logs
	slices.Sort(sorted[:])
	return sorted[(recentSize-1)/2], true
}
