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

// status returns the view of one server.
func (f *fixture) server(ms int, id model.ServerID) pool.ServerView {
	for _, s := range f.pool.View(at(ms)).Servers {
		if s.ID == id {
			return s
		}
	}
	return pool.ServerView{}
}

// eject makes the detector suspect s0 so that it is ejected.
func (f *fixture) eject(ms int) []pool.Decision {
	f.detector.scores["s0"] = 5
	return f.pool.Tick(at(ms))
}

// probe sends lookups until one reaches s0 and ends it as told; the others are
// answered.
func (f *fixture) probe(ms int, id string, kind pool.ResultKind) bool {
	reached := false
	for _, d := range pick[pool.Dispatch](f.pool.Submit(at(ms), lookup(id, ms))) {
		k := pool.Answered
		if d.Server == "s0" {
			reached, k = true, kind
		}
		f.pool.Finish(at(ms+1), pool.AttemptResult{Attempt: d.Attempt, Kind: k})
	}
	return reached
}

// Guards against a suspect that stays in service, work for an ejected server,
// and a report that operators cannot follow.
func TestSuspectIsEjected(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 1, nil)
	out := f.eject(10)
	g.Expect(pick[pool.ServerChanged](out)).To(HaveLen(1))
	changed := pick[pool.ServerChanged](out)[0]
	g.Expect(changed.To).To(Equal(pool.Ejected))
	g.Expect(changed.Evidence.Score).To(Equal(5.0))
	g.Expect(f.pool.NextWake(at(10))).To(Equal(at(10).Add(pool.DefaultEjectionTime)))
	g.Expect(f.probe(20, "a", pool.Answered)).To(BeFalse())
}

// Guards against a kept suspect that receives work which may not be repeated,
// and against a lookup that fails although a suspect server is free.
func TestSuspectKeptByFloorIsLastResortOfLookups(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 1, func(c *pool.Config) { c.Limits.Share = 1 })
	f.eject(10)
	g.Expect(f.server(10, "s0").Status).To(Equal(pool.Suspect))
	g.Expect(pick[pool.Dispatch](f.pool.Submit(at(20), posting("a", 20)))[0].Server).To(Equal(serverID(1)))
	g.Expect(f.pool.Submit(at(20), posting("b", 20))).To(BeEmpty())
	g.Expect(pick[pool.Dispatch](f.pool.Submit(at(20), lookup("c", 20)))[0].Server).To(Equal(serverID(0)))
}

// Guards against a server that returns without proof, never returns, or is
// tested by several requests at a time.
func TestProbation(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 2, nil)
	f.eject(0)
	f.pool.Tick(at(5000))
	g.Expect(f.server(5000, "s0").Status).To(Equal(pool.Probation))
	first := pick[pool.Dispatch](f.pool.Submit(at(5000), lookup("a", 5000)))[0]
	g.Expect(first.Server).To(Equal(serverID(0)))
	g.Expect(pick[pool.Dispatch](f.pool.Submit(at(5000), lookup("b", 5000)))[0].Server).To(Equal(serverID(1)))
	f.pool.Finish(at(5001), pool.AttemptResult{Attempt: first.Attempt, Kind: pool.Answered})
	g.Expect(pick[pool.Dispatch](f.pool.Submit(at(5002), posting("c", 5002)))[0].Server).To(Equal(serverID(1)))
	g.Expect(f.probe(5003, "d", pool.Answered)).To(BeTrue())
	g.Expect(f.server(5004, "s0").Status).To(Equal(pool.Probation))
	g.Expect(f.probe(5005, "e", pool.Answered)).To(BeTrue())
	view := f.server(5006, "s0")
	g.Expect(view.Status).To(Equal(pool.Serving))
	g.Expect(view.Allowed).To(Equal(1))
	g.Expect(f.server(5006+10000, "s0").Allowed).To(Equal(2))
}

// Guards against a pool without traffic, or without repeatable requests, whose
// servers never return.
func TestServerReturnsWithoutTraffic(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 1, nil)
	f.eject(0)
	f.pool.Tick(f.pool.NextWake(at(0)))
	g.Expect(f.pool.NextWake(at(5000))).To(Equal(at(35000)))
	f.pool.Tick(at(35000))
	g.Expect(f.server(35000, "s0").Status).To(Equal(pool.Serving))
}

// Guards against a flapping server that returns as often as a healthy one, and
// against a hold that never shrinks again.
func TestHoldGrowsWithFlappingAndShrinksAfterQuiet(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 1, nil)
	f.eject(0)
	held := func(ms int) time.Duration { return f.server(ms, "s0").EjectedUntil.Sub(at(ms)) }
	g.Expect(held(0)).To(Equal(5 * time.Second))
	f.pool.Tick(at(5000))
	f.probe(5000, "a", pool.FailedAfterSend)
	g.Expect(held(5001)).To(Equal(10 * time.Second))
	f.pool.Tick(at(15001))
	for i, id := range []string{"b", "c", "d"} {
		f.probe(15001+2*i, id, pool.Answered)
	}
	g.Expect(f.server(15010, "s0").Status).To(Equal(pool.Serving))
	f.eject(16000)
	g.Expect(held(16000)).To(Equal(20 * time.Second))
	f.pool.Tick(at(36000))
	f.pool.Tick(at(66000))
	g.Expect(f.server(66000, "s0").Status).To(Equal(pool.Serving))
	f.eject(66000 + 125000)
	g.Expect(held(66000 + 125000)).To(Equal(5 * time.Second))
}

// Guards against ejected capacity that the floor needs after operators drain
// other servers, and against work that may not be repeated going to it unproven.
func TestDrainReadmitsEjectedServerEarly(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 2, nil)
	f.eject(0)
	f.detector.scores = map[model.ServerID]float64{}
	f.cfg.Servers[1].State = snapshot.ServerDraining
	f.pool.Configure(at(10), f.cfg)
	g.Expect(f.server(10, "s0").Status).To(Equal(pool.Suspect))
	g.Expect(f.server(10, "s1").Status).To(Equal(pool.Leaving))
	g.Expect(pick[pool.Refuse](f.pool.Submit(at(10), posting("p", 10)))).To(HaveLen(1))
	for i, id := range []string{"a", "b", "c"} {
		g.Expect(f.probe(20+2*i, id, pool.Answered)).To(BeTrue())
	}
	f.pool.Tick(at(30))
	g.Expect(f.server(30, "s0").Status).To(Equal(pool.Serving))
}

// Guards against a cold server that gets its full load at once, and against a
// removed one that stays in the view after its last attempt.
func TestNewServerRampsAndRemovedServerGoes(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1, 4, nil)
	f.cfg.Servers = append(f.cfg.Servers, pool.Server{ID: "new", Slots: 4})
	f.pool.Configure(at(0), f.cfg)
	for i, ms := range []int{0, 2500, 5000, 10000} {
		g.Expect(f.server(ms, "new").Allowed).To(Equal(min(4, i+1)), "%d ms", ms)
	}
	d := pick[pool.Dispatch](f.pool.Submit(at(10000), posting("a", 10000)))[0]
	f.cfg.Servers = nil
	f.pool.Configure(at(10001), f.cfg)
	g.Expect(f.server(10001, d.Server).Status).To(Equal(pool.Leaving))
	out := f.pool.Finish(at(10002), pool.AttemptResult{Attempt: d.Attempt, Kind: pool.Answered})
	g.Expect(pick[pool.Complete](out)).To(HaveLen(1))
	g.Expect(pick[pool.ServerChanged](out)).To(ConsistOf(pool.ServerChanged{Server: d.Server, From: pool.Leaving, To: pool.Gone}))
}

// Guards against callers with short time limits that get healthy servers
// ejected, and against timeouts of stalled attempts that are not counted.
func TestTimeoutEvidence(t *testing.T) {
	for _, c := range []struct {
		limit int
		want  detector.Kind
	}{{30, detector.Cancelled}, {1000, detector.Failure}} {
		for _, byDriver := range []bool{false, true} {
			g := NewWithT(t)
			f := newFixture(1, 1, nil)
			r := posting("a", 0)
			r.Deadline = at(c.limit)
			d := pick[pool.Dispatch](f.pool.Submit(at(0), r))[0]
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
