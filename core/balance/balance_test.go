package balance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
)

var start = time.Unix(1_700_000_000, 0)

var testModel = balance.Model{FailWhenServing: 0.015, FailWhenFailing: 0.75, OnsetRate: 0.04, RecoveryRate: 0.25}

var testCosts = balance.Costs{
	CrossDataCentreByte: 1e-5, CrossRegionByte: 1e-4, IdempotentFailure: 1, NonIdempotentFailure: 2, RetriableFailure: 0.3, LateResponse: 0.4, UnreachablePath: 0.6, SheddingServer: 0.3,
}

const (
	registry = model.ServiceName("registry")
	self     = model.HostID("h1")
)

// tableDriver calls a table in virtual time.
type tableDriver struct {
	table       *balance.Table
	now         time.Time
	lastAttempt uint64
}

func newTableDriver(servers ...balance.Server) *tableDriver {
	b := &tableDriver{now: start, table: balance.NewTable(balance.Options{
		DataCentre: "a", Region: "r", Model: testModel, Costs: testCosts,
		Budget: balance.Budget{Ratio: 0.2, Slack: 40, Window: 10 * time.Second},
	})}
	if len(servers) > 0 {
		b.table.SetServers(b.now, servers, 2)
	}
	return b
}

func local(n int) []balance.Server {
	var out []balance.Server
	for i := range n {
		out = append(out, balance.Server{Key: balance.ServerKey(i + 1), ID: model.ServerID(fmt.Sprint("i-", i+1)), Service: registry, DataCentre: "a", Region: "r", Slots: 2})
	}
	return out
}

func (b *tableDriver) begin(k balance.ServerKey) balance.AttemptKey {
	b.lastAttempt++
	a := balance.AttemptKey{Host: self, Number: b.lastAttempt}
	b.table.AttemptStarted(b.now, k, a, false)
	return a
}

// run starts and finishes one attempt at a server.
func (b *tableDriver) run(k balance.ServerKey, r balance.Result, took time.Duration) {
	a := b.begin(k)
	b.now = b.now.Add(took)
	b.table.AttemptFinished(b.now, k, a, r, took)
}

func (b *tableDriver) choose(q balance.Query) balance.Choice {
	q.Service = registry
	c, _ := b.table.Choose(b.now, q)
	return c
}

func nonIdempotentQuery() balance.Query { return balance.Query{TargetLatency: time.Second} }

func idempotentQuery() balance.Query {
	return balance.Query{Idempotent: true, CanRetry: true, TargetLatency: time.Second}
}

// Guards against beliefs outside the range of probabilities, and against a success
// that raises the failing probability or a failure that lowers it.
func TestBeliefFollowsEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		b := testModel.NewBelief(now)
		for range rapid.IntRange(1, 50).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "gap")) * time.Millisecond)
			before := testModel.FailingProbability(b, now)
			failed := rapid.Bool().Draw(t, "failed")
			if failed {
				b = testModel.AfterFailure(b, now)
			} else {
				b = testModel.AfterSuccess(b, now)
			}
			after := testModel.FailingProbability(b, now)
			if after <= 0 || after >= 1 || (failed && after < before-1e-3) || (!failed && after > before+1e-3) {
				t.Fatalf("belief moved from %v to %v, failed=%v", before, after, failed)
			}
		}
	})
}

// Guards against old evidence that counts as much as new.
func TestBeliefDecays(t *testing.T) {
	g := NewWithT(t)
	b := testModel.AfterFailure(testModel.NewBelief(start), start)
	g.Expect(testModel.FailingProbability(b, start)).To(BeNumerically(">", 0.8))
	g.Expect(testModel.FailingProbability(b, start.Add(time.Minute))).To(BeNumerically("~", 0.138, 0.01))
}

// Guards against a non-idempotent request being sent to a server that just failed
// although another one succeeds.
func TestAvoidsFailingServers(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(3)...)
	b.run(1, balance.Failed, 5*time.Millisecond)
	b.run(2, balance.Succeeded, 100*time.Millisecond)
	b.run(3, balance.Failed, 5*time.Millisecond)
	for range 20 {
		g.Expect(b.choose(nonIdempotentQuery()).Server.ID).To(Equal(model.ServerID("i-2")))
	}
}

// Guards against a failing server that is preferred because the others are busy:
// a late response is better than none.
func TestBusyServerPreferredToFailing(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	for range 5 {
		b.run(1, balance.Succeeded, 150*time.Millisecond)
		b.run(2, balance.Failed, time.Millisecond)
	}
	for range 5 {
		b.begin(1)
	}
	g.Expect(b.choose(nonIdempotentQuery()).Server.ID).To(Equal(model.ServerID("i-1")))
}

// Guards against a pool that refuses all requests when all its servers are
// suspects.
func TestAllSuspectsStillServe(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	b.run(1, balance.Failed, time.Millisecond)
	b.run(2, balance.Failed, time.Millisecond)
	_, ok := b.table.Choose(b.now, balance.Query{Service: registry})
	g.Expect(ok).To(BeTrue())
}

// Guards against attempts of other daemons that do not count as load.
func TestLoadIsShared(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	b.run(1, balance.Succeeded, 100*time.Millisecond)
	b.run(2, balance.Succeeded, 100*time.Millisecond)
	for i := range 2 {
		b.table.AttemptStarted(b.now, 1, balance.AttemptKey{Host: "h2", Number: uint64(i)}, false)
	}
	g.Expect(b.choose(nonIdempotentQuery()).Server.ID).To(Equal(model.ServerID("i-2")))
}

// Guards against attempts that count as load for ever because the report of their
// end was lost.
func TestLostAttemptEnds(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(1)...)
	for i := range 3 {
		b.table.AttemptStarted(b.now, 1, balance.AttemptKey{Host: "h2", Number: uint64(i)}, false)
	}
	g.Expect(b.choose(nonIdempotentQuery()).Outstanding).To(Equal(3))
	b.table.RetainAttempts("h2", []uint64{1})
	g.Expect(b.choose(nonIdempotentQuery()).Outstanding).To(Equal(1))
	b.table.RemoveHost("h2")
	g.Expect(b.choose(nonIdempotentQuery()).Outstanding).To(BeZero())
	b.begin(1)
	b.now = b.now.Add(13 * time.Second)
	b.table.Tick(b.now)
	g.Expect(b.choose(nonIdempotentQuery()).Outstanding).To(BeZero())
}

// Guards against a stalled attempt that changes the belief only when it ends.
func TestStallIsEvidence(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	b.run(1, balance.Succeeded, 100*time.Millisecond)
	b.run(2, balance.Succeeded, 100*time.Millisecond)
	b.begin(1)
	b.now = b.now.Add(600 * time.Millisecond)
	changes := b.table.Tick(b.now)
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].After).To(BeNumerically(">", changes[0].Before))
	g.Expect(b.table.Tick(b.now)).To(BeEmpty())
	g.Expect(b.choose(nonIdempotentQuery()).Server.ID).To(Equal(model.ServerID("i-2")))
}

// Guards against evidence about one incarnation of a server being applied to the
// next.
func TestNewIncarnation(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(1)...)
	b.run(1, balance.Failed, time.Millisecond)
	again := local(1)
	again[0].Key = 99
	b.table.SetServers(b.now, again, 2)
	g.Expect(b.choose(nonIdempotentQuery()).FailingProbability).To(BeNumerically("<", 0.2))
}

// Guards against servers that get no request for 2.5 s (the limit) or more although
// idempotent ones arrive, in a service with idempotent requests only and in one
// with both kinds.
func TestNoServerStarves(t *testing.T) {
	for _, mixed := range []bool{false, true} {
		g := NewWithT(t)
		b := newTableDriver(local(8)...)
		last := map[balance.ServerKey]time.Time{}
		for k := range 8 {
			last[balance.ServerKey(k+1)] = b.now
		}
		for i := range 400 {
			q := idempotentQuery()
			if mixed && i%2 == 0 {
				q = nonIdempotentQuery()
			}
			c := b.choose(q)
			last[c.Server.Key] = b.now
			r := balance.Succeeded
			if c.Server.Key <= 2 {
				r = balance.Failed
			}
			b.run(c.Server.Key, r, 50*time.Millisecond)
			for k, at := range last {
				g.Expect(b.now.Sub(at)).To(BeNumerically("<", 2500*time.Millisecond), "server %d", k)
			}
		}
	}
}

// Guards against requests that cannot be retried being used as probes.
func TestOnlyRetriableAttemptsProbe(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(3)...)
	b.now = b.now.Add(time.Minute)
	g.Expect(b.choose(nonIdempotentQuery()).Probe).To(BeFalse())
	last := idempotentQuery()
	last.CanRetry = false
	g.Expect(b.choose(last).Probe).To(BeFalse())
	g.Expect(b.choose(idempotentQuery()).Probe).To(BeTrue())
}

// Guards against requests sent to another data centre without need, and against
// requests kept in a data centre whose servers fail.
func TestSpillToOtherDataCentres(t *testing.T) {
	g := NewWithT(t)
	servers := local(1)
	servers = append(servers,
		balance.Server{Key: 10, ID: "near", Service: registry, DataCentre: "b", Region: "r", Slots: 2},
		balance.Server{Key: 20, ID: "far", Service: registry, DataCentre: "c", Region: "s", Slots: 2})
	b := newTableDriver(servers...)
	q := nonIdempotentQuery()
	q.ExpectedBytes = 5000
	b.run(1, balance.Succeeded, 100*time.Millisecond)
	g.Expect(b.choose(q).Server.ID).To(Equal(model.ServerID("i-1")))
	for range 3 {
		b.run(1, balance.Failed, time.Millisecond)
	}
	b.table.ApplyReport(b.now, "b", map[balance.ServerKey]balance.Load{10: {FailingProbability: 0.05}})
	g.Expect(b.choose(q).Server.ID).To(Equal(model.ServerID("near")))
	b.table.ApplyReport(b.now, "b", map[balance.ServerKey]balance.Load{10: {FailingProbability: 0.99}})
	g.Expect(b.choose(q).Server.ID).To(Equal(model.ServerID("far")))
}

// Guards against a server that could recently not be connected to being preferred
// to others.
func TestUnreachable(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	b.table.MarkUnreachable(b.now, 1, time.Second)
	for i := range 10 {
		q := nonIdempotentQuery()
		q.TieBreak = uint64(i)
		g.Expect(b.choose(q).Server.ID).To(Equal(model.ServerID("i-2")))
	}
	b.now = b.now.Add(2 * time.Second)
	g.Expect(b.choose(balance.Query{Excluded: []balance.ServerKey{2}}).Server.ID).To(Equal(model.ServerID("i-1")))
}

// Guards against hedges that add load to a pool without free slots.
func TestHedgesNeedAFreeSlot(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	q := balance.Query{Service: registry, Idempotent: true, Hedge: true, Excluded: []balance.ServerKey{1}}
	c, ok := b.table.Choose(b.now, q)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Server.ID).To(Equal(model.ServerID("i-2")))
	b.begin(2)
	b.begin(2)
	_, ok = b.table.Choose(b.now, q)
	g.Expect(ok).To(BeFalse())
}

// Guards against queueing time that counts as service time: servers with a backlog
// would then seem slow for as long as it lasts.
func TestServiceTimeExcludesQueueing(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(1)...)
	var attempts []balance.AttemptKey
	for range 6 {
		attempts = append(attempts, b.begin(1))
	}
	for i, a := range attempts {
		b.table.AttemptFinished(b.now, 1, a, balance.Succeeded, time.Duration(1+max(0, i-1)/2)*100*time.Millisecond)
	}
	g.Expect(b.table.MeanServiceTime(registry)).To(BeNumerically("~", 100*time.Millisecond, 30*time.Millisecond))
}

// Guards against a pool that refuses all requests for ever once the estimated
// service time is above the limit: without requests no sample corrects it.
func TestIdleServersAreNeverFull(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	for range 20 {
		b.run(1, balance.Succeeded, 3*time.Second)
		b.run(2, balance.Succeeded, 3*time.Second)
	}
	q := nonIdempotentQuery()
	q.LatencyLimit = time.Second
	g.Expect(b.choose(q).QueueFull).To(BeFalse())
	for range 2 {
		b.begin(1)
		b.begin(2)
	}
	g.Expect(b.choose(q).QueueFull).To(BeTrue())
}

// Guards against a service time estimate that includes queueing behind requests of
// other data centres.
func TestServiceTimeExcludesRemoteLoad(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(1)...)
	b.run(1, balance.Succeeded, 100*time.Millisecond)
	for range 20 {
		b.table.ApplyReport(b.now, "b", map[balance.ServerKey]balance.Load{1: {Outstanding: 6}})
		b.run(1, balance.Succeeded, 350*time.Millisecond)
	}
	g.Expect(b.table.MeanServiceTime(registry)).To(BeNumerically("~", 100*time.Millisecond, 20*time.Millisecond))
}

// Guards against queueing behind attempts that this daemon does not know of being
// taken for service time: servers with a backlog would then seem slow.
func TestQueuedSamplesCountLess(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(1)...)
	b.run(1, balance.Succeeded, 100*time.Millisecond)
	b.begin(1)
	b.begin(1)
	for range 10 {
		b.run(1, balance.Succeeded, 900*time.Millisecond)
	}
	g.Expect(b.table.MeanServiceTime(registry)).To(BeNumerically("<", 200*time.Millisecond))
}

// Guards against servers that seem free although other data centres load them, and
// against load that still counts after it has ended or its report is too old.
func TestLoadOfOtherDataCentres(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	b.run(1, balance.Succeeded, 100*time.Millisecond)
	b.run(2, balance.Succeeded, 100*time.Millisecond)
	b.table.ApplyReport(b.now, "b", map[balance.ServerKey]balance.Load{1: {Outstanding: 2}})
	b.table.ApplyReport(b.now, "c", map[balance.ServerKey]balance.Load{1: {Outstanding: 1}})
	for i := range 10 {
		q := nonIdempotentQuery()
		q.TieBreak = uint64(i)
		g.Expect(b.choose(q).Server.ID).To(Equal(model.ServerID("i-2")))
	}
	only := balance.Query{Excluded: []balance.ServerKey{2}}
	g.Expect(b.choose(only).Outstanding).To(Equal(3))
	b.table.ApplyReport(b.now, "b", nil)
	g.Expect(b.choose(only).Outstanding).To(Equal(1))
	b.now = b.now.Add(5 * time.Second)
	g.Expect(b.choose(only).Outstanding).To(BeZero())
}

// Guards against refusing a request that a server of another data centre would
// answer in time.
func TestSpillBeforeRefusal(t *testing.T) {
	g := NewWithT(t)
	servers := append(local(1), balance.Server{Key: 10, ID: "far", Service: registry, DataCentre: "c", Region: "s", Slots: 2})
	b := newTableDriver(servers...)
	b.run(1, balance.Succeeded, 200*time.Millisecond)
	for range 6 {
		b.begin(1)
	}
	q := nonIdempotentQuery()
	q.ExpectedBytes, q.LatencyLimit = 5000, 500*time.Millisecond
	c := b.choose(q)
	g.Expect(c.Server.ID).To(Equal(model.ServerID("far")))
	g.Expect(c.QueueFull).To(BeFalse())
}

// Guards against a reused address that each daemon has to detect on its own.
func TestMisdirectedIsShared(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	b.run(2, balance.Failed, time.Millisecond)
	b.table.AttemptFinished(b.now, 1, balance.AttemptKey{Host: "h2", Number: 1}, balance.Misdirected, time.Millisecond)
	b.run(2, balance.Succeeded, time.Millisecond)
	b.run(2, balance.Succeeded, time.Millisecond)
	for i := range 10 {
		q := nonIdempotentQuery()
		q.TieBreak = uint64(i)
		g.Expect(b.choose(q).Server.ID).To(Equal(model.ServerID("i-2")))
	}
}
