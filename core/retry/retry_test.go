package retry_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/retry"
)

// Guards against retries beyond the share of the traffic plus the burst.
func TestBudgetBoundsRetries(t *testing.T) {
	for _, c := range []struct {
		share    float64
		burst    int
		requests int
	}{{0.1, 10, 1000}, {0.2, 1, 500}, {-1, 5, 100}, {0.1, 0, 100}} {
		g := NewWithT(t)
		b := retry.NewBudget(c.share, c.burst)
		retries := 0
		for range c.requests {
			b.Deposit()
			for b.Withdraw() {
				retries++
			}
		}
		g.Expect(float64(retries)).To(BeNumerically("<=", float64(c.burst)+max(0, c.share)*float64(c.requests)))
		if c.burst > 0 {
			g.Expect(float64(retries)).To(BeNumerically(">=", max(0, c.share)*float64(c.requests)*0.99))
		}
	}
}

// Guards against a hedge delay that differs from the percentile of its samples or
// does not follow a change of latency.
func TestHedgeDelayFollowsPercentile(t *testing.T) {
	const seed = 1
	t.Logf("seed %d", seed)
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(seed, 0))
	h := retry.NewHedgeDelay(0.95, time.Second)
	g.Expect(h.Delay()).To(Equal(time.Second))
	for _, mean := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
		var samples []time.Duration
		for range 2000 {
			d := time.Duration(random.ExpFloat64() * float64(mean))
			samples = append(samples, d)
			h.Observe(d)
		}
		slices.Sort(samples)
		exact := samples[len(samples)*95/100]
		// One bucket and the sampling error of the last 500 to 1,000 samples.
		g.Expect(float64(h.Delay())).To(BeNumerically("~", float64(exact), 0.25*float64(exact)))
	}
}

// Guards against a refill by time in addition to the tokens from real traffic,
// which would let retries exceed their share, and against a budget that does not
// refill without traffic.
func TestBudgetRefillByTime(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	earned := func(requestsPerSecond int) float64 {
		b := retry.NewBudget(0.1, 1000)
		for b.Withdraw() {
		}
		for ms := range 10_000 {
			if requestsPerSecond > 0 && ms%(1000/requestsPerSecond) == 0 {
				b.Deposit()
			}
			b.Refill(start.Add(time.Duration(ms)*time.Millisecond), 20)
		}
		n := 0.0
		for b.Withdraw() {
			n++
		}
		return n
	}
	g.Expect(earned(0)).To(BeNumerically("~", 20, 1), "10 s of the least traffic")
	g.Expect(earned(10)).To(BeNumerically("~", 20, 1), "less than the least traffic")
	g.Expect(earned(100)).To(BeNumerically("~", 100, 1), "real traffic only")
}
