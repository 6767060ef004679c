package balance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
)

// Guards against retries beyond the budget, and against idempotent requests that
// use up the share kept for refused non-idempotent ones.
func TestBudget(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	b.now = b.now.Add(10 * time.Second) // the whole slack is available
	retry := func(idempotent bool) int {
		n := 0
		for b.table.AllowRetry(b.now, registry, idempotent) && n < 1000 {
			b.lastAttempt++
			b.table.AttemptStarted(b.now, 1, balance.AttemptKey{Host: self, Number: b.lastAttempt}, true)
			n++
		}
		return n
	}
	for range 100 {
		b.run(1, balance.Succeeded, time.Millisecond)
	}
	b.choose(nonIdempotentQuery()) // the service has non-idempotent requests
	idempotent := retry(true)
	others := retry(false)
	// Ratio 0.2 of 100 requests, and the data centre's half of the slack of 40.
	g.Expect(idempotent + others).To(And(BeNumerically(">", 30), BeNumerically("<=", 40)))
	g.Expect(others).To(BeNumerically(">=", idempotent-2))
	b.now = b.now.Add(11 * time.Second)
	g.Expect(b.table.AllowRetry(b.now, registry, true)).To(BeTrue())
}

// Guards against half of the budget being kept for non-idempotent requests in a
// service that has none.
func TestBudgetOfIdempotentService(t *testing.T) {
	g := NewWithT(t)
	spend := func(nonIdempotent bool) int {
		b := newTableDriver(local(2)...)
		b.now = b.now.Add(10 * time.Second) // the whole slack is available
		for range 100 {
			b.run(1, balance.Succeeded, time.Millisecond)
		}
		if nonIdempotent {
			b.choose(nonIdempotentQuery())
		}
		n := 0
		for ; b.table.AllowRetry(b.now, registry, true) && n < 1000; n++ {
			b.lastAttempt++
			b.table.AttemptStarted(b.now, 1, balance.AttemptKey{Host: self, Number: b.lastAttempt}, true)
		}
		return n
	}
	// Ratio 0.2 of 100 requests, and the data centre's half of the slack of 40.
	g.Expect(spend(false)).To(And(BeNumerically(">", 30), BeNumerically("<=", 40)))
	g.Expect(spend(true)).To(BeNumerically("<=", 20))
}

// Guards against a nearly exhausted budget being spent on hedges, or on requests
// that are sent to a failing server because the others are busy.
func TestScarceBudgetIsSaved(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	b.now = b.now.Add(10 * time.Second) // the whole slack is available
	b.run(1, balance.Succeeded, 150*time.Millisecond)
	b.run(2, balance.Succeeded, 150*time.Millisecond)
	for range 4 {
		b.run(2, balance.Failed, time.Millisecond)
	}
	for range 5 {
		b.begin(1)
	}
	q := idempotentQuery()
	q.TargetLatency = 500 * time.Millisecond
	g.Expect(b.choose(q).Server.ID).To(Equal(model.ServerID("i-2")))
	g.Expect(b.table.AllowHedge(b.now, registry)).To(BeTrue())
	for range 13 { // of the 20 in the budget
		b.lastAttempt++
		b.table.AttemptStarted(b.now, 2, balance.AttemptKey{Host: self, Number: b.lastAttempt}, true)
		b.table.AttemptFinished(b.now, 2, balance.AttemptKey{Host: self, Number: b.lastAttempt}, balance.Failed, 0)
	}
	g.Expect(b.choose(q).Server.ID).To(Equal(model.ServerID("i-1")))
	g.Expect(b.table.AllowHedge(b.now, registry)).To(BeFalse())
	g.Expect(b.table.AllowRetry(b.now, registry, true)).To(BeTrue())
}

// Guards against a window's budget that is spent before and again after a restart
// of all daemons.
func TestBudgetAfterRestart(t *testing.T) {
	g := NewWithT(t)
	const span, rate = 10 * time.Second, 20 // requests a second
	var retries []time.Time
	run := func(b *tableDriver, d time.Duration) {
		for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(time.Second / rate) {
			b.lastAttempt++
			b.table.AttemptStarted(b.now, 1, balance.AttemptKey{Host: self, Number: b.lastAttempt}, false)
			for b.table.AllowRetry(b.now, registry, false) {
				b.lastAttempt++
				b.table.AttemptStarted(b.now, 1, balance.AttemptKey{Host: self, Number: b.lastAttempt}, true)
				retries = append(retries, b.now)
			}
		}
	}
	before := newTableDriver(local(1)...)
	run(before, 30*time.Second)
	after := newTableDriver()
	after.now = before.now
	after.table.SetServers(after.now, local(1), 2)
	run(after, 20*time.Second)
	for i, from := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at.Before(from.Add(span)) {
				n++
			}
		}
		g.Expect(n).To(BeNumerically("<=", 0.2*rate*10+20), "from %s", from.Sub(start))
	}
	g.Expect(len(retries)).To(BeNumerically(">", 200))
}

// Guards against a counting window shorter than the budget's: the retries within
// any 10 s must be within the budget, whatever their timing.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTableDriver(local(1)...)
		var arrivals, retries []time.Time
		for range 1500 {
			b.now = b.now.Add(time.Duration(rapid.IntRange(5, 30).Draw(t, "gap")) * time.Millisecond)
			b.lastAttempt++
			arrivals = append(arrivals, b.now)
			b.table.AttemptStarted(b.now, 1, balance.AttemptKey{Host: self, Number: b.lastAttempt}, false)
			if b.table.AllowRetry(b.now, registry, false) {
				b.lastAttempt++
				retries = append(retries, b.now)
				b.table.AttemptStarted(b.now, 1, balance.AttemptKey{Host: self, Number: b.lastAttempt}, true)
			}
		}
		const span = 10 * time.Second
		within := func(list []time.Time, from time.Time) (n int) {
			for _, at := range list {
				if !at.Before(from) && at.Before(from.Add(span)) {
					n++
				}
			}
			return n
		}
		for i, from := range retries {
			if i%50 != 0 || from.Add(span).After(b.now) {
				continue
			}
			n, requests := within(retries, from), max(within(arrivals, from), within(arrivals, from.Add(-span/2)), within(arrivals, from.Add(-span)))
			if float64(n) > 0.2*float64(requests)+20 {
				t.Fatalf("%d retries for %d requests", n, requests)
			}
		}
	})
}

// Guards against the load pattern "the retry budget is used up while servers fail":
// requests that could be served by sound servers must not be lost as probes of
// suspects, whose failure cannot be retried then. Sound servers still get requests.
func TestNoProbesOfSuspectsWithoutBudget(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(6)...)
	for range 3 {
		b.run(1, balance.Failed, time.Millisecond)
		b.run(2, balance.Failed, time.Millisecond)
		for k := balance.ServerKey(3); k <= 6; k++ {
			b.run(k, balance.Succeeded, 20*time.Millisecond)
		}
	}
	for i := range 200 {
		b.table.AttemptStarted(b.now, 3, balance.AttemptKey{Host: "h9", Number: uint64(i)}, true)
		b.table.AttemptFinished(b.now, 3, balance.AttemptKey{Host: "h9", Number: uint64(i)}, balance.Abandoned, 0)
	}
	g.Expect(b.table.AllowRetry(b.now, registry, true)).To(BeFalse())
	last := map[balance.ServerKey]time.Time{}
	end := b.now.Add(2 * time.Second)
	for b.now.Before(end) {
		c := b.choose(idempotentQuery())
		if c.FailingProbability >= 0.5 {
			t.Fatalf("server %d, failing with %.2f, got a request that cannot be retried", c.Server.Key, c.FailingProbability)
		}
		b.run(c.Server.Key, balance.Succeeded, 20*time.Millisecond)
		last[c.Server.Key] = b.now
	}
	for k := balance.ServerKey(3); k <= 6; k++ {
		g.Expect(end.Sub(last[k])).To(BeNumerically("<", 1500*time.Millisecond), "sound server %d", k)
	}
}
