package detector

import (
	"math"
	"slices"
	"time"
)

const (
	// recentSize is the number of the pool's latest answers whose median latency
	// represents its current speed. With 20 servers these are fewer than two
	// answers of each, so that a slowdown of the whole service is detected
	// before single servers stand out.
	recentSize = 32
	// medianInterval is the number of answers between two computations of the
	// median.
	medianInterval = 8
)

// recentAnswers is a ring buffer with the logarithms of the latencies of the
// pool's latest answers.
type recentAnswers struct {
	logLatencies [recentSize]float64
	count        int
}

// add records a latency. Once there are recentSize answers, it returns after
// every medianInterval answers the lower median of the last recentSize latencies,
// as the natural logarithm of seconds; otherwise it returns false.
func (r *recentAnswers) add(d time.Duration) (float64, bool) {
	r.logLatencies[r.count%recentSize] = math.Log(max(d, firstBucket).Seconds())
	r.count++
	if r.count < recentSize || r.count%medianInterval != 0 {
		return 0, false
	}
	sorted := r.logLatencies
	slices.Sort(sorted[:])
	return sorted[(recentSize-1)/2], true
}
