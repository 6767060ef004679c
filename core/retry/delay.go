package retry

import (
	"math"
	"time"
)

const (
	// minLatency and maxLatency bound what the estimate can tell apart.
	minLatency = 100 * time.Microsecond
	maxLatency = 100 * time.Second
	// bucketsPerDoubling gives buckets of about 9% width.
	bucketsPerDoubling = 8
	// windowSamples is the size of one window. The percentile is taken over the
	// current and the previous window, so a change of the service's latency is
	// followed within two windows.
	windowSamples = 500
	// refreshSamples is how many samples pass between two computations.
	refreshSamples = 32
	// minSamples are needed before the estimate replaces the initial delay.
	minSamples = 20
)

var bucketCount = bucketOf(maxLatency) + 1

// HedgeDelay estimates a high percentile of the latency from a stream of
// samples, in constant space. Create it with NewHedgeDelay.
type HedgeDelay struct {
	percentile float64
	// recent holds the current and the previous window.
	recent  [2][]uint32
	count   [2]int
	pending int
	delay   time.Duration
}

// NewHedgeDelay returns an estimate of the percentile (0 to 1) that is initial
// until there are enough samples.
func NewHedgeDelay(percentile float64, initial time.Duration) *HedgeDelay {
	h := &HedgeDelay{percentile: min(max(percentile, 0), 1), delay: initial}
	for i := range h.recent {
		h.recent[i] = make([]uint32, bucketCount)
	}
	return h
}

// SetPercentile changes the percentile; the samples stay.
func (h *HedgeDelay) SetPercentile(percentile float64) {
	h.percentile = min(max(percentile, 0), 1)
	h.refresh()
}

// Observe records the latency of an attempt. An attempt that was given up is
// recorded with its age: leaving it out would lower the percentile.
func (h *HedgeDelay) Observe(latency time.Duration) {
	h.recent[0][bucketOf(latency)]++
	h.count[0]++
	h.pending++
	if h.pending >= refreshSamples || h.count[0]+h.count[1] == minSamples {
		h.refresh()
	}
	if h.count[0] >= windowSamples {
		h.recent[0], h.recent[1] = h.recent[1], h.recent[0]
		h.count[0], h.count[1] = 0, h.count[0]
		clear(h.recent[0])
	}
}

// Delay returns the estimate. It is at most one bucket, 9%, above the
// percentile of the samples.
func (h *HedgeDelay) Delay() time.Duration { return h.delay }

func (h *HedgeDelay) refresh() {
	h.pending = 0
	total := h.count[0] + h.count[1]
	if total < minSamples {
		return
	}
	target := int(math.Ceil(h.percentile * float64(total)))
	seen := 0
	for i := range h.recent[0] {
		seen += int(h.recent[0][i] + h.recent[1][i])
		if seen >= target {
			h.delay = bucketEnd(i)
			return
		}
	}
}

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) int {
	d = min(max(d, minLatency), maxLatency)
	return int(bucketsPerDoubling * math.Log2(float64(d)/float64(minLatency)))
}

// bucketEnd returns the upper end of a bucket.
func bucketEnd(i int) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(float64(i+1)/bucketsPerDoubling))
}
