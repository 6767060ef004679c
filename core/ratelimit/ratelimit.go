// Package ratelimit limits request rates by token buckets. A Limiter has those of
// workspaces and routes, whose rates apply to the whole fleet: each process may use a
// given share of them, so that no communication between processes is needed for a
// request. NewServerBucket makes the bucket of a backend server that names its own
// limit.
package ratelimit

import (
	"time"

	"github.com/agateusher/agateusher/core/internal/indexheap"
	"github.com/agateusher/agateusher/core/model"
)

const (
	// burstDuration is the time for which an idle bucket accumulates tokens at its
	// rate. A bucket holds at least one token.
	burstDuration = time.Second
	// minShare is the minimum share of a process. It lets a process that had no
	// demand admit its first requests.
	minShare = 0.001
	// maxSweptPerCall bounds the full buckets that one call of Allow removes.
	maxSweptPerCall = 4
)

// key identifies a bucket. Exactly one of the fields is set.
type key struct {
	workspace model.WorkspaceID
	route     model.RouteName
}

// bucket holds this process's share of a fleet rate.
type bucket struct {
	Bucket
	key key
	// fullAt is when the bucket is full again and can be removed.
	fullAt  time.Time
	heapPos int
}

// Limiter limits requests by workspace and by route. Create it with New. It is
// not safe for concurrent use.
type Limiter struct {
	share    float64
	buckets  map[key]*bucket
	byFullAt *indexheap.Heap[*bucket]
}

// New returns a limiter that may use the given share, 0 to 1, of each fleet rate.
func New(share float64) *Limiter {
	l := &Limiter{buckets: make(map[key]*bucket)}
	l.byFullAt = indexheap.New(
		func(a, b *bucket) bool { return a.fullAt.Before(b.fullAt) },
		func(b *bucket) *int { return &b.heapPos })
	l.SetShare(share)
	return l
}

// SetShare changes the share, limited to minShare..1. Buckets keep their tokens,
// up to the new burst size.
func (l *Limiter) SetShare(share float64) { l.share = min(max(share, minShare), 1) }

// Len returns the number of buckets in memory.
func (l *Limiter) Len() int { return len(l.buckets) }

// Allow takes one token from both the workspace's and the route's bucket, or from
// neither. Rates are in requests per second for the whole fleet; zero or less
// means no limit. If the request is not allowed, Allow returns false and the time
// to wait before a retry.
func (l *Limiter) Allow(now time.Time, w model.WorkspaceID, workspaceRate float64,
	r model.RouteName, routeRate float64) (time.Duration, bool) {
	l.sweep(now)
	perWorkspace := l.bucket(now, key{workspace: w}, workspaceRate)
	perRoute := l.bucket(now, key{route: r}, routeRate)
	if wait := max(perWorkspace.wait(now), perRoute.wait(now)); wait > 0 {
		return wait, false
	}
	l.take(now, perWorkspace)
	l.take(now, perRoute)
	return 0, true
}

// bucket returns the bucket of k with its tokens updated to now, created if
// necessary; nil if there is no limit.
func (l *Limiter) bucket(now time.Time, k key, fleetRate float64) *bucket {
	if fleetRate <= 0 {
		return nil
	}
	rate := fleetRate * l.share
	b := l.buckets[k]
	if b == nil {
		b = &bucket{Bucket: NewBucket(now, rate, burst(rate), burst(rate)), key: k, heapPos: indexheap.Absent}
		l.buckets[k] = b
		l.updateFullAt(b)
	}
	if b.rate != rate {
		b.SetRate(now, rate, burst(rate))
		l.updateFullAt(b)
	}
	return b
}

// wait returns the time until the bucket has one token; zero without a bucket.
func (b *bucket) wait(now time.Time) time.Duration {
	if b == nil {
		return 0
	}
	return b.Wait(now)
}

func (l *Limiter) take(now time.Time, b *bucket) {
	if b != nil {
		b.Take(now)
		l.updateFullAt(b)
	}
}

// updateFullAt computes when the bucket is full again and updates its position in
// the heap.
func (l *Limiter) updateFullAt(b *bucket) {
	b.fullAt = b.FullAt()
	l.byFullAt.Set(b)
}

// sweep removes up to maxSweptPerCall buckets that are full, because a new bucket
// would be identical.
func (l *Limiter) sweep(now time.Time) {
	for range maxSweptPerCall {
		b, ok := l.byFullAt.Min()
		if !ok || b.fullAt.After(now) {
			return
		}
		l.byFullAt.Remove(b)
		delete(l.buckets, b.key)
	}
}

// burst returns the capacity of a bucket in tokens, at a rate in requests per
// second.
func burst(rate float64) float64 { return max(1, rate*burstDuration.Seconds()) }
