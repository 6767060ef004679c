package retry

import (
	"math"
	"time"
)

const (
	// minLatency and maxLatency bound the range of the buckets. Latencies outside
	// it count at the nearest bound.
	minLatency = 100 * time.Microsecond
	maxLatency = 100 * time.Second
	// bucketsPerDoubling makes each bucket about 9% wide.
	bucketsPerDoubling = 8
	// windowSamples is the size of one window. The percentile is computed over
	// the current and the previous window, so it reflects a change of the
	// service's latency within two windows.
	windowSamples = 500
	// refreshSamples is the number of samples between two computations of the
	// delay.
	refreshSamples = 32
	// minSamples is the number of samples before the estimate replaces the
	// initial delay.
	minSamples = 20
)

var bucketCount = bucketIndex(maxLatency) + 1

// HedgeDelay estimates a high percentile of the latency from a stream of samples in
// constant space. Create it with NewHedgeDelay.
type HedgeDelay struct {
	percentile float64
	// windows holds the bucket counts of the current and the previous window, and
	// counts their numbers of samples.
	windows [2][]uint32
	counts  [2]int
	// sinceRefresh is the number of samples since delay was computed.
	sinceRefresh int
	delay        time.Duration
}

// NewHedgeDelay returns an estimator of the percentile (0 to 1). Its delay is
// initial until there are minSamples samples.
func NewHedgeDelay(percentile float64, initial time.Duration) *HedgeDelay {
	h := &HedgeDelay{percentile: min(max(percentile, 0), 1), delay: initial}
	for i := range h.windows {
		h.windows[i] = make([]uint32, bucketCount)
	}
	return h
}

// SetPercentile changes the percentile (0 to 1) and keeps the samples.
func (h *HedgeDelay) SetPercentile(percentile float64) {
	h.percentile = min(max(percentile, 0), 1)
	h.refresh()
}

// Observe records the latency of an attempt. An abandoned attempt must be recorded
// with its age, because leaving it out would lower the percentile.
func (h *HedgeDelay) Observe(latency time.Duration) {
	h.windows[0][bucketIndex(latency)]++
	h.counts[0]++
	h.sinceRefresh++
	if h.sinceRefresh >= refreshSamples || h.counts[0]+h.counts[1] == minSamples {
		h.refresh()
	}
	if h.counts[0] >= windowSamples {
		h.windows[0], h.windows[1] = h.windows[1], h.windows[0]
		h.counts[0], h.counts[1] = 0, h.counts[0]
		clear(h.windows[0])
	}
}

// Delay returns the estimate. It is at most one bucket, 9%, above the
// percentile of the samples.
func (h *HedgeDelay) Delay() time.Duration { return h.delay }

func (h *HedgeDelay) refresh() {
	h.sinceRefresh = 0
	total := h.counts[0] + h.counts[1]
	if total < minSamples {
		return
	}
	target := int(math.Ceil(h.percentile * float64(total)))
	seen := 0
	for i := range h.windows[0] {
		seen += int(h.windows[0][i] + h.windows[1][i])
		if seen >= target {
			h.delay = bucketUpperBound(i)
			return
		}
	}
}

// bucketIndex returns the index of the bucket for a latency.
func bucketIndex(d time.Duration) int {
	d = min(max(d, minLatency), maxLatency)
	return int(bucketsPerDoubling * math.Log2(float64(d)/float64(minLatency)))
}

// bucketUpperBound returns the upper bound of a bucket.
func bucketUpperBound(i int) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(float64(i+1)/bucketsPerDoubling))
}
