package detector

import (
	"math"
	"time"
)

// Latency buckets grow by a third of an octave, fine enough beside the spread
// of real latencies, and reach from 0.25 ms to 16 s.
const (
	buckets          = 48
	bucketsPerOctave = 3
	firstBucket      = 250 * time.Microsecond
)

const (
	// minAtRisk is the number of samples at risk below which the hazard of a
	// bucket is extrapolated instead of counted.
	minAtRisk = 3
	// fullReference is the number of samples from which the tail is
	// extrapolated with the full TailIndex. With fewer, a latency tail of one
	// in a few hundred requests may not have been seen yet.
	fullReference = 1000
	// priorRate and priorWeight are the failure rate assumed before evidence
	// and its weight in attempts.
	priorRate, priorWeight = 0.005, 200
	// shortPerServer sets the short window for failures, in attempts for each
	// server: long enough to tell a rate, short enough that the reference
	// follows a failure of the whole pool before single servers stand out.
	shortPerServer = 4
	// shortMargin raises the short window's rate by two standard errors of a
	// rate of one half in about 90 attempts, so that its noise does not count
	// against servers while the whole service fails.
	shortMargin = 1.2
	// minShort is the least short window and priorShort the weight of the long
	// window's rate in it, in attempts.
	minShort, priorShort = 20, 10
	// rescaleAt bounds the growing weight so that float32 sums stay exact
	// enough; older samples are scaled down instead.
	rescaleAt = 1e5
)

// tally is one server's share of the reference, or the whole pool's. Weights
// grow with each attempt of the pool instead of old samples being decayed, so
// a server's share can be subtracted from the pool's sums exactly.
type tally struct {
	answered [buckets]float32 // ended by an answer
	censored [buckets]float32 // cancelled by us
	samples  float64
	long     rate
	short    rate
}

type rate struct{ attempts, failures float64 }

func (r *rate) add(weight float64, failed bool) {
	r.attempts += weight
	if failed {
		r.failures += weight
	}
}

func (r *rate) subtract(o rate) {
	r.attempts = max(r.attempts-o.attempts, 0)
	r.failures = max(r.failures-o.failures, 0)
}

func (r *rate) scale(f float64) {
	r.attempts *= f
	r.failures *= f
}

// reference holds the pool's sums and the current weights.
type reference struct {
	pool        tally
	weight      float64
	shortWeight float64
	window      float64
	tailIndex   float64
	events      uint64
}

func newReference(p Profile) reference {
	return reference{weight: 1, shortWeight: 1, window: p.Window, tailIndex: p.TailIndex}
}

// position returns the bucket of a latency and how far into it the latency
// lies, 0 to 1 on a logarithmic scale.
func position(d time.Duration) (int, float64) {
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
func (r *reference) addLatency(own *tally, d time.Duration, answered bool) {
	i, _ := position(d)
	w := float32(r.weight)
	for _, t := range [2]*tally{own, &r.pool} {
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
func (r *reference) addOutcome(own *tally, failed bool, servers int) {
	own.long.add(r.weight, failed)
	r.pool.long.add(r.weight, failed)
	own.short.add(r.shortWeight, failed)
	r.pool.short.add(r.shortWeight, failed)
	r.weight *= 1 + 1/r.window
	r.shortWeight *= 1 + 1/float64(max(shortPerServer*servers, minShort))
}

// failureRate returns the peers' rate of failures: the larger of a long and a
// short window, without the server's own attempts. The short one has a margin.
func (r *reference) failureRate(own *tally) float64 {
	long, short := r.pool.long, r.pool.short
	long.subtract(own.long)
	short.subtract(own.short)
	long.scale(1 / r.weight)
	short.scale(1 / r.shortWeight)
	p := (long.failures + priorRate*priorWeight) / (long.attempts + priorWeight)
	q := shortMargin * (short.failures + p*priorShort) / (short.attempts + priorShort)
	return min(max(p, q), 0.9)
}

// refreshEvery is the number of attempts of the pool after which a server's
// hazard table is computed again; sooner while the reference is small. The
// reference changes by less than a hundredth in that time.
const refreshEvery = 64

// hazardTable holds the peers' cumulative hazard at the upper edge of each
// bucket.
type hazardTable struct {
	edges [buckets]float32
	due   uint64 // reference event at which the table is stale
}

// at returns the cumulative hazard at a latency, between two edges in
// proportion to the logarithm of the latency.
func (t *hazardTable) at(d time.Duration) float64 {
	i, frac := position(d)
	low := float32(0)
	if i > 0 {
		low = t.edges[i-1]
	}
	return float64(low) + frac*float64(t.edges[i]-low)
}

// fill computes the cumulative hazard of the peers, -ln of the share of
// attempts that take longer: the life-table estimate, which counts cancelled
// attempts as at risk up to their cancellation, and in each bucket takes half
// of the attempts that end there as at risk. Beyond the samples it is
// extrapolated with the tail index. With hardly any sample it is zero.
func (r *reference) fill(t *hazardTable, own *tally) {
	samples := (r.pool.samples - own.samples) / r.weight
	t.due = r.events + uint64(min(samples/16+1, refreshEvery))
	if samples < minAtRisk {
		t.edges = [buckets]float32{}
		return
	}
	index := r.tailIndex * min(samples/fullReference, 1)
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

// remove subtracts a server's share from the pool and clears it.
func (r *reference) remove(own *tally) {
	for i := range own.answered {
		r.pool.answered[i] = max(r.pool.answered[i]-own.answered[i], 0)
		r.pool.censored[i] = max(r.pool.censored[i]-own.censored[i], 0)
	}
	r.pool.samples = max(r.pool.samples-own.samples, 0)
	r.pool.long.subtract(own.long)
	r.pool.short.subtract(own.short)
	*own = tally{}
}

// rescaleFactors returns the factors for old sums when a weight has grown too
// large, and restarts that weight.
func (r *reference) rescaleFactors() (long, short float64, needed bool) {
	long, short = 1, 1
	if r.weight > rescaleAt {
		long, r.weight, needed = 1/r.weight, 1, true
	}
	if r.shortWeight > rescaleAt {
		short, r.shortWeight, needed = 1/r.shortWeight, 1, true
	}
	return long, short, needed
}

func (t *tally) scale(long, short float64) {
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
