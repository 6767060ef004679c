package pool_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/pool"
)

// Guards against a server that sheds everything and, because its slots are free,
// gets its full share of requests and uses up the retry budget. A repeatable
// request at a stalled server then has no budget for a hedge (seed 1026 of the
// randomised test).
func TestSheddingServerIsBackedOff(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(4, 2, func(c *pool.Config) { c.RetryBurst, c.RetryBudgetShare = 10, 0.2 })
	shed, requests := 0, 200
	for i := range requests {
		ms := 10 * i
		for ds := f.pool.Submit(at(ms), repeatableRequest(fmt.Sprint("l", i), ms)); len(ds) > 0; {
			d := decisionsOf[pool.Dispatch](ds)
			if len(d) == 0 {
				break
			}
			kind := pool.Answered
			if d[0].Server == "s0" {
				shed++
				kind = pool.Shed
			}
			ds = f.pool.Finish(at(ms), pool.AttemptResult{Attempt: d[0].Attempt, Kind: kind, Latency: time.Millisecond})
		}
	}
	// Round robin would give it 50 requests. At maxShedBackoff, 200 ms, after
	// some doublings, it gets about 15.
	g.Expect(shed).To(BeNumerically(">", 0))
	g.Expect(shed).To(BeNumerically("<", 25))
	// The server is used again when it answers.
	used := false
	for i := range 200 {
		ms := 2000 + 10*i
		for _, d := range decisionsOf[pool.Dispatch](f.pool.Submit(at(ms), repeatableRequest(fmt.Sprint("m", i), ms))) {
			used = used || d.Server == "s0"
			f.pool.Finish(at(ms), pool.AttemptResult{Attempt: d.Attempt, Kind: pool.Answered, Latency: time.Millisecond})
		}
	}
	g.Expect(used).To(BeTrue())
}

// Guards against requests that are refused, or never dispatched, after every
// server has shed one.
func TestPoolUsesServerAfterShedBackoff(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1, 1, nil)
	d := decisionsOf[pool.Dispatch](f.pool.Submit(at(0), repeatableRequest("a", 0)))[0]
	f.pool.Finish(at(1), pool.AttemptResult{Attempt: d.Attempt, Kind: pool.Shed, Latency: time.Millisecond})
	g.Expect(f.pool.Submit(at(2), repeatableRequest("b", 2))).To(BeEmpty())
	wake := f.pool.NextWake(at(2))
	g.Expect(wake).To(BeTemporally("<=", at(300)))
	g.Expect(decisionsOf[pool.Dispatch](f.pool.Tick(wake))).NotTo(BeEmpty())
}
