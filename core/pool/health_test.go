package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/core/snapshot"
)

// server returns the view of one server; the zero value if it is unknown.
func (f *fixture) server(ms int, id model.ServerID) pool.ServerView {
	for _, s := range f.pool.View(at(ms)).Servers {
		if s.ID == id {
			return s
		}
	}
	return pool.ServerView{}
}

// ejectS0 makes the detector suspect s0, so that it is ejected.
func (f *fixture) ejectS0(ms int) []pool.Decision {
	f.detector.scores["s0"] = 5
	return f.pool.Tick(at(ms))
}

// sendProbe submits a repeatable request. It ends attempts at s0 with kind and
// answers those at other servers. It reports whether s0 got an attempt.
func (f *fixture) sendProbe(ms int, id string, kind pool.ResultKind) bool {
	reached := false
	for _, d := range decisionsOf[pool.Dispatch](f.pool.Submit(at(ms), repeatableRequest(id, ms))) {
		k := pool.Answered
		if d.Server == "s0" {
			reached, k = true, kind
		}
		f.pool.Finish(at(ms+1), pool.AttemptResult{Attempt: d.Attempt, Kind: k})
	}
	return reached
}

// Guards against a suspect that stays in service, requests to an ejected server,
// and a status change that is not reported with its evidence.
func TestSuspectIsEjected(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 1, nil)
	out := f.ejectS0(10)
	g.Expect(decisionsOf[pool.ServerChanged](out)).To(HaveLen(1))
	changed := decisionsOf[pool.ServerChanged](out)[0]
	g.Expect(changed.To).To(Equal(pool.Ejected))
	g.Expect(changed.Evidence.Score).To(Equal(5.0))
	g.Expect(f.pool.NextWake(at(10))).To(Equal(at(10).Add(pool.DefaultEjectionTime)))
	g.Expect(f.sendProbe(20, "a", pool.Answered)).To(BeFalse())
}

// Guards against a suspect kept in service by the floor that gets requests which
// are not repeatable, and against a repeatable request that waits although a
// suspect server is free.
func TestSuspectKeptByFloorGetsOnlyRepeatableRequests(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 1, func(c *pool.Config) { c.Limits.Share = 1 })
	f.ejectS0(10)
	g.Expect(f.server(10, "s0").Status).To(Equal(pool.Suspect))
	g.Expect(decisionsOf[pool.Dispatch](f.pool.Submit(at(20), nonRepeatableRequest("a", 20)))[0].Server).To(Equal(serverID(1)))
	g.Expect(f.pool.Submit(at(20), nonRepeatableRequest("b", 20))).To(BeEmpty())
	g.Expect(decisionsOf[pool.Dispatch](f.pool.Submit(at(20), repeatableRequest("c", 20)))[0].Server).To(Equal(serverID(0)))
}

// Guards against a server on probation that returns before it has enough
// successes, never returns, or gets several requests at a time.
func TestProbation(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 2, nil)
	f.ejectS0(0)
	f.pool.Tick(at(5000))
	g.Expect(f.server(5000, "s0").Status).To(Equal(pool.Probation))
	first := decisionsOf[pool.Dispatch](f.pool.Submit(at(5000), repeatableRequest("a", 5000)))[0]
	g.Expect(first.Server).To(Equal(serverID(0)))
	g.Expect(decisionsOf[pool.Dispatch](f.pool.Submit(at(5000), repeatableRequest("b", 5000)))[0].Server).To(Equal(serverID(1)))
	f.pool.Finish(at(5001), pool.AttemptResult{Attempt: first.Attempt, Kind: pool.Answered})
	g.Expect(decisionsOf[pool.Dispatch](f.pool.Submit(at(5002), nonRepeatableRequest("c", 5002)))[0].Server).To(Equal(serverID(1)))
	g.Expect(f.sendProbe(5003, "d", pool.Answered)).To(BeTrue())
	g.Expect(f.server(5004, "s0").Status).To(Equal(pool.Probation))
	g.Expect(f.sendProbe(5005, "e", pool.Answered)).To(BeTrue())
	view := f.server(5006, "s0")
	g.Expect(view.Status).To(Equal(pool.Serving))
	g.Expect(view.Allowed).To(Equal(1))
	g.Expect(f.server(5006+10000, "s0").Allowed).To(Equal(2))
}

// Guards against ejected servers that never return because the pool gets no
// traffic or no repeatable requests.
func TestServerReturnsWithoutTraffic(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 1, nil)
	f.ejectS0(0)
	f.pool.Tick(f.pool.NextWake(at(0)))
	g.Expect(f.pool.NextWake(at(5000))).To(Equal(at(35000)))
	f.pool.Tick(at(35000))
	g.Expect(f.server(35000, "s0").Status).To(Equal(pool.Serving))
}

// Guards against a flapping server whose ejection time does not grow, and against
// an ejection time that does not shrink after a long time in service.
func TestEjectionTimeGrowsWithFlappingAndDecays(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 1, nil)
	f.ejectS0(0)
	held := func(ms int) time.Duration { return f.server(ms, "s0").EjectedUntil.Sub(at(ms)) }
	g.Expect(held(0)).To(Equal(5 * time.Second))
	f.pool.Tick(at(5000))
	f.sendProbe(5000, "a", pool.FailedAfterSend)
	g.Expect(held(5001)).To(Equal(10 * time.Second))
	f.pool.Tick(at(15001))
	for i, id := range []string{"b", "c", "d"} {
		f.sendProbe(15001+2*i, id, pool.Answered)
	}
	g.Expect(f.server(15010, "s0").Status).To(Equal(pool.Serving))
	f.ejectS0(16000)
	g.Expect(held(16000)).To(Equal(20 * time.Second))
	f.pool.Tick(at(36000))
	f.pool.Tick(at(66000))
	g.Expect(f.server(66000, "s0").Status).To(Equal(pool.Serving))
	f.ejectS0(66000 + 125000)
	g.Expect(held(66000 + 125000)).To(Equal(5 * time.Second))
}

// Guards against a server that stays ejected although the floor needs its
// capacity after operators drained another, and against requests that are not
// repeatable going to it before it has enough successes.
func TestDrainReadmitsEjectedServerEarly(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 2, nil)
	f.ejectS0(0)
	f.detector.scores = map[model.ServerID]float64{}
	f.cfg.Servers[1].State = snapshot.ServerDraining
	f.pool.Configure(at(10), f.cfg)
	g.Expect(f.server(10, "s0").Status).To(Equal(pool.Suspect))
	g.Expect(f.server(10, "s1").Status).To(Equal(pool.Leaving))
	g.Expect(decisionsOf[pool.Refuse](f.pool.Submit(at(10), nonRepeatableRequest("p", 10)))).To(HaveLen(1))
	for i, id := range []string{"a", "b", "c"} {
		g.Expect(f.sendProbe(20+2*i, id, pool.Answered)).To(BeTrue())
	}
	f.pool.Tick(at(30))
	g.Expect(f.server(30, "s0").Status).To(Equal(pool.Serving))
}

// Guards against a new server that gets its full load at once, and against a
// removed server that is still listed after its last attempt.
func TestNewServerRampsUpAndRemovedServerIsDeleted(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1, 4, nil)
	f.cfg.Servers = append(f.cfg.Servers, pool.Server{ID: "new", Slots: 4})
	f.pool.Configure(at(0), f.cfg)
	for i, ms := range []int{0, 2500, 5000, 10000} {
		g.Expect(f.server(ms, "new").Allowed).To(Equal(min(4, i+1)), "%d ms", ms)
	}
	d := decisionsOf[pool.Dispatch](f.pool.Submit(at(10000), nonRepeatableRequest("a", 10000)))[0]
	f.cfg.Servers = nil
	f.pool.Configure(at(10001), f.cfg)
	g.Expect(f.server(10001, d.Server).Status).To(Equal(pool.Leaving))
	out := f.pool.Finish(at(10002), pool.AttemptResult{Attempt: d.Attempt, Kind: pool.Answered})
	g.Expect(decisionsOf[pool.Complete](out)).To(HaveLen(1))
	g.Expect(decisionsOf[pool.ServerChanged](out)).To(ConsistOf(pool.ServerChanged{Server: d.Server, From: pool.Leaving, To: pool.Gone}))
}

// Guards against healthy servers that are ejected because callers have short time
// limits, and against timeouts of stalled attempts that are not counted as
// failures.
func TestTimeoutEvidence(t *testing.T) {
	for _, c := range []struct {
		limit int
		want  detector.Kind
	}{{30, detector.Cancelled}, {1000, detector.Failure}} {
		for _, byDriver := range []bool{false, true} {
			g := NewWithT(t)
			f := newFixture(1, 1, nil)
			r := nonRepeatableRequest("a", 0)
			r.Deadline = at(c.limit)
			d := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), r))[0]
			if byDriver {
				f.pool.Finish(at(c.limit), pool.AttemptResult{Attempt: d.Attempt, Kind: pool.TimedOut})
			} else {
				f.pool.Tick(at(c.limit))
			}
			latency := time.Duration(c.limit) * time.Millisecond
			g.Expect(f.detector.results[d.Server]).To(ConsistOf(detector.Result{Kind: c.want, Latency: latency}))
		}
	}
}
