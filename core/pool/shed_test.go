package pool_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/pool"
)

// Guards against a server that sheds everything and, because its slots look
// free, gets its turn of all requests and uses up the retry budget. A lookup at a
// stalled server then found no budget for a hedge (randomised test, seed 1026).
func TestSheddingServerIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(4, 2, func(c *pool.Config) { c.RetryBurst, c.RetryBudgetShare = 10, 0.2 })
	shed, lookups := 0, 200
	for i := range lookups {
		ms := 10 * i
		for ds := f.pool.Submit(at(ms), lookup(fmt.Sprint("l", i), ms)); len(ds) > 0; {
			d := pick[pool.Dispatch](ds)
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
	// In turn it would get 50; 200 ms apart, after some doublings, about 15.
	g.Expect(shed).To(BeNumerically(">", 0))
	g.Expect(shed).To(BeNumerically("<", 25))
	// It is used again once it answers.
	used := false
	for i := range 200 {
		ms := 2000 + 10*i
		for _, d := range pick[pool.Dispatch](f.pool.Submit(at(ms), lookup(fmt.Sprint("m", i), ms))) {
			used = used || d.Server == "s0"
			f.pool.Finish(at(ms), pool.AttemptResult{Attempt: d.Attempt, Kind: pool.Answered, Latency: time.Millisecond})
		}
	}
	g.Expect(used).To(BeTrue())
}

// Guards against requests that wait for ever, or are refused, when every server
// has shed one.
func TestPoolWaitsOutSheds(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(1, 1, nil)
	d := pick[pool.Dispatch](f.pool.Submit(at(0), lookup("a", 0)))[0]
	f.pool.Finish(at(1), pool.AttemptResult{Attempt: d.Attempt, Kind: pool.Shed, Latency: time.Millisecond})
	g.Expect(f.pool.Submit(at(2), lookup("b", 2))).To(BeEmpty())
	wake := f.pool.NextWake(at(2))
	g.Expect(wake).To(BeTemporally("<=", at(300)))
	g.Expect(pick[pool.Dispatch](f.pool.Tick(wake))).NotTo(BeEmpty())
}
