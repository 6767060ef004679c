// Package permit issues permits for attempts at backend servers that limit their rate.
// One daemon issues the permits of a server for the whole fleet, so that the limit holds
// for any number of daemons, however few requests each of them has.
//
// The package has no clock, goroutines, locks or I/O: callers pass the time in and must
// serialise calls.
package permit

import (
	"time"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/ratelimit"
)

// bucketLifetime is how long the bucket of a server is kept after the last request for
// a permit. By then the bucket is full, and a new one has as few tokens.
const bucketLifetime = 10 * time.Second

// Issuer issues permits. Create it with NewIssuer.
type Issuer struct {
	buckets   map[balance.ServerKey]*bucket
	lastSweep time.Time
}

type bucket struct {
	ratelimit.Bucket
	lastRequest time.Time
}

// NewIssuer returns an issuer that has issued no permits.
func NewIssuer() *Issuer { return &Issuer{buckets: map[balance.ServerKey]*bucket{}} }

// Len returns the number of servers for which permits were requested lately.
func (i *Issuer) Len() int { return len(i.buckets) }

// Request issues a permit for one attempt at a server that takes the given rate, in
// requests per second. If it issues none, it returns false and the time until the next.
func (i *Issuer) Request(now time.Time, k balance.ServerKey, perSecond float64) (wait time.Duration, granted bool) {
	i.sweep(now)
	b := i.buckets[k]
	if b == nil {
		b = &bucket{Bucket: ratelimit.NewServerBucket(now, perSecond)}
		i.buckets[k] = b
	}
	b.lastRequest = now
	b.SetServerRate(now, perSecond)
	if wait := b.Wait(now); wait > 0 {
		return wait, false
	}
	b.Take(now)
	return 0, true
}

func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.lastSweep) < bucketLifetime {
		return
	}
	i.lastSweep = now
	for k, b := range i.buckets {
		if now.Sub(b.lastRequest) >= bucketLifetime {
			delete(i.buckets, k)
		}
	}
}
