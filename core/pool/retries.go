package pool

import (
	"slices"
	"time"
)

const (
	// maxLive bounds the attempts of one request that run at a time at servers
	// in service. Those at servers that were ejected meanwhile do not count: the
	// request would otherwise wait for them until its deadline.
	maxLive = 3
	// patientHedges is how often a hedge leaves the free slots to the queue
	// before it claims the next one: a request that is still unanswered then is
	// more likely stalled than slow.
	patientHedges = 2
	// freeRepeats bounds how often a request is repeated outside of the budget
	// because it could not be sent.
	freeRepeats = 3
	// idleLoad is the part of a pool's capacity that counts as its traffic for
	// the retry budget when there is less. It is far from overload, where
	// retries do harm.
	idleLoad = 0.2
)

// leastTraffic returns the requests a second that the retry budget counts at
// least.
func (p *Pool) leastTraffic() float64 {
	slots := 0
	for _, s := range p.servers {
		if s.inService() {
			slots += s.slots
		}
	}
	return idleLoad * float64(slots) / p.meanService.Seconds()
}

// budgetWake returns when a parked request can be retried at the latest; zero:
// none is parked.
func (p *Pool) budgetWake(now time.Time) time.Time {
	if len(p.parked) == 0 {
		return time.Time{}
	}
	wait, ok := p.budget.MaxWait(p.leastTraffic())
	if !ok {
		return time.Time{}
	}
	return now.Add(max(wait, time.Millisecond))
}

// afterFailure decides what follows when an attempt brought no answer.
//
// An attempt that could not be sent is repeated outside of the budget, at most
// freeRepeats times and each server once: it cost no server anything. All other
// attempts, including those that a server shed, count against the budget: a
// pool that sheds is overloaded, and free retries would multiply its load.
func (p *Pool) afterFailure(now time.Time, r *request, kind ResultKind) {
	switch {
	case len(r.live) > 0 || r.urgent:
		return
	case !now.Before(r.Deadline):
		p.fail(now, r, r.reason)
	case kind == FailedBeforeSend && r.unrun <= freeRepeats && p.untried(r):
		p.makeUrgent(r)
	case !r.Repeatable:
		p.retryUnrun(now, r)
	case p.budget.Withdraw():
		p.makeUrgent(r)
	default:
		p.park(now, r)
	}
}

// retryUnrun repeats a request that may not run twice if it did not run, the
// budget allows it and there is a server that it has not tried.
func (p *Pool) retryUnrun(now time.Time, r *request) {
	if r.mayHaveRun() || !p.untried(r) || !p.budget.Withdraw() {
		p.fail(now, r, r.reason)
		return
	}
	p.makeUrgent(r)
}

// retryInstead reports whether a whole answer with a server error is dropped in
// favour of another attempt: one that is under way, or a retry.
func (p *Pool) retryInstead(now time.Time, r *request) bool {
	if !r.Repeatable || !now.Before(r.Deadline) {
		return false
	}
	return len(r.live) > 0 || (p.untried(r) && p.budget.Available())
}

func (p *Pool) makeUrgent(r *request) {
	if !r.urgent {
		r.urgent = true
		p.urgent = append(p.urgent, r)
	}
}

// park lets a repeatable request wait for the budget until its deadline.
func (p *Pool) park(now time.Time, r *request) {
	p.parked = slices.DeleteFunc(p.parked, func(o *request) bool { return !o.parked })
	if len(p.parked) >= p.cfg.QueueLimit {
		p.fail(now, r, r.reason)
		return
	}
	r.parked = true
	p.parked = append(p.parked, r)
}

// unpark makes parked requests urgent as the budget allows. The newest goes
// first: if the budget stays short, the oldest would be retried just before
// their deadlines, too late to be answered.
func (p *Pool) unpark(now time.Time) {
	p.budget.Refill(now, p.leastTraffic())
	for len(p.parked) > 0 {
		last := len(p.parked) - 1
		r := p.parked[last]
		if r.parked && !p.budget.Withdraw() {
			return
		}
		p.parked[last] = nil
		p.parked = p.parked[:last]
		if r.parked {
			r.parked = false
			p.makeUrgent(r)
		}
	}
}

// fillUrgent dispatches the urgent requests that find a server.
func (p *Pool) fillUrgent(now time.Time) {
	if len(p.urgent) == 0 {
		return
	}
	keep := p.urgent[:0]
	for _, r := range p.urgent {
		if !r.urgent {
			continue
		}
		s := p.choose(now, r, p.freeSlots(now).serving[r.class()])
		if s == nil {
			keep = append(keep, r)
			continue
		}
		r.urgent = false
		p.startAgain(now, r, s)
	}
	clear(p.urgent[len(keep):])
	p.urgent = keep
}

// startAgain dispatches a request that does not come from the queue.
func (p *Pool) startAgain(now time.Time, r *request, s *server) {
	p.queue.Start(r.Workspace, r.Weight, p.meanService)
	p.dispatch(now, r, s, len(r.live) > 0)
}

// planHedge sets when the request is hedged after a dispatch.
func (p *Pool) planHedge(now time.Time, r *request) {
	r.hedgeAt = time.Time{}
	if r.Repeatable && p.cfg.HedgePercentile > 0 {
		r.hedgeAt = now.Add(p.hedgeDelay.Delay())
	}
	p.setWake(r)
}

// promising counts the live attempts at servers in service.
func (r *request) promising() int {
	n := 0
	for _, a := range r.live {
		if a.server.inService() {
			n++
		}
	}
	return n
}

func (p *Pool) setWake(r *request) {
	r.wake = earlier(r.hedgeAt, r.Deadline)
	p.wakes.Set(r)
}

// hedge starts another attempt beside the live ones, if the budget and the free
// slots allow it, or plans the next try.
func (p *Pool) hedge(now time.Time, r *request) {
	r.hedgeAt = time.Time{}
	defer p.setWake(r)
	if len(r.live) == 0 || r.urgent {
		return
	}
	again := now.Add(p.hedgeDelay.Delay())
	if r.promising() >= maxLive {
		r.hedgeAt = again
		return
	}
	r.hedgeWaits++
	if !p.budget.Available() {
		r.hedgeAt = again
		return
	}
	if r.hedgeWaits > patientHedges {
		p.budget.Withdraw()
		p.makeUrgent(r)
		return
	}
	r.hedgeAt = again
	if p.queue.Len() > 0 {
		return
	}
	if s := p.choose(now, r, p.freeSlots(now).serving[r.class()]); s != nil {
		p.budget.Withdraw()
		p.startAgain(now, r, s)
	}
}

// rescue hedges the repeatable requests that run at an ejected server now
// rather than after the hedge delay.
func (p *Pool) rescue(now time.Time, s *server) {
	for _, a := range s.live {
		r := a.request
		if r.Repeatable && r.promising() < maxLive && !r.urgent && p.budget.Withdraw() {
			p.makeUrgent(r)
		}
	}
}
