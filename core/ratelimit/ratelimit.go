// Package ratelimit holds token buckets for workspaces and routes. Rates are
// those of the whole fleet; a share says which part of them this process may
// use, so that processes need no communication for a request.
package ratelimit

import (
	"time"

	"github.com/agateusher/agateusher/core/internal/indexheap"
	"github.com/agateusher/agateusher/core/model"
)

const (
	// burstTime is how much of its rate an idle bucket saves up, but at least
	// one request.
	burstTime = time.Second
	// minShare keeps a process that had no demand able to admit its first
	// requests.
	minShare = 0.001
	// sweepLimit bounds the idle buckets dropped in one call.
	sweepLimit = 4
)

// key names a bucket: one of the two is set.
type key struct {
	workspace model.WorkspaceID
	route     model.RouteName
}

type bucket struct {
	key key
	// rate is this process's part, in requests a second.
	rate, tokens float64
	updated      time.Time
	// fullAt is when the bucket is full again and may be forgotten.
	fullAt  time.Time
	heapPos int
}

// Limiter limits requests by workspace and by route. Create it with New. It is
// not safe for concurrent use.
type Limiter struct {
	share   float64
	buckets map[key]*bucket
	idle    *indexheap.Heap[*bucket]
}

// New returns a limiter that may use this share, 0 to 1, of each fleet rate.
func New(share float64) *Limiter {
	l := &Limiter{buckets: make(map[key]*bucket)}
	l.idle = indexheap.New(
		func(a, b *bucket) bool { return a.fullAt.Before(b.fullAt) },
		func(b *bucket) *int { return &b.heapPos })
	l.SetShare(share)
	return l
}

// SetShare changes the share. Saved tokens stay, up to the new burst.
func (l *Limiter) SetShare(share float64) { l.share = min(max(share, minShare), 1) }

// Len returns the number of buckets that are remembered.
func (l *Limiter) Len() int { return len(l.buckets) }

// Allow takes one request from the workspace's and the route's bucket, or from
// neither. Rates are requests a second of the whole fleet; zero or less means
// no limit. If the request is not allowed, it returns when to try again.
func (l *Limiter) Allow(now time.Time, w model.WorkspaceID, workspaceRate float64,
	r model.RouteName, routeRate float64) (time.Duration, bool) {
	l.sweep(now)
	perWorkspace := l.bucket(now, key{workspace: w}, workspaceRate)
	perRoute := l.bucket(now, key{route: r}, routeRate)
	if wait := max(perWorkspace.wait(), perRoute.wait()); wait > 0 {
		return wait, false
	}
	l.take(perWorkspace)
	l.take(perRoute)
	return 0, true
}

// bucket returns the bucket as of now; nil if there is no limit.
func (l *Limiter) bucket(now time.Time, k key, fleetRate float64) *bucket {
	if fleetRate <= 0 {
		return nil
	}
	rate := fleetRate * l.share
	b := l.buckets[k]
	if b == nil {
		b = &bucket{key: k, rate: rate, tokens: burst(rate), updated: now, heapPos: indexheap.Absent}
		l.buckets[k] = b
		l.track(b)
	}
	b.tokens += b.rate * now.Sub(b.updated).Seconds()
	changed := b.rate != rate
	b.updated, b.rate = now, rate
	b.tokens = min(b.tokens, burst(rate))
	if changed {
		l.track(b)
	}
	return b
}

// wait returns the time until the bucket has one token.
func (b *bucket) wait() time.Duration {
	if b == nil || b.tokens >= 1 {
		return 0
	}
	return max(1, time.Duration((1-b.tokens)/b.rate*float64(time.Second)))
}

func (l *Limiter) take(b *bucket) {
	if b != nil {
		b.tokens--
		l.track(b)
	}
}

// track sets when the bucket is full again.
func (l *Limiter) track(b *bucket) {
	missing := (burst(b.rate) - b.tokens) / b.rate
	b.fullAt = b.updated.Add(time.Duration(missing * float64(time.Second)))
	l.idle.Set(b)
}

// sweep forgets buckets that are full: a new one would be the same.
func (l *Limiter) sweep(now time.Time) {
	for range sweepLimit {
		b, ok := l.idle.Min()
		if !ok || b.fullAt.After(now) {
			return
		}
		l.idle.Remove(b)
		delete(l.buckets, b.key)
	}
}

// burst returns the size of a bucket.
func burst(rate float64) float64 { return max(1, rate*burstTime.Seconds()) }
