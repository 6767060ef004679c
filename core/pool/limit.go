package pool

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ratelimit"
)

// serverLimit is the rate limit that a server names in its answers. As one process runs
// a pool, its bucket counts the requests of the whole fleet.
type serverLimit struct {
	model.RateLimit
	bucket ratelimit.Bucket
	// namedAt is when an answer last named the limit.
	namedAt time.Time
}

// wait returns the time until the server takes another request; zero without a limit.
func (l *serverLimit) wait(now time.Time) time.Duration {
	if !l.InForce {
		return 0
	}
	return l.bucket.Wait(now)
}

// allows returns how many of n requests the server takes now.
func (l *serverLimit) allows(now time.Time, n int) int {
	if !l.InForce {
		return n
	}
	return min(n, l.bucket.Tokens(now))
}

// take counts a request that is sent to the server.
func (l *serverLimit) take(now time.Time) {
	if l.InForce {
		l.bucket.Take(now)
	}
}

// observeLimit records the limit that the answer to an attempt named, or that a
// successful answer named none. The latter counts only if the attempt was started after
// the limit was last named: answers may arrive in another order than they were made.
func (p *Pool) observeLimit(now time.Time, a *attempt, res AttemptResult) {
	l := &a.server.limit
	before := l.RateLimit
	switch {
	case res.Limit.InForce && before.InForce:
		l.bucket.SetServerRate(now, res.Limit.PerSecond)
		l.namedAt = now
	case res.Limit.InForce:
		l.bucket, l.namedAt = ratelimit.NewServerBucket(now, res.Limit.PerSecond), now
	case !before.InForce || res.Kind != Answered || res.ServerError || a.started.Before(l.namedAt):
		return
	}
	l.RateLimit = res.Limit
	if before != l.RateLimit {
		p.emit(ServerLimited{Server: a.server.id, Before: before, After: l.RateLimit})
	}
}

// limitWait returns the time until the rate limit of some server allows a repeatable or
// other request; zero if one does now or has no limit.
func (p *Pool) limitWait(now time.Time, repeatable bool) time.Duration {
	shortest := time.Duration(-1)
	for _, s := range p.servers {
		if !s.usableFor(repeatable) {
			continue
		}
		if wait := s.limit.wait(now); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest)
}

// usableSlots returns how many of a server's allowed slots its rate limit lets it use,
// as a mean over time.
func (p *Pool) usableSlots(now time.Time, s *server) float64 {
	slots := float64(s.allowed(now, p.cfg.Readmission.RampTime))
	if !s.limit.InForce {
		return slots
	}
	return min(slots, s.limit.bucket.Rate()*p.meanServiceTime.Seconds())
}
