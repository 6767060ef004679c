package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/admission"
	"github.com/agateusher/agateusher/core/balance"
)

var began = time.Unix(1000, 0)

// full is the state of a service with budget and free slots.
var full = admission.State{Capacity: balance.Capacity{BudgetRate: 10, IdempotentBudgetRate: 10, BudgetLeft: 100, NonIdempotentBudgetLeft: 100, Slots: 60, FreeSlots: 40}, ServiceTime: 100 * time.Millisecond}

// rejecting returns a controller of which the given number of 10 servers rejected each
// of 10 attempts just before began.
func rejecting(servers int) *admission.Controller {
	c := &admission.Controller{}
	for i := range 100 {
		at := began.Add(time.Duration(i-100) * time.Millisecond)
		c.Started(at, true, false)
		c.Ended(at, balance.ServerKey(i%10), i%10 < servers)
	}
	c.SampleServiceTime(full.ServiceTime)
	return c
}

func request(priority int, workspace string) admission.Request {
	return admission.Request{Priority: priority, Workspace: workspace, Idempotent: true, Target: began.Add(2 * time.Second), Deadline: began.Add(5 * time.Second)}
}

// sentAfter returns the requests that are sent within a time.
func sentAfter(c *admission.Controller, s admission.State, span time.Duration) (sent, refused []admission.Request) {
	for at := began; at.Before(began.Add(span)); at = at.Add(50 * time.Millisecond) {
		for _, r := range c.Release(at, s) {
			if r.Refuse {
				refused = append(refused, r.Request)
			} else {
				sent = append(sent, r.Request)
			}
		}
	}
	return sent, refused
}

// Guards against requests that are held although other servers would accept them, and
// against a shedding that is not seen where each server had one attempt.
func TestSheddingServers(t *testing.T) {
	g := NewWithT(t)
	g.Expect(rejecting(3).Hold(began, request(0, ""), full)).To(BeNil())
	g.Expect(rejecting(7).Hold(began, request(0, ""), full)).NotTo(BeNil())
	var sparse admission.Controller
	for i := range 200 {
		sparse.Ended(began, balance.ServerKey(i), i%5 < 2)
	}
	g.Expect(sparse.Hold(began, request(0, ""), full)).NotTo(BeNil())
}

// Guards against a burst of repeats at the start of a shedding: 60 rejected requests
// share a budget of 10 repeats per second.
func TestRepeatsAreSpreadOverTheShedding(t *testing.T) {
	g := NewWithT(t)
	c := rejecting(7)
	for range 60 {
		c.Hold(began, request(0, ""), full)
	}
	sent, _ := sentAfter(c, full, time.Second)
	g.Expect(len(sent)).To(And(BeNumerically(">=", 6), BeNumerically("<=", 12)))

	// Idempotent requests use half of the budget, and do not slow the others down.
	half, others := full, 0
	half.BudgetRate = 20
	c = rejecting(7)
	for i := range 60 {
		r := request(0, "")
		r.Idempotent = i%2 == 0
		c.Hold(began, r, half)
	}
	sent, _ = sentAfter(c, half, time.Second)
	for _, r := range sent {
		if !r.Idempotent {
			others++
		}
	}
	g.Expect(others).To(BeNumerically(">=", 7))
}

// Guards against requests that wait until their deadline although the budget cannot
// cover them: 60 are held, of which at most 10 can be sent.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := rejecting(7)
	for i := range 60 {
		c.Hold(began, request(i%2, ""), full)
	}
	poor := full
	poor.BudgetRate, poor.IdempotentBudgetRate, poor.BudgetLeft, poor.NonIdempotentBudgetLeft = 1, 1, 5, 5
	_, refused := sentAfter(c, poor, 50*time.Millisecond)
	g.Expect(len(refused)).To(BeNumerically(">=", 48))
	urgent := 0
	for _, r := range refused {
		urgent += 1 - r.Priority
	}
	g.Expect(urgent).To(BeNumerically("<", len(refused)/2))
}

// Guards against less urgent requests that are sent first or starve, and against a
// workspace that delays another with eight times its requests.
func TestOrderOfRelease(t *testing.T) {
	g := NewWithT(t)
	c := rejecting(7)
	for i := range 60 {
		c.Hold(began, request(i%2, ""), full)
	}
	sent, _ := sentAfter(c, full, 1500*time.Millisecond)
	counts := [2]int{}
	for _, r := range sent {
		counts[r.Priority]++
	}
	g.Expect(counts[0]).To(BeNumerically(">", counts[1]))
	g.Expect(4 * counts[1]).To(BeNumerically(">=", counts[0]))

	c, small := rejecting(7), 0
	for i := range 45 {
		c.Hold(began, request(0, map[bool]string{true: "large", false: "small"}[i < 40]), full)
	}
	sent, _ = sentAfter(c, full, 1300*time.Millisecond)
	for _, r := range sent {
		if r.Workspace == "small" {
			small++
		}
	}
	g.Expect(small).To(BeNumerically(">=", 4))
}

// Guards against refused callers that return together, or in another order.
func TestRetryAfterIsSpreadInOrder(t *testing.T) {
	g := NewWithT(t)
	c := rejecting(10)
	last := time.Duration(0)
	for range 100 {
		d := c.RetryAfter(began, full, 300*time.Millisecond, 3*time.Second)
		g.Expect(d).To(And(BeNumerically(">", last), BeNumerically("<=", 3*time.Second)))
		last = d
	}
}
