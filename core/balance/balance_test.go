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

// bench drives a table in virtual time.
type bench struct {
	table *balance.Table
	now   time.Time
	next  uint64
}

func newBench(servers ...balance.Server) *bench {
	b := &bench{now: start, table: balance.NewTable(balance.Options{
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

func (b *bench) begin(k balance.ServerKey) balance.AttemptKey {
	b.next++
	a := balance.AttemptKey{Host: self, Number: b.next}
	b.table.AttemptStarted(b.now, k, a, false)
	return a
}

// run makes one attempt at a server.
func (b *bench) run(k balance.ServerKey, r balance.Result, took time.Duration) {
	a := b.begin(k)
	b.now = b.now.Add(took)
	b.table.AttemptFinished(b.now, k, a, r, took)
}

func (b *bench) choose(q balance.Query) balance.Choice {
	q.Service = registry
	c, _ := b.table.Choose(b.now, q)
	return c
}

func write() balance.Query { return balance.Query{TargetLatency: time.Second} }

func read() balance.Query {
	return balance.Query{Idempotent: true, CanRetry: true, TargetLatency: time.Second}
}

// Guards against beliefs that leave the range of probabilities, or that evidence
// moves the wrong way.
func TestBeliefMoves(t *testing.T) {
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

// Guards against evidence that never ages.
func TestBeliefForgets(t *testing.T) {
	g := NewWithT(t)
	b := testModel.AfterFailure(testModel.NewBelief(start), start)
	g.Expect(testModel.FailingProbability(b, start)).To(BeNumerically(">", 0.8))
	g.Expect(testModel.FailingProbability(b, start.Add(time.Minute))).To(BeNumerically("~", 0.138, 0.01))
}

// Guards against a request that must not repeat being sent to a server that
// just failed while another serves.
func TestAvoidsFailingServers(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(3)...)
	b.run(1, balance.Failed, 5*time.Millisecond)
	b.run(2, balance.Succeeded, 100*time.Millisecond)
	b.run(3, balance.Failed, 5*time.Millisecond)
	for range 20 {
		g.Expect(b.choose(write()).Server.ID).To(Equal(model.ServerID("i-2")))
	}
}

// Guards against a known-failing server that draws requests because the others
// are busy: a late answer is better than none.
func TestBusyBeatsFailing(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(2)...)
	for range 5 {
		b.run(1, balance.Succeeded, 150*time.Millisecond)
		b.run(2, balance.Failed, time.Millisecond)
	}
	for range 5 {
		b.begin(1)
	}
	g.Expect(b.choose(write()).Server.ID).To(Equal(model.ServerID("i-1")))
}

// Guards against a pool that refuses all requests when all of it looks ill.
func TestAllSuspectsStillServe(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(2)...)
	b.run(1, balance.Failed, time.Millisecond)
	b.run(2, balance.Failed, time.Millisecond)
	_, ok := b.table.Choose(b.now, balance.Query{Service: registry})
	g.Expect(ok).To(BeTrue())
}

// Guards against the load of other daemons being ignored.
func TestLoadIsShared(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(2)...)
	b.run(1, balance.Succeeded, 100*time.Millisecond)
	b.run(2, balance.Succeeded, 100*time.Millisecond)
	for i := range 2 {
		b.table.AttemptStarted(b.now, 1, balance.AttemptKey{Host: "h2", Number: uint64(i)}, false)
	}
	g.Expect(b.choose(write()).Server.ID).To(Equal(model.ServerID("i-2")))
}

// Guards against phantom load from attempts whose end was not heard.
func TestUnheardEnds(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(1)...)
	for i := range 3 {
		b.table.AttemptStarted(b.now, 1, balance.AttemptKey{Host: "h2", Number: uint64(i)}, false)
	}
	g.Expect(b.choose(write()).Outstanding).To(Equal(3))
	b.table.RetainAttempts("h2", []uint64{1})
	g.Expect(b.choose(write()).Outstanding).To(Equal(1))
	b.table.RemoveHost("h2")
	g.Expect(b.choose(write()).Outstanding).To(BeZero())
	b.begin(1)
	b.now = b.now.Add(13 * time.Second)
	b.table.Tick(b.now)
	g.Expect(b.choose(write()).Outstanding).To(BeZero())
}

// Guards against a stall that is noticed only when it ends.
func TestStallIsEvidence(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(2)...)
	b.run(1, balance.Succeeded, 100*time.Millisecond)
	b.run(2, balance.Succeeded, 100*time.Millisecond)
	b.begin(1)
	b.now = b.now.Add(600 * time.Millisecond)
	changes := b.table.Tick(b.now)
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].After).To(BeNumerically(">", changes[0].Before))
	g.Expect(b.table.Tick(b.now)).To(BeEmpty())
	g.Expect(b.choose(write()).Server.ID).To(Equal(model.ServerID("i-2")))
}

// Guards against the evidence of an earlier incarnation counting for its
// successor.
func TestNewIncarnation(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(1)...)
	b.run(1, balance.Failed, time.Millisecond)
	again := local(1)
	again[0].Key = 99
	b.table.SetServers(b.now, again, 2)
	g.Expect(b.choose(write()).FailingProbability).To(BeNumerically("<", 0.2))
}

// Guards against servers that get no request for seconds although there are
// idempotent ones (the floor), in a service of lookups alone and in another.
func TestNoServerStarves(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		g := NewWithT(t)
		b := newBench(local(8)...)
		last := map[balance.ServerKey]time.Time{}
		for k := range 8 {
			last[balance.ServerKey(k+1)] = b.now
		}
		for i := range 400 {
			q := read()
			if guarded && i%2 == 0 {
				q = write()
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

// Guards against requests that must not repeat being used as probes.
func TestOnlySpareAttemptsProbe(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(3)...)
	b.now = b.now.Add(time.Minute)
	g.Expect(b.choose(write()).Probe).To(BeFalse())
	last := read()
	last.CanRetry = false
	g.Expect(b.choose(last).Probe).To(BeFalse())
	g.Expect(b.choose(read()).Probe).To(BeTrue())
}

// Guards against crossings between data centres that the request does not need,
// and against none when the data centre fails.
func TestSpill(t *testing.T) {
	g := NewWithT(t)
	servers := local(1)
	servers = append(servers,
		balance.Server{Key: 10, ID: "near", Service: registry, DataCentre: "b", Region: "r", Slots: 2},
		balance.Server{Key: 20, ID: "far", Service: registry, DataCentre: "c", Region: "s", Slots: 2})
	b := newBench(servers...)
	q := write()
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

// Guards against a path that failed lately being tried before others.
func TestUnreachable(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(2)...)
	b.table.MarkUnreachable(b.now, 1, time.Second)
	for i := range 10 {
		q := write()
		q.TieBreak = uint64(i)
		g.Expect(b.choose(q).Server.ID).To(Equal(model.ServerID("i-2")))
	}
	b.now = b.now.Add(2 * time.Second)
	g.Expect(b.choose(balance.Query{Excluded: []balance.ServerKey{2}}).Server.ID).To(Equal(model.ServerID("i-1")))
}

// Guards against hedges that add load to a full pool.
func TestHedgesNeedAFreeSlot(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(2)...)
	q := balance.Query{Service: registry, Idempotent: true, Hedge: true, Excluded: []balance.ServerKey{1}}
	c, ok := b.table.Choose(b.now, q)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Server.ID).To(Equal(model.ServerID("i-2")))
	b.begin(2)
	b.begin(2)
	_, ok = b.table.Choose(b.now, q)
	g.Expect(ok).To(BeFalse())
}

// Guards against queueing time that counts as service time: a backlog would
// then look like slow servers for as long as it lasts.
func TestServiceTimeLeavesOutQueue(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(1)...)
	var attempts []balance.AttemptKey
	for range 6 {
		attempts = append(attempts, b.begin(1))
	}
	for i, a := range attempts {
		b.table.AttemptFinished(b.now, 1, a, balance.Succeeded, time.Duration(1+max(0, i-1)/2)*100*time.Millisecond)
	}
	g.Expect(b.table.MeanServiceTime(registry)).To(BeNumerically("~", 100*time.Millisecond, 30*time.Millisecond))
}

// Guards against a pool that refuses everything for ever once its estimate of the
// service time is above the limit: without requests nothing corrects it.
func TestIdleServersAreNeverFull(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(2)...)
	for range 20 {
		b.run(1, balance.Succeeded, 3*time.Second)
		b.run(2, balance.Succeeded, 3*time.Second)
	}
	q := write()
	q.LatencyLimit = time.Second
	g.Expect(b.choose(q).QueueFull).To(BeFalse())
	for range 2 {
		b.begin(1)
		b.begin(2)
	}
	g.Expect(b.choose(q).QueueFull).To(BeTrue())
}

// Guards against queueing behind requests of other data centres that raises the
// estimate of the service time.
func TestServiceTimeLeavesOutLoadOfOthers(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(1)...)
	b.run(1, balance.Succeeded, 100*time.Millisecond)
	for range 20 {
		b.table.ApplyReport(b.now, "b", map[balance.ServerKey]balance.Load{1: {Outstanding: 6}})
		b.run(1, balance.Succeeded, 350*time.Millisecond)
	}
	g.Expect(b.table.MeanServiceTime(registry)).To(BeNumerically("~", 100*time.Millisecond, 20*time.Millisecond))
}

// Guards against waiting behind attempts that this daemon has not heard of: one
// backlog would then look like slow servers.
func TestQueuedSamplesCountLess(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(1)...)
	b.run(1, balance.Succeeded, 100*time.Millisecond)
	b.begin(1)
	b.begin(1)
	for range 10 {
		b.run(1, balance.Succeeded, 900*time.Millisecond)
	}
	g.Expect(b.table.MeanServiceTime(registry)).To(BeNumerically("<", 200*time.Millisecond))
}

// Guards against servers that seem free because their load comes from other data
// centres, and against load that is counted after it has ended.
func TestLoadOfOtherDataCentres(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(2)...)
	b.run(1, balance.Succeeded, 100*time.Millisecond)
	b.run(2, balance.Succeeded, 100*time.Millisecond)
	b.table.ApplyReport(b.now, "b", map[balance.ServerKey]balance.Load{1: {Outstanding: 2}})
	b.table.ApplyReport(b.now, "c", map[balance.ServerKey]balance.Load{1: {Outstanding: 1}})
	for i := range 10 {
		q := write()
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

// Guards against a request that is refused although a server of another data
// centre would answer in time.
func TestSpillBeforeRefusal(t *testing.T) {
	g := NewWithT(t)
	servers := append(local(1), balance.Server{Key: 10, ID: "far", Service: registry, DataCentre: "c", Region: "s", Slots: 2})
	b := newBench(servers...)
	b.run(1, balance.Succeeded, 200*time.Millisecond)
	for range 6 {
		b.begin(1)
	}
	q := write()
	q.ExpectedBytes, q.LatencyLimit = 5000, 500*time.Millisecond
	c := b.choose(q)
	g.Expect(c.Server.ID).To(Equal(model.ServerID("far")))
	g.Expect(c.QueueFull).To(BeFalse())
}

// Guards against every daemon finding out for itself that an address was reused.
func TestMisdirectedIsShared(t *testing.T) {
	g := NewWithT(t)
	b := newBench(local(2)...)
	b.run(2, balance.Failed, time.Millisecond)
	b.table.AttemptFinished(b.now, 1, balance.AttemptKey{Host: "h2", Number: 1}, balance.Misdirected, time.Millisecond)
	b.run(2, balance.Succeeded, time.Millisecond)
	b.run(2, balance.Succeeded, time.Millisecond)
	for i := range 10 {
		q := write()
		q.TieBreak = uint64(i)
		g.Expect(b.choose(q).Server.ID).To(Equal(model.ServerID("i-2")))
	}
}
