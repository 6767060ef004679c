package pool

import (
	"slices"
	"time"
)

const (
	// maxLive is the largest number of concurrent attempts of one request at
	// servers in service. Attempts at servers that were ejected meanwhile do not
	// count: the request would otherwise wait for them until its deadline.
	maxLive = 3
	// yieldingHedgeTries is the number of tries to hedge a request that start a
	// hedge only if the queue is empty. Any later hedge goes before the queue: a
	// request that is still unanswered then is more likely stalled than slow.
	yieldingHedgeTries = 2
	// maxUnbudgetedRetries is the largest number of retries, not counted against
	// the retry budget, of a request that could not be sent.
	maxUnbudgetedRetries = 3
	// minTrafficShare is the least traffic that the retry budget assumes, as a
	// share of the pool's capacity. It is far from overload, where retries do
	// harm.
	minTrafficShare = 0.2
)

// minTraffic returns the least traffic that the retry budget assumes, in requests
// a second.
func (p *Pool) minTraffic() float64 {
	slots := 0
	for _, s := range p.servers {
		if s.inService() {
			slots += s.slots
		}
	}
	return minTrafficShare * float64(slots) / p.meanServiceTime.Seconds()
}

// budgetWake returns the time by which the retry budget allows the retry of a
// request that waits for it; zero: none waits, or only further requests refill the
// budget.
func (p *Pool) budgetWake(now time.Time) time.Time {
	if len(p.awaitingBudget) == 0 {
		return time.Time{}
	}
	wait, ok := p.retryBudget.MaxWait(p.minTraffic())
	if !ok {
		return time.Time{}
	}
	return now.Add(max(wait, time.Millisecond))
}

// afterFailure decides whether a request is retried or fails after an attempt
// without a usable answer.
//
// A request that could not be sent is retried outside of the retry budget, at
// most maxUnbudgetedRetries times and once for each server, because it put no
// load on a server. All other retries, including those of shed requests, count
// against the budget: a pool that sheds is overloaded, and unlimited retries
// would multiply its load.
func (p *Pool) afterFailure(now time.Time, r *request, kind ResultKind) {
	switch {
	case len(r.live) > 0 || r.urgent:
		return
	case !now.Before(r.Deadline):
		p.fail(now, r, r.lastFailure)
	case kind == FailedBeforeSend && r.notRun <= maxUnbudgetedRetries && p.hasUntriedServer(r):
		p.makeUrgent(r)
	case !r.Repeatable:
		p.retryNotRun(now, r)
	case p.retryBudget.Withdraw():
		p.makeUrgent(r)
	default:
		p.awaitBudget(now, r)
	}
}

// retryNotRun retries a request that is not repeatable if it certainly did not
// run, the retry budget allows it and there is a server that it has not tried.
// Otherwise the request fails.
func (p *Pool) retryNotRun(now time.Time, r *request) {
	if r.mayHaveRun() || !p.hasUntriedServer(r) || !p.retryBudget.Withdraw() {
		p.fail(now, r, r.lastFailure)
		return
	}
	p.makeUrgent(r)
}

// prefersRetry reports whether a complete answer with a server error is discarded
// in favour of another attempt: a live one, or a retry.
func (p *Pool) prefersRetry(now time.Time, r *request) bool {
	if !r.Repeatable || !now.Before(r.Deadline) {
		return false
	}
	return len(r.live) > 0 || (p.hasUntriedServer(r) && p.retryBudget.Available())
}

func (p *Pool) makeUrgent(r *request) {
	if !r.urgent {
		r.urgent = true
		p.urgent = append(p.urgent, r)
	}
}

// awaitBudget lets a repeatable request wait for the retry budget until its
// deadline. It fails if QueueLimit requests wait already.
func (p *Pool) awaitBudget(now time.Time, r *request) {
	p.awaitingBudget = slices.DeleteFunc(p.awaitingBudget, func(o *request) bool { return !o.awaitingBudget })
	if len(p.awaitingBudget) >= p.cfg.QueueLimit {
		p.fail(now, r, r.lastFailure)
		return
	}
	r.awaitingBudget = true
	p.awaitingBudget = append(p.awaitingBudget, r)
}

// retryAwaitingBudget makes requests that wait for the retry budget urgent, as
// far as the budget allows. The newest goes first: if the budget stays short, the
// oldest would be retried just before their deadlines, too late to be answered.
func (p *Pool) retryAwaitingBudget(now time.Time) {
	p.retryBudget.Refill(now, p.minTraffic())
	for len(p.awaitingBudget) > 0 {
		last := len(p.awaitingBudget) - 1
		r := p.awaitingBudget[last]
		if r.awaitingBudget && !p.retryBudget.Withdraw() {
			return
		}
		p.awaitingBudget[last] = nil
		p.awaitingBudget = p.awaitingBudget[:last]
		if r.awaitingBudget {
			r.awaitingBudget = false
			p.makeUrgent(r)
		}
	}
}

// dispatchUrgent dispatches the urgent requests for which there is a server.
func (p *Pool) dispatchUrgent(now time.Time) {
	if len(p.urgent) == 0 {
		return
	}
	keep := p.urgent[:0]
	for _, r := range p.urgent {
		if !r.urgent {
			continue
		}
		s := p.chooseServer(now, r, p.freeSlots(now).servingClasses[r.class()])
		if s == nil {
			keep = append(keep, r)
			continue
		}
		r.urgent = false
		p.redispatch(now, r, s)
	}
	clear(p.urgent[len(keep):])
	p.urgent = keep
}

// redispatch dispatches a request that does not come from the queue: a retry or,
// if it has live attempts, a hedge.
func (p *Pool) redispatch(now time.Time, r *request, s *server) {
	p.queue.Start(r.Workspace, r.Weight, p.meanServiceTime)
	p.dispatch(now, r, s, len(r.live) > 0)
}

// scheduleHedge sets when a request that was just dispatched is hedged.
func (p *Pool) scheduleHedge(now time.Time, r *request) {
	r.hedgeAt = time.Time{}
	if r.Repeatable && p.cfg.HedgePercentile > 0 {
		r.hedgeAt = now.Add(p.hedgeDelay.Delay())
	}
	p.updateWake(r)
}

// liveInService returns the number of live attempts at servers in service.
func (r *request) liveInService() int {
	n := 0
	for _, a := range r.live {
		if a.server.inService() {
			n++
		}
	}
	return n
}

func (p *Pool) updateWake(r *request) {
	r.wake = earlier(r.hedgeAt, r.Deadline)
	p.wakeHeap.Set(r)
}

// hedge starts another attempt beside the live ones if the retry budget and the
// free slots allow it, or schedules the next try.
func (p *Pool) hedge(now time.Time, r *request) {
	r.hedgeAt = time.Time{}
	defer p.updateWake(r)
	if len(r.live) == 0 || r.urgent {
		return
	}
	nextTry := now.Add(p.hedgeDelay.Delay())
	if r.liveInService() >= maxLive {
		r.hedgeAt = nextTry
		return
	}
	r.hedgeTries++
	if !p.retryBudget.Available() {
		r.hedgeAt = nextTry
		return
	}
	if r.hedgeTries > yieldingHedgeTries {
		p.retryBudget.Withdraw()
		p.makeUrgent(r)
		return
	}
	r.hedgeAt = nextTry
	if p.queue.Len() > 0 {
		return
	}
	if s := p.chooseServer(now, r, p.freeSlots(now).servingClasses[r.class()]); s != nil {
		p.retryBudget.Withdraw()
		p.redispatch(now, r, s)
	}
}

// hedgeLiveRequests makes the repeatable requests that run at an ejected server
// urgent, so that they are hedged before the hedge delay has passed.
func (p *Pool) hedgeLiveRequests(now time.Time, s *server) {
	for _, a := range s.live {
		r := a.request
		if r.Repeatable && r.liveInService() < maxLive && !r.urgent && p.retryBudget.Withdraw() {
			p.makeUrgent(r)
		}
	}
}
