package detector

import (
	"math"
	"time"
)

// Latency buckets reach from 0.25 ms to 16 s and grow by a third of an octave,
// which is fine enough compared with the spread of real latencies.
const (
	buckets          = 48
	bucketsPerOctave = 3
	firstBucket      = 250 * time.Microsecond
)

const (
	// minAtRisk is the number of samples at risk below which the hazard of a
	// bucket is extrapolated instead of estimated from the samples.
	minAtRisk = 3
	// fullTailSamples is the number of samples from which on the tail is
	// extrapolated with the full TailIndex. With fewer samples, slow answers
	// that occur once in a few hundred requests may not have been seen yet.
	fullTailSamples = 1000
	// priorRate is the failure rate assumed before there are samples,
	// priorWeight its weight in attempts.
	priorRate, priorWeight = 0.005, 200
	// shortWindowPerServer is the length of the short window for failures, in
	// attempts per server: long enough to estimate a rate, short enough that
	// the reference follows a failure of the whole pool before single servers
	// stand out.
	shortWindowPerServer = 4
	// shortMargin is the factor applied to the failure rate of the short window
	// so that its noise does not count against servers while the whole service
	// fails: two standard errors of a rate of 0.5 in about 90 attempts.
	shortMargin = 1.2
	// minShortWindow is the minimum length of the short window and
	// priorShortWeight the weight of the long window's rate in it, both in
	// attempts.
	minShortWindow, priorShortWeight = 20, 10
	// maxWeight bounds the weight of a new sample, so that float32 sums stay
	// exact enough. Beyond it the older samples are scaled down instead.
	maxWeight = 1e5
)

// weightedSamples holds sums over the samples of one server or of the whole
// pool. Instead of decaying old samples, the weight of new ones grows with each
// attempt of the pool, so that a server's sums can be subtracted exactly from
// the pool's.
type weightedSamples struct {
	answered [buckets]float32 // per latency bucket, ended by an answer
	censored [buckets]float32 // per latency bucket, cancelled by the proxy
	samples  float64
	long     weightedOutcomes
	short    weightedOutcomes
}

// weightedOutcomes holds the weighted numbers of attempts and of failures in a
// window.
type weightedOutcomes struct{ attempts, failures float64 }

func (r *weightedOutcomes) add(weight float64, failed bool) {
	r.attempts += weight
	if failed {
		r.failures += weight
	}
}

func (r *weightedOutcomes) subtract(o weightedOutcomes) {
	r.attempts = max(r.attempts-o.attempts, 0)
	r.failures = max(r.failures-o.failures, 0)
}

func (r *weightedOutcomes) scale(f float64) {
	r.attempts *= f
	r.failures *= f
}

// reference holds the sums over the pool, with which each server is compared,
// and the weights of the next sample. The field events counts latency samples; it
// also advances by refreshEvery to make all hazard tables stale.
type reference struct {
	pool        weightedSamples
	weight      float64
	shortWeight float64
	window      float64
	tailIndex   float64
	events      uint64
}

func newReference(p Profile) reference {
	return reference{weight: 1, shortWeight: 1, window: p.Window, tailIndex: p.TailIndex}
}

// bucketPosition returns the bucket of a latency and the position within the
// bucket, 0 to 1 on a logarithmic scale.
func bucketPosition(d time.Duration) (int, float64) {
	if d <= firstBucket {
		return 0, 0
	}
	x := math.Log2(float64(d)/float64(firstBucket)) * bucketsPerOctave
	if x >= buckets {
		return buckets - 1, 1
	}
	i := int(x)
	return i, x - float64(i)
}

// addLatency records an answered or cancelled attempt of a server.
func (r *reference) addLatency(own *weightedSamples, d time.Duration, answered bool) {
	i, _ := bucketPosition(d)
	w := float32(r.weight)
	for _, t := range [2]*weightedSamples{own, &r.pool} {
		if answered {
			t.answered[i] += w
		} else {
			t.censored[i] += w
		}
		t.samples += r.weight
	}
	r.events++
}

// addOutcome records whether an attempt failed and moves the windows forward.
func (r *reference) addOutcome(own *weightedSamples, failed bool, servers int) {
	own.long.add(r.weight, failed)
	r.pool.long.add(r.weight, failed)
	own.short.add(r.shortWeight, failed)
	r.pool.short.add(r.shortWeight, failed)
	r.weight *= 1 + 1/r.window
	r.shortWeight *= 1 + 1/float64(max(shortWindowPerServer*servers, minShortWindow))
}

// failureRate returns the failure rate of the peers: the larger of the rates in
// the long and the short window, without the server's own attempts. The rate of
// the short window is multiplied by shortMargin.
func (r *reference) failureRate(own *weightedSamples) float64 {
	long, short := r.pool.long, r.pool.short
	long.subtract(own.long)
	short.subtract(own.short)
	long.scale(1 / r.weight)
	short.scale(1 / r.shortWeight)
	longRate := (long.failures + priorRate*priorWeight) / (long.attempts + priorWeight)
	shortRate := shortMargin * (short.failures + longRate*priorShortWeight) / (short.attempts + priorShortWeight)
	return min(max(longRate, shortRate), 0.9)
}

// refreshEvery is the number of latency samples of the pool after which a
// server's hazard table is recomputed; with few samples it is recomputed sooner.
// The reference changes by less than 1% in that time.
const refreshEvery = 64

// hazardTable holds the peers' cumulative hazard at the upper edge of each
// bucket.
type hazardTable struct {
	edges   [buckets]float32
	staleAt uint64 // value of reference.events from which on the table is stale
}

// at returns the cumulative hazard at a latency, interpolated between two edges
// linearly in the logarithm of the latency.
func (t *hazardTable) at(d time.Duration) float64 {
	i, frac := bucketPosition(d)
	low := float32(0)
	if i > 0 {
		low = t.edges[i-1]
	}
	return float64(low) + frac*float64(t.edges[i]-low)
}

// fillPeerHazard computes the cumulative hazard of the peers, which is -ln of the
// share of attempts that take longer. It is the life-table estimate: cancelled
// attempts are at risk up to their cancellation, and half of the attempts that
// end in a bucket are at risk there. Beyond the samples it is extrapolated with
// the tail index. With fewer than minAtRisk samples it is zero.
func (r *reference) fillPeerHazard(t *hazardTable, own *weightedSamples) {
	samples := (r.pool.samples - own.samples) / r.weight
	t.staleAt = r.events + uint64(min(samples/16+1, refreshEvery))
	if samples < minAtRisk {
		t.edges = [buckets]float32{}
		return
	}
	index := r.tailIndex * min(samples/fullTailSamples, 1)
	perBucket := float32(index * math.Ln2 / bucketsPerOctave)
	scale, atRisk, total := 1/float32(r.weight), float32(samples), float32(0)
	for i := range t.edges {
		if atRisk < minAtRisk {
			total += perBucket
		} else {
			ended := max(r.pool.answered[i]-own.answered[i], 0) * scale
			left := ended + max(r.pool.censored[i]-own.censored[i], 0)*scale
			total += ended / (atRisk - left/2 + 1)
			atRisk -= left
		}
		t.edges[i] = total
	}
}

// logMedian returns the natural logarithm of the pool's median answered
// latency in seconds; false without samples.
func (r *reference) logMedian() (float64, bool) {
	var total float32
	for _, c := range r.pool.answered {
		total += c
	}
	if total <= 0 {
		return 0, false
	}
	half := total / 2
	for i, c := range r.pool.answered {
		if c >= half && c > 0 {
			x := (float64(i) + float64(half/c)) / bucketsPerOctave
			return math.Log(firstBucket.Seconds()) + x*math.Ln2, true
		}
		half -= c
	}
	return 0, false
}

// remove subtracts a server's sums from the pool's and clears them.
func (r *reference) remove(own *weightedSamples) {
	for i := range own.answered {
		r.pool.answered[i] = max(r.pool.answered[i]-own.answered[i], 0)
		r.pool.censored[i] = max(r.pool.censored[i]-own.censored[i], 0)
	}
	r.pool.samples = max(r.pool.samples-own.samples, 0)
	r.pool.long.subtract(own.long)
	r.pool.short.subtract(own.short)
	*own = weightedSamples{}
}

// rescaleFactors resets each weight that has exceeded maxWeight and returns the
// factors by which the sums must be scaled down; needed is false if neither
// weight has.
func (r *reference) rescaleFactors() (long, short float64, needed bool) {
	long, short = 1, 1
	if r.weight > maxWeight {
		long, r.weight, needed = 1/r.weight, 1, true
	}
	if r.shortWeight > maxWeight {
		short, r.shortWeight, needed = 1/r.shortWeight, 1, true
	}
	return long, short, needed
}

func (t *weightedSamples) scale(long, short float64) {
	if long != 1 {
		for i := range t.answered {
			t.answered[i] *= float32(long)
			t.censored[i] *= float32(long)
		}
		t.samples *= long
		t.long.scale(long)
	}
	t.short.scale(short)
}
