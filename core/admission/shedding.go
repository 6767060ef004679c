package admission

import (
	"maps"
	"math"
	"time"

	"github.com/agateusher/agateusher/core/balance"
)

const (
	// sheddingWindow is the time over which the results of attempts are counted.
	sheddingWindow = time.Second
	// resultBuckets is the number of buckets of the window.
	resultBuckets = 10
	// minRejected is the least number of rejections in the window from which a service
	// can count as shedding. Fewer do not show whether other servers accept.
	minRejected = 8
	// recentResults is the number of newest results that the accepted share is
	// estimated from, so that the end of a shedding is noticed early.
	recentResults = 24
	// A service sheds from sheddingStart, as a share of the results in the window, until
	// its share is below sheddingEnd. A smaller share is covered by the usual
	// retry budget (0.2 of the requests, and the slack).
	sheddingStart = 0.25
	sheddingEnd   = 0.12
	// sheddingMemory is how long after its last result a service still counts as shedding.
	sheddingMemory = 3 * time.Second
	// sheddingSpread is the least number of servers that rejected attempts, as a share of
	// the number expected if the rejections were spread evenly. If fewer servers
	// reject, others accept. A share of all servers would miss a shedding where each
	// server has about one result in the window.
	sheddingSpread = 0.6
)

// results counts the results of attempts of a service in a sliding window.
type results struct {
	buckets [resultBuckets]struct{ accepted, rejected int }
	newest  int64 // number of the newest bucket since the zero time of the monotonic clock
	epoch   time.Time
	servers map[balance.ServerKey]serverResults
	// sheds is set while the service counts as shedding.
	sheds bool
	// lastAt is when the last result was added, and lastShare the accepted share then.
	lastAt    time.Time
	lastShare float64
}

// serverResults holds when a server last returned a result, and last rejected an
// attempt.
type serverResults struct{ resultAt, rejectedAt time.Time }

func (r *results) advance(now time.Time) {
	if r.epoch.IsZero() {
		r.epoch, r.servers = now, map[balance.ServerKey]serverResults{}
	}
	bucket := int64(now.Sub(r.epoch)) / int64(sheddingWindow/resultBuckets)
	for i := max(r.newest+1, bucket-resultBuckets+1); i <= bucket; i++ {
		r.buckets[i%resultBuckets].accepted, r.buckets[i%resultBuckets].rejected = 0, 0
	}
	if bucket > r.newest {
		r.newest = bucket
		maps.DeleteFunc(r.servers, func(_ balance.ServerKey, s serverResults) bool { return now.Sub(s.resultAt) > sheddingWindow })
	}
}

func (r *results) add(now time.Time, server balance.ServerKey, rejected bool) {
	r.advance(now)
	b, s := &r.buckets[r.newest%resultBuckets], r.servers[server]
	s.resultAt = now
	if rejected {
		b.rejected++
		s.rejectedAt = now
	} else {
		b.accepted++
	}
	r.servers[server] = s
	r.lastAt, r.lastShare = now, r.acceptedShare()
}

// update determines whether the service sheds.
func (r *results) update(now time.Time) {
	r.advance(now)
	accepted, rejected := 0, 0
	for _, b := range r.buckets {
		accepted, rejected = accepted+b.accepted, rejected+b.rejected
	}
	share := float64(rejected) / float64(max(1, accepted+rejected))
	if r.sheds {
		// Without results the state is not known: few requests are sent meanwhile.
		r.sheds = share >= sheddingEnd || (accepted+rejected == 0 && now.Sub(r.lastAt) < sheddingMemory)
		return
	}
	if rejected < minRejected || share < sheddingStart {
		return
	}
	shedding := 0
	for _, s := range r.servers {
		if now.Sub(s.rejectedAt) <= sheddingWindow {
			shedding++
		}
	}
	servers := float64(len(r.servers))
	expected := servers * (1 - math.Pow(1-1/servers, float64(rejected)))
	r.sheds = shedding > 1 && float64(shedding) >= sheddingSpread*expected
}

// acceptedShare estimates the probability that an attempt is accepted, from the
// newest results and, with the weight of one result, its last value.
func (r *results) acceptedShare() float64 {
	accepted, rejected := 0, 0
	for i := r.newest; i > r.newest-resultBuckets && i >= 0 && accepted+rejected < recentResults; i-- {
		b := r.buckets[i%resultBuckets]
		accepted, rejected = accepted+b.accepted, rejected+b.rejected
	}
	prior := 0.5
	if r.sheds {
		prior = r.lastShare
	}
	return (float64(accepted) + prior) / (float64(accepted+rejected) + 1)
}
