package pool_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// limitedPlay plays requests on a pool whose servers may name rate limits.
type limitedPlay struct {
	*fixture
	// limit returns the limit that a server names at a time, in milliseconds.
	limit       func(s model.ServerID, ms int) model.RateLimit
	serviceTime int // milliseconds
	interval    int // milliseconds between requests
	timeout     time.Duration

	sentAt   map[model.ServerID][]int
	endsAt   map[int][]pool.Dispatch
	answered int
	refused  []pool.Refuse
	expired  int
}

func (l *limitedPlay) handle(ms int, decisions []pool.Decision) {
	for _, d := range decisionsOf[pool.Dispatch](decisions) {
		l.sentAt[d.Server] = append(l.sentAt[d.Server], ms)
		l.endsAt[ms+l.serviceTime] = append(l.endsAt[ms+l.serviceTime], d)
	}
	l.answered += len(decisionsOf[pool.Complete](decisions))
	l.refused = append(l.refused, decisionsOf[pool.Refuse](decisions)...)
	l.expired += len(decisionsOf[pool.Fail](decisions))
}

// play runs the pool for a time in milliseconds. It ticks the pool only when it asks for
// it.
func (l *limitedPlay) play(ms int) {
	l.sentAt, l.endsAt = map[model.ServerID][]int{}, map[int][]pool.Dispatch{}
	for now := range ms {
		for _, d := range l.endsAt[now] {
			l.handle(now, l.pool.Finish(at(now), pool.AttemptResult{
				Attempt: d.Attempt, Kind: pool.Answered, Limit: l.limit(d.Server, now),
				Latency: time.Duration(l.serviceTime) * time.Millisecond,
			}))
		}
		if now%l.interval == 0 {
			r := repeatableRequest(fmt.Sprint("r", now), now)
			r.Repeatable, r.Deadline = now%(2*l.interval) == 0, at(now).Add(l.timeout)
			l.handle(now, l.pool.Submit(at(now), r))
		}
		if wake := l.pool.NextWake(at(now)); !wake.IsZero() && !wake.After(at(now)) {
			l.handle(now, l.pool.Tick(at(now)))
		}
	}
}

// mostIn4s returns the largest number of requests that a server got within 4 s, from a
// time in milliseconds on.
func (l *limitedPlay) mostIn4s(s model.ServerID, from int) (most int) {
	var window []int
	for _, ms := range l.sentAt[s] {
		if ms < from {
			continue
		}
		window = append(window, ms)
		for ms-window[0] >= 4000 {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

func limitOf(perSecond float64) model.RateLimit {
	return model.RateLimit{InForce: true, PerSecond: perSecond}
}

// Guards against a pool that sends more requests to a server than the rate that it names,
// against one that uses less of it while requests wait, and against one that does not use
// the server fully once it names no limit.
func TestPoolKeepsServerLimit(t *testing.T) {
	g := NewWithT(t)
	l := &limitedPlay{fixture: newFixture(4, 2, nil), serviceTime: 100, interval: 15, timeout: time.Second,
		limit: func(s model.ServerID, ms int) model.RateLimit {
			if s == "s0" && ms < 20_000 {
				return limitOf(2)
			}
			return model.RateLimit{}
		}}
	l.play(30_000)
	g.Expect(l.mostIn4s("s0", 4000)).To(BeNumerically(">", 4*2))
	during, after := 0, 0
	for _, ms := range l.sentAt["s0"] {
		switch {
		case ms >= 4000 && ms < 20_000:
			during++
		case ms >= 21_000:
			after++
		}
	}
	g.Expect(during).To(And(BeNumerically(">=", 0.9*2*16), BeNumerically("<=", 1.5*2*16)))
	g.Expect(after).To(BeNumerically(">=", 0.9*9*66/4), "a quarter of 66 requests a second, 9 s")
}

// Guards against requests that are held until their deadline although the servers'
// limits show that they cannot be served, and against a Retry-After that ignores limits.
func TestPoolOfLimitedServersRefusesAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := &limitedPlay{fixture: newFixture(4, 2, nil), serviceTime: 100, interval: 20, timeout: 800 * time.Millisecond,
		limit: func(model.ServerID, int) model.RateLimit { return limitOf(3) }}
	l.play(30_000)
	for i := range 4 {
		g.Expect(l.mostIn4s(serverID(i), 4000)).To(BeNumerically("<=", 1.5*3*4+5))
	}
	g.Expect(l.answered).To(BeNumerically(">=", 0.9*4*3*26), "answered of 12 a second")
	g.Expect(len(l.refused)).To(BeNumerically(">=", 20*l.expired), "%d expired in the queue", l.expired)
	for _, r := range l.refused {
		g.Expect(r.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*time.Second)))
	}
}

// Guards against a limit that ends because an answer made before it was named arrives
// late, and against limits that are not reported to operators.
func TestLateAnswerKeepsServerLimit(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1, 2, nil)
	first := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), repeatableRequest("a", 0)))[0]
	second := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), repeatableRequest("b", 0)))[0]
	out := f.pool.Finish(at(5), pool.AttemptResult{Attempt: second.Attempt, Kind: pool.Answered, Limit: limitOf(1)})
	g.Expect(decisionsOf[pool.ServerLimited](out)).To(ConsistOf(pool.ServerLimited{Server: "s0", After: limitOf(1)}))
	out = f.pool.Finish(at(6), pool.AttemptResult{Attempt: first.Attempt, Kind: pool.Answered})
	g.Expect(decisionsOf[pool.ServerLimited](out)).To(BeEmpty())
	third := decisionsOf[pool.Dispatch](f.pool.Submit(at(7), repeatableRequest("c", 7)))[0]
	waiting := repeatableRequest("d", 8)
	waiting.Deadline = at(5000)
	g.Expect(f.pool.Submit(at(8), waiting)).To(BeEmpty())
	out = f.pool.Finish(at(9), pool.AttemptResult{Attempt: third.Attempt, Kind: pool.Answered})
	g.Expect(decisionsOf[pool.ServerLimited](out)).To(ConsistOf(pool.ServerLimited{Server: "s0", Before: limitOf(1)}))
	g.Expect(decisionsOf[pool.Dispatch](out)).To(HaveLen(1))
}
