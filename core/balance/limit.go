package balance

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// knownLimit is the newest evidence about the limit of a server.
type knownLimit struct {
	model.RateLimit
	// observedAt is when the answer that the limit is known from was received; zero if
	// no answer has named one.
	observedAt time.Time
	// noPermitUntil is before when no permit for an attempt at the server is available.
	noPermitUntil time.Time
}

// LimitChange is a change of a server's limit. It is zero if nothing changed.
type LimitChange struct {
	Server        model.ServerID
	Before, After model.RateLimit
}

// Changed reports whether the limit changed.
func (c LimitChange) Changed() bool { return c.Before != c.After }

// ObserveLimit records the limit that an answer named, or that an answer to an attempt
// started at the given time named none. An answer without a limit ends the limit only
// if its attempt was started after the limit was last named: answers may be received
// in another order than they were made.
func (t *Table) ObserveLimit(now time.Time, k ServerKey, started time.Time, l model.RateLimit) LimitChange {
	s, ok := t.servers[k]
	if !ok || (!l.InForce && (!s.limit.InForce || started.Before(s.limit.observedAt))) {
		return LimitChange{}
	}
	change := LimitChange{Server: s.ID, Before: s.limit.RateLimit, After: l}
	s.limit.RateLimit, s.limit.observedAt = l, now
	return change
}

// Limit returns the limit of a server, and the age of the answer that it is known from.
// The age is negative if no answer has named a limit, or the server is not in the table.
func (t *Table) Limit(now time.Time, k ServerKey) (model.RateLimit, time.Duration) {
	s, ok := t.servers[k]
	if !ok || s.limit.observedAt.IsZero() {
		return model.RateLimit{}, -1
	}
	return s.limit.RateLimit, now.Sub(s.limit.observedAt)
}

// DenyPermits records that no permit for an attempt at the server is available for the
// time wait.
func (t *Table) DenyPermits(now time.Time, k ServerKey, wait time.Duration) {
	if s, ok := t.servers[k]; ok {
		s.limit.noPermitUntil = now.Add(wait)
	}
}

// permitWait returns the time until the next permit for the server may be available;
// zero if the server has no limit.
func (s *server) permitWait(now time.Time) time.Duration {
	if !s.limit.InForce {
		return 0
	}
	return max(0, s.limit.noPermitUntil.Sub(now))
}

// LimitedServers returns the number of servers whose limit is in force.
func (t *Table) LimitedServers() int {
	n := 0
	for _, s := range t.servers {
		if s.limit.InForce {
			n++
		}
	}
	return n
}
