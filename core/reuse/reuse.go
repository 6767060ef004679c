// Package reuse decides which idle connections to backend servers are kept and which of
// them a request may be sent on. It is pure: callers pass the time, hold a lock and close
// the connections that it returns.
package reuse

import (
	"slices"
	"time"
)

const (
	// idempotentIdle is how long a connection may be idle before an idempotent request.
	// Servers close connections that were idle for 10 s.
	idempotentIdle = 7 * time.Second
	// otherIdle is how long it may be idle before another request. In some hours servers
	// drop connections that were idle for 300 ms, and such a request cannot be repeated.
	otherIdle = 150 * time.Millisecond
	// otherSettle is how long it must be idle before another request: a duplicate of the
	// previous response arrives shortly after it.
	otherSettle = 20 * time.Millisecond
	// keepAliveShare of the announced time less keepAliveRounding is used: servers
	// announce whole seconds.
	keepAliveShare    = 0.75
	keepAliveRounding = time.Second
	// minIdle is the least limit that failed reuse leads to.
	minIdle = 100 * time.Millisecond
	// recoveryInterval is how long after a failed reuse the limit doubles.
	recoveryInterval = time.Minute
	// distrust is how long connections to a server that sent bytes nobody asked for are
	// not reused.
	distrust = time.Minute
)

// Pool holds the idle connections of type C to servers with keys of type K. It is not
// safe for concurrent use.
type Pool[K, C comparable] struct {
	// total and perServer bound the idle connections.
	total, perServer int
	idle             map[K][]entry[C]
	count            int
	distrusted       map[K]time.Time
	// lowered is the limit of the idle time that the last failed reuse, at loweredAt, led
	// to; zero without one.
	lowered   time.Duration
	loweredAt time.Time
}

// entry is an idle connection. until is when the server may close it.
type entry[C comparable] struct {
	conn         C
	since, until time.Time
}

// NewPool returns an empty pool.
func NewPool[K, C comparable](total, perServer int) *Pool[K, C] {
	return &Pool[K, C]{total: total, perServer: perServer, idle: map[K][]entry[C]{}, distrusted: map[K]time.Time{}}
}

// KeepAlive returns how long a connection may be idle whose server announces that it
// closes it after the given time; a negative time means that it announces nothing.
func KeepAlive(announced time.Duration) time.Duration {
	switch {
	case announced < 0:
		return idempotentIdle
	case announced == 0:
		return 0
	}
	usable := time.Duration(keepAliveShare * float64(announced-keepAliveRounding))
	return min(max(usable, otherIdle), idempotentIdle)
}

// Put adds a connection that has become idle and may be so for the given time, which
// KeepAlive returned. It returns the connections to close, which may include this one.
func (p *Pool[K, C]) Put(now time.Time, k K, c C, keepAlive time.Duration) (closing []C) {
	if p.total <= 0 || keepAlive <= 0 || now.Before(p.distrusted[k]) {
		return []C{c}
	}
	p.idle[k] = append(p.idle[k], entry[C]{conn: c, since: now, until: now.Add(keepAlive)})
	p.count++
	if len(p.idle[k]) > p.perServer {
		closing = append(closing, p.removeAt(k, 0))
	}
	for p.count > p.total {
		closing = append(closing, p.removeOldest())
	}
	return closing
}

// Take returns the connection to the server that was used last, if a request that is
// idempotent or not may be sent on it. check reports whether nothing has arrived on a
// connection and it is open. Connections that fail the check are returned in closing.
func (p *Pool[K, C]) Take(now time.Time, k K, idempotent bool, check func(C) bool) (c C, idle time.Duration, ok bool, closing []C) {
	for i := len(p.idle[k]) - 1; i >= 0; i-- {
		e := p.idle[k][i]
		if !p.usable(now, e, idempotent) {
			continue
		}
		p.removeAt(k, i)
		if check(e.conn) {
			return e.conn, now.Sub(e.since), true, closing
		}
		closing = append(closing, e.conn)
	}
	return c, 0, false, closing
}

func (p *Pool[K, C]) usable(now time.Time, e entry[C], idempotent bool) bool {
	idle, limit := now.Sub(e.since), p.Limit(now)
	if !now.Before(e.until) || idle >= limit {
		return false
	}
	return idempotent || (idle >= otherSettle && idle < min(otherIdle, limit/2))
}

// MaxIdle returns the longest time since the last byte from the server after which a
// connection is used for a request that is idempotent or not.
func MaxIdle(idempotent bool) time.Duration {
	if idempotent {
		return idempotentIdle
	}
	return otherIdle
}

// Limit returns how long a connection may be idle before an idempotent request.
func (p *Pool[K, C]) Limit(now time.Time) time.Duration {
	if p.lowered == 0 {
		return idempotentIdle
	}
	doublings := min(now.Sub(p.loweredAt)/recoveryInterval, 16)
	return min(idempotentIdle, p.lowered<<doublings)
}

// Failed records that a connection that had been idle for the given time could not be
// used, and returns all idle connections of the server, which are to be closed: they have
// probably failed as well. Connections to other servers are reused only after a shorter
// idle time for a while, because all servers may drop idle connections early.
func (p *Pool[K, C]) Failed(now time.Time, k K, idle time.Duration) []C {
	if limit := p.Limit(now); idle < limit {
		p.lowered, p.loweredAt = max(minIdle, idle/2), now
	}
	return p.Drop(k)
}

// Clear removes and returns all connections, which are to be closed.
func (p *Pool[K, C]) Clear() (closing []C) {
	for k := range p.idle {
		closing = append(closing, p.Drop(k)...)
	}
	return closing
}

// Distrust records that a server sent bytes that nobody asked for, and returns its
// connections, which are to be closed.
func (p *Pool[K, C]) Distrust(now time.Time, k K) []C {
	p.distrusted[k] = now.Add(distrust)
	return p.Drop(k)
}

// Drop returns all idle connections of a server, which are to be closed.
func (p *Pool[K, C]) Drop(k K) (closing []C) {
	for _, e := range p.idle[k] {
		closing = append(closing, e.conn)
	}
	p.count -= len(closing)
	delete(p.idle, k)
	return closing
}

// Expire returns the connections that no request may be sent on any more. They are to be
// closed.
func (p *Pool[K, C]) Expire(now time.Time) (closing []C) {
	for k := range p.idle {
		for i := len(p.idle[k]) - 1; i >= 0; i-- {
			if !p.usable(now, p.idle[k][i], true) {
				closing = append(closing, p.removeAt(k, i))
			}
		}
	}
	for k, until := range p.distrusted {
		if !now.Before(until) {
			delete(p.distrusted, k)
		}
	}
	return closing
}

// Warm returns the servers to which a request that is idempotent or not could be sent on
// an idle connection.
func (p *Pool[K, C]) Warm(now time.Time, idempotent bool) (keys []K) {
	for k, list := range p.idle {
		if slices.ContainsFunc(list, func(e entry[C]) bool { return p.usable(now, e, idempotent) }) {
			keys = append(keys, k)
		}
	}
	return keys
}

// Len returns the number of idle connections.
func (p *Pool[K, C]) Len() int { return p.count }

// removeAt removes and returns the i-th connection of a server.
func (p *Pool[K, C]) removeAt(k K, i int) C {
	c := p.idle[k][i].conn
	p.idle[k] = slices.Delete(p.idle[k], i, i+1)
	if len(p.idle[k]) == 0 {
		delete(p.idle, k)
	}
	p.count--
	return c
}

// removeOldest removes and returns the connection that has been idle for longest.
func (p *Pool[K, C]) removeOldest() C {
	var oldest K
	found := false
	for k, list := range p.idle {
		if !found || list[0].since.Before(p.idle[oldest][0].since) {
			oldest, found = k, true
		}
	}
	return p.removeAt(oldest, 0)
}
