package pool_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// Guards against a repeatable request that fails, or is retried at the same
// server, while another server could answer, and against a request that is not
// repeatable but is retried after it may have run.
func TestRetryAfterFailure(t *testing.T) {
	for _, c := range []struct {
		kind       pool.ResultKind
		status5xx  bool
		repeatable bool
		retried    bool
	}{
		{pool.FailedAfterSend, false, true, true},
		{pool.Truncated, false, true, true},
		{pool.TimedOut, false, true, true},
		{pool.Answered, true, true, true},
		{pool.Shed, false, true, true},
		{pool.FailedBeforeSend, false, false, true},
		{pool.Shed, false, false, true},
		{pool.FailedAfterSend, false, false, false},
		{pool.Truncated, false, false, false},
		{pool.Answered, true, false, false},
	} {
		t.Run(fmt.Sprintf("%s/5xx=%t/repeatable=%t", c.kind, c.status5xx, c.repeatable), func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(2, 1, nil)
			r := nonRepeatableRequest("a", 0)
			r.Repeatable = c.repeatable
			first := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), r))[0]
			out := f.pool.Finish(at(5), pool.AttemptResult{Attempt: first.Attempt, Kind: c.kind, ServerError: c.status5xx})
			again := decisionsOf[pool.Dispatch](out)
			if !c.retried {
				g.Expect(again).To(BeEmpty())
				return
			}
			g.Expect(again).To(HaveLen(1))
			g.Expect(again[0].Server).NotTo(Equal(first.Server))
			out = f.pool.Finish(at(9), pool.AttemptResult{Attempt: again[0].Attempt, Kind: pool.Answered})
			g.Expect(decisionsOf[pool.Complete](out)).To(HaveLen(1))
		})
	}
}

// Guards against retries beyond the budget, and against a repeatable request that
// fails although the budget recovers before its deadline.
func TestRepeatableRequestWaitsForBudget(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 2, func(c *pool.Config) { c.RetryBurst, c.RetryBudgetShare = 1, 0.5 })
	fail := func(ms int, id string) []pool.Decision {
		d := decisionsOf[pool.Dispatch](f.pool.Submit(at(ms), repeatableRequest(id, ms)))[0]
		return f.pool.Finish(at(ms), pool.AttemptResult{Attempt: d.Attempt, Kind: pool.FailedAfterSend})
	}
	g.Expect(decisionsOf[pool.Dispatch](fail(0, "a"))).To(HaveLen(1))
	g.Expect(fail(10, "b")).To(BeEmpty())
	out := decisionsOf[pool.Dispatch](f.pool.Submit(at(20), nonRepeatableRequest("c", 20)))
	g.Expect(out).To(ConsistOf(HaveField("Request", model.RequestID("c")), HaveField("Request", model.RequestID("b"))))
}

// Guards against a repeatable request that waits for a stalled server, a slower
// attempt that is not abandoned after the answer, and a hedge of a request that is
// not repeatable.
func TestHedge(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(3, 1, func(c *pool.Config) { c.HedgePercentile = 0.95 })
	first := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), repeatableRequest("a", 0)))[0]
	f.pool.Submit(at(0), nonRepeatableRequest("b", 0))
	wake := 3 * pool.DefaultServiceTime
	g.Expect(f.pool.NextWake(at(0))).To(Equal(at(0).Add(wake)))
	hedges := decisionsOf[pool.Dispatch](f.pool.Tick(at(60)))
	g.Expect(hedges).To(HaveLen(1))
	g.Expect(hedges[0].Hedge).To(BeTrue())
	g.Expect(hedges[0].Request).To(Equal(model.RequestID("a")))
	out := f.pool.Finish(at(70), pool.AttemptResult{Attempt: hedges[0].Attempt, Kind: pool.Answered})
	g.Expect(decisionsOf[pool.Complete](out)).To(HaveLen(1))
	g.Expect(decisionsOf[pool.Abandon](out)).To(ConsistOf(pool.Abandon{Attempt: first.Attempt}))
	g.Expect(f.detector.results[first.Server]).To(ConsistOf(detector.Result{Kind: detector.Cancelled, Latency: 70 * time.Millisecond}))
}

// Guards against repeatable requests that wait for the hedge delay at a server
// that has been ejected.
func TestEjectionHedgesLiveRequests(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 1, func(c *pool.Config) { c.HedgePercentile = 0.95 })
	first := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), repeatableRequest("a", 0)))[0]
	f.detector.scores[first.Server] = 1
	g.Expect(decisionsOf[pool.Dispatch](f.pool.Tick(at(1)))).To(ConsistOf(HaveField("Hedge", true)))
}

// Guards against stalled repeatable requests that occupy every slot, so that
// other requests get none, or the reverse, and against slots that stay reserved
// for a class without requests.
func TestReserve(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(5, 2, func(c *pool.Config) { c.ReserveShare = 0.2 })
	first := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), nonRepeatableRequest("p0", 0)))[0]
	f.pool.Finish(at(1), pool.AttemptResult{Attempt: first.Attempt, Kind: pool.Answered})
	running := 0
	for i := range 12 {
		r := repeatableRequest(fmt.Sprint("l", i), 2)
		r.Deadline = at(60000)
		running += len(decisionsOf[pool.Dispatch](f.pool.Submit(at(2), r)))
	}
	g.Expect(running).To(Equal(8))
	g.Expect(decisionsOf[pool.Dispatch](f.pool.Submit(at(3), nonRepeatableRequest("p1", 3)))).To(HaveLen(1))
	g.Expect(f.pool.NextWake(at(3))).To(Equal(at(1003)))
	f.pool.Tick(at(1003))
	out := f.pool.Tick(at(3).Add(pool.DefaultReserveIdleTimeout))
	g.Expect(decisionsOf[pool.Dispatch](out)).To(HaveLen(2))
}

// Guards against requests that are accepted although their deadline would pass in
// the queue, and against a flooding workspace that causes the requests of others
// to be refused.
func TestEarlyRefusal(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1, 1, nil)
	for i := range 40 {
		f.pool.Submit(at(0), repeatableRequest(fmt.Sprint("flood", i), 0))
	}
	short := repeatableRequest("short", 0)
	short.Deadline = at(200)
	refused := decisionsOf[pool.Refuse](f.pool.Submit(at(0), short))
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Reason).To(Equal(model.ReasonDeadline))
	g.Expect(refused[0].RetryAfter).To(BeNumerically("~", 800*time.Millisecond, 50*time.Millisecond))
	short.ID, short.Workspace = "other", "other"
	g.Expect(f.pool.Submit(at(0), short)).To(BeEmpty())
}

// Guards against retries that come too late for every request that waits for the
// retry budget, because the oldest is retried first while the budget stays short.
func TestNewestRequestAwaitingBudgetIsRetriedFirst(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(3, 2, func(c *pool.Config) { c.RetryBurst, c.RetryBudgetShare = 1, 0.25 })
	for i, id := range []string{"a", "b", "c"} {
		d := decisionsOf[pool.Dispatch](f.pool.Submit(at(i), repeatableRequest(id, i)))[0]
		f.pool.Finish(at(i), pool.AttemptResult{Attempt: d.Attempt, Kind: pool.FailedAfterSend})
	}
	f.pool.Submit(at(5), nonRepeatableRequest("p", 5))
	out := decisionsOf[pool.Dispatch](f.pool.Submit(at(5), nonRepeatableRequest("q", 5)))
	g.Expect(out).To(ConsistOf(HaveField("Request", model.RequestID("q")), HaveField("Request", model.RequestID("c"))))
}

// Guards against a repeatable request that waits for the retry budget until its
// deadline although the pool is idle, because only further requests refill the
// budget.
func TestRequestAwaitingBudgetIsRetriedInAnIdlePool(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(4, 2, func(c *pool.Config) { c.RetryBurst, c.RetryBudgetShare = 1, 0.1 })
	for i, id := range []string{"a", "b"} {
		d := decisionsOf[pool.Dispatch](f.pool.Submit(at(i), repeatableRequest(id, i)))[0]
		f.pool.Finish(at(i), pool.AttemptResult{Attempt: d.Attempt, Kind: pool.FailedAfterSend})
	}
	// 20% of 8 slots at 20 ms are 80 requests a second: 8 retries a second.
	wake := f.pool.NextWake(at(2))
	g.Expect(wake).To(BeTemporally("<", at(200)))
	out := decisionsOf[pool.Dispatch](f.pool.Tick(wake))
	g.Expect(out).To(ConsistOf(HaveField("Request", model.RequestID("b"))))
}

// Guards against a repeatable request that waits until its deadline for its
// attempts at three servers that were ejected meanwhile, although a fourth server
// is free.
func TestRequestTriesFourthServerAfterThreeStalled(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(6, 2, func(c *pool.Config) {
		c.HedgePercentile, c.RetryBurst = 0.95, 10
		c.Limits = floor.Limits{MinServers: 3}
	})
	tried := map[model.ServerID]bool{}
	note := func(ds []pool.Decision) {
		for _, d := range decisionsOf[pool.Dispatch](ds) {
			tried[d.Server] = true
		}
	}
	note(f.pool.Submit(at(0), repeatableRequest("a", 0)))
	ms := 0
	for ; len(tried) < 3 && ms < 900; ms += 10 {
		note(f.pool.Tick(at(ms)))
	}
	g.Expect(tried).To(HaveLen(3))
	for s := range tried {
		f.detector.scores[s] = 5
	}
	for ; len(tried) < 4 && ms < 900; ms += 10 {
		note(f.pool.Tick(at(ms)))
	}
	g.Expect(tried).To(HaveLen(4))
}

// Guards against hedges of stalled repeatable requests that take the slots
// reserved for other requests.
func TestHedgesLeaveTheReserve(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(5, 2, func(c *pool.Config) { c.ReserveShare, c.HedgePercentile = 0.2, 0.95 })
	first := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), nonRepeatableRequest("p0", 0)))[0]
	f.pool.Finish(at(1), pool.AttemptResult{Attempt: first.Attempt, Kind: pool.Answered})
	for i := range 7 {
		f.pool.Submit(at(2), repeatableRequest(fmt.Sprint("l", i), 2))
	}
	for ms := 10; ms < 900; ms += 10 {
		f.pool.Tick(at(ms))
	}
	g.Expect(f.pool.View(at(900)).FreeSlots).To(Equal(2))
	g.Expect(decisionsOf[pool.Dispatch](f.pool.Submit(at(900), nonRepeatableRequest("p1", 900)))).To(HaveLen(1))
}

// Guards against a request that is tried at every server of a pool whose servers
// all refuse connections.
func TestUnsentAttemptsAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(20, 1, func(c *pool.Config) { c.RetryBudgetShare, c.RetryBurst = -1, -1 })
	ds := f.pool.Submit(at(0), nonRepeatableRequest("a", 0))
	attempts := 0
	for d := decisionsOf[pool.Dispatch](ds); len(d) > 0; d = decisionsOf[pool.Dispatch](ds) {
		attempts++
		ds = f.pool.Finish(at(attempts), pool.AttemptResult{Attempt: d[0].Attempt, Kind: pool.FailedBeforeSend})
	}
	g.Expect(attempts).To(Equal(4))
	g.Expect(decisionsOf[pool.Fail](ds)).To(ConsistOf(pool.Fail{Request: "a", Outcome: model.NotRun, Reason: model.ReasonConnect}))
}
