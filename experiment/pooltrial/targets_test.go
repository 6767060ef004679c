package pooltrial_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/experiment/pooltrial"
)

// Targets from the design page, section "Limits and fairness".
const (
	answeredShareTarget = 0.95
	p99Factor           = 2
	goodputTarget       = 0.9
	recoveryTarget      = 5 * time.Second
)

// seeds are fixed so that runs can be compared.
var seeds = []uint64{1, 2}

// forEachSeed runs a trial for each seed and each distribution of service times.
func forEachSeed(t *testing.T, trial func(g *WithT, seed uint64, s pooltrial.Service)) {
	for name, s := range map[string]pooltrial.Service{"exponential": pooltrial.Exponential, "lognormal": pooltrial.Lognormal} {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				t.Parallel()
				trial(NewWithT(t), seed, s)
			})
		}
	}
}

// Guards against a workspace at 10 times its fair share that takes capacity from
// workspaces at exactly theirs. The p99 of the latter has no target here: at this
// load their queues are critically loaded with or without the flood.
func TestFloodLeavesFairShares(t *testing.T) {
	forEachSeed(t, func(g *WithT, seed uint64, s pooltrial.Service) {
		f := pooltrial.MeasureFairness(1, 0, s, 20*time.Second, seed)
		g.Expect(f.AnsweredShare).To(BeNumerically(">=", answeredShareTarget))
	})
}

// Guards against a workspace at 10 times its fair share that delays workspaces at
// 80% of theirs, with a constant flood or with bursts from credit that it
// accumulated between pulses.
func TestFloodKeepsLatencyOfOthers(t *testing.T) {
	forEachSeed(t, func(g *WithT, seed uint64, s pooltrial.Service) {
		for _, pulse := range []time.Duration{0, 10 * time.Second} {
			f := pooltrial.MeasureFairness(0.8, pulse, s, 20*time.Second, seed)
			g.Expect(f.AnsweredShare).To(BeNumerically(">=", answeredShareTarget), "pulse %s", pulse)
			g.Expect(f.P99BesideFlood).To(BeNumerically("<=", p99Factor*f.P99Alone), "pulse %s", pulse)
		}
	})
}

// Guards against slots that are wasted on requests which cannot be answered in
// time or kept for cancellations that are never confirmed, and against a backlog
// that remains after the overload.
func TestOverloadAndRecovery(t *testing.T) {
	forEachSeed(t, func(g *WithT, seed uint64, s pooltrial.Service) {
		o := pooltrial.MeasureOverload(60*time.Second, 0.8, s, false, seed)
		g.Expect(o.Goodput).To(BeNumerically(">=", goodputTarget))
		g.Expect(o.Recovery).To(BeNumerically("<=", recoveryTarget))
		o = pooltrial.MeasureOverload(20*time.Second, 0.8, s, true, seed)
		g.Expect(o.Goodput).To(BeNumerically(">=", goodputTarget), "cancellations not confirmed")
		g.Expect(o.Recovery).To(BeNumerically("<=", recoveryTarget), "cancellations not confirmed")
	})
}

// Guards against retries and hedges beyond the budget when servers fail.
func TestRetriesStayWithinBudget(t *testing.T) {
	for _, seed := range seeds {
		for _, failures := range []float64{0.02, 0.3, 1} {
			g := NewWithT(t)
			r := pooltrial.MeasureRetries(failures, 0.7, 20*time.Second, seed)
			// The retry budget is full before the first request.
			burst := pool.DefaultRetryBurst / float64(r.Requests)
			g.Expect(r.Added).To(BeNumerically("<=", pool.DefaultRetryBudgetShare+burst), "seed %d, %g failures", seed, failures)
		}
	}
}

// Guards against the loss of the benefit of a pool owner: requests must wait less
// in its single queue than with entries that dispatch independently.
func TestOwnerWaitsLessThanEntries(t *testing.T) {
	forEachSeed(t, func(g *WithT, seed uint64, s pooltrial.Service) {
		owner := pooltrial.OwnerWaits(s, 0.8, 20*time.Second, seed)
		entries := pooltrial.EntryWaits(pooltrial.LeastOutstanding, s, 0.8, 20*time.Second, seed)
		g.Expect(owner.Percentile(0.99)).To(BeNumerically("<", entries.Percentile(0.99)))
	})
}
