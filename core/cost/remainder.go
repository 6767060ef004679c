package cost

import (
	"math"
	"time"
)

const (
	// buckets is the number of buckets of ratios of service times to their estimates. Each
	// is bucketsPerDouble-th of a factor of two wide, from 2 to the minRatioExponent up.
	buckets          = 40
	bucketsPerDouble = 4
	minRatioExponent = -4
	// priorSamples is the weight of the exponential distribution that is assumed without
	// samples.
	priorSamples = 20
	// rememberedSamples is the number of samples after which older ones count 1/e.
	rememberedSamples = 2000
)

// Remainders has the distribution of service times in relation to their estimates.
type Remainders struct {
	counts [buckets]float64
	// remaining is the expected remainder, in estimates, at the lower bound of each bucket.
	remaining [buckets]float64
}

// NewRemainders returns the exponential distribution, whose remainder does not depend on
// the age.
func NewRemainders() *Remainders {
	r := &Remainders{}
	for i := range r.counts {
		above := 0.0
		if i < buckets-1 {
			above = math.Exp(-lowerBound(i + 1))
		}
		below := math.Exp(-lowerBound(i))
		if i == 0 {
			below = 1
		}
		r.counts[i] = priorSamples * (below - above)
	}
	r.update()
	return r
}

// lowerBound returns the least ratio of bucket i.
func lowerBound(i int) float64 {
	return math.Exp2(minRatioExponent + float64(i)/bucketsPerDouble)
}

func bucketOf(ratio float64) int {
	return int(min(max((math.Log2(ratio)-minRatioExponent)*bucketsPerDouble, 0), buckets-1))
}

// Observe records the service time of a request with the given estimate.
func (r *Remainders) Observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	for i := range r.counts {
		r.counts[i] *= 1 - 1.0/rememberedSamples
	}
	r.counts[bucketOf(float64(took)/float64(estimate))]++
	r.update()
}

func (r *Remainders) update() {
	weight, sum := 0.0, 0.0
	for i := buckets - 1; i >= 0; i-- {
		middle := lowerBound(i) * math.Exp2(0.5/bucketsPerDouble)
		if i == 0 {
			middle = lowerBound(1) / 2
		}
		weight += r.counts[i]
		sum += r.counts[i] * middle
		r.remaining[i] = max(sum/weight-lowerBound(i), 0)
		if i == 0 {
			r.remaining[i] = sum / weight
		}
	}
}

// Remaining returns the expected time that a request with the given estimate still needs
// after it has run for the time age.
func (r *Remainders) Remaining(estimate, age time.Duration) time.Duration {
	if estimate <= 0 {
		return 0
	}
	if age <= 0 {
		return time.Duration(r.remaining[0] * float64(estimate))
	}
	ratio := float64(age) / float64(estimate)
	i := bucketOf(ratio)
	if i == buckets-1 {
		return time.Duration(r.remaining[i] * float64(estimate))
	}
	// Between the bounds of a bucket the remainder is interpolated.
	low, high := lowerBound(i), lowerBound(i+1)
	if i == 0 {
		low = 0
	}
	share := min(max((ratio-low)/(high-low), 0), 1)
	return time.Duration(((1-share)*r.remaining[i] + share*r.remaining[i+1]) * float64(estimate))
}
