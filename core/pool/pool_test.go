package pool_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// Guards against requests that are spread unevenly or exceed the slots, and
// against a freed slot that does not go to the next waiting request.
func TestDispatchFillsSlotsThenQueues(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(2, 1, nil)
	first := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), repeatableRequest("a", 0)))
	second := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), nonRepeatableRequest("b", 0)))
	g.Expect(first).To(HaveLen(1))
	g.Expect(second).To(HaveLen(1))
	g.Expect(second[0].Server).NotTo(Equal(first[0].Server))
	g.Expect(f.pool.Submit(at(0), repeatableRequest("c", 0))).To(BeEmpty())
	out := f.pool.Finish(at(5), pool.AttemptResult{Attempt: first[0].Attempt, Kind: pool.Answered})
	g.Expect(decisionsOf[pool.Complete](out)).To(ConsistOf(pool.Complete{Request: "a", Attempt: first[0].Attempt}))
	third := decisionsOf[pool.Dispatch](out)
	g.Expect(third).To(HaveLen(1))
	g.Expect(third[0].Request).To(Equal(model.RequestID("c")))
	g.Expect(third[0].Server).To(Equal(first[0].Server))
}

// Guards against a wrong outcome for a request that is not repeatable.
func TestOutcomeOfFailedNonRepeatableRequest(t *testing.T) {
	for _, c := range []struct {
		kind    pool.ResultKind
		outcome model.Outcome
		reason  model.Reason
	}{
		{pool.FailedBeforeSend, model.NotRun, model.ReasonConnect},
		{pool.Shed, model.NotRun, model.ReasonShed},
		{pool.FailedAfterSend, model.Unknown, model.ReasonServerFailed},
		{pool.TimedOut, model.Unknown, model.ReasonTimeout},
		{pool.Truncated, model.Unknown, model.ReasonTruncated},
	} {
		t.Run(c.kind.String(), func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(1, 1, nil)
			d := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), nonRepeatableRequest("a", 0)))
			out := f.pool.Finish(at(5), pool.AttemptResult{Attempt: d[0].Attempt, Kind: c.kind})
			g.Expect(decisionsOf[pool.Fail](out)).To(ConsistOf(pool.Fail{Request: "a", Outcome: c.outcome, Reason: c.reason}))
		})
	}
}

// Guards against a queued request that expires without a final decision or with
// outcome Unknown, and against a running one that expires with outcome NotRun.
func TestDeadline(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1, 1, nil)
	d := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), nonRepeatableRequest("run", 0)))
	g.Expect(f.pool.Submit(at(0), nonRepeatableRequest("wait", 0))).To(BeEmpty())
	g.Expect(f.pool.NextWake(at(0))).To(Equal(at(1000)))
	out := f.pool.Tick(at(1000))
	g.Expect(decisionsOf[pool.Fail](out)).To(ConsistOf(
		pool.Fail{Request: "run", Outcome: model.Unknown, Reason: model.ReasonTimeout},
		pool.Fail{Request: "wait", Outcome: model.NotRun, Reason: model.ReasonDeadline}))
	g.Expect(decisionsOf[pool.Abandon](out)).To(ConsistOf(pool.Abandon{Attempt: d[0].Attempt}))
}

// Guards against a request that gets the slot of an abandoned attempt while the
// server may still be running that attempt.
func TestAbandonedAttemptKeepsItsSlot(t *testing.T) {
	for _, c := range []struct {
		name    string
		free    func(f *fixture, a model.AttemptID) []pool.Decision
		expects int
	}{
		{"driver reports the timeout", func(f *fixture, a model.AttemptID) []pool.Decision {
			return f.pool.Finish(at(1100), pool.AttemptResult{Attempt: a, Kind: pool.TimedOut})
		}, 0},
		{"server confirms", func(f *fixture, a model.AttemptID) []pool.Decision {
			return f.pool.CancelConfirmed(at(1100), a)
		}, 1},
		{"answer arrives late", func(f *fixture, a model.AttemptID) []pool.Decision {
			return f.pool.Finish(at(1100), pool.AttemptResult{Attempt: a, Kind: pool.Answered})
		}, 1},
		{"hold ends", func(f *fixture, _ model.AttemptID) []pool.Decision {
			return f.pool.Tick(at(1000).Add(cancelHold))
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(1, 1, nil)
			d := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), nonRepeatableRequest("a", 0)))
			f.pool.Tick(at(1000))
			late := nonRepeatableRequest("b", 1050)
			late.Deadline = at(9000)
			g.Expect(f.pool.Submit(at(1050), late)).To(BeEmpty())
			g.Expect(decisionsOf[pool.Dispatch](c.free(f, d[0].Attempt))).To(HaveLen(c.expects))
		})
	}
}
