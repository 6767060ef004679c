package pool

import (
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/fairqueue"
	"github.com/agateusher/agateusher/core/internal/indexheap"
	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/retry"
)

// detectorPoll is the shortest wake for the detector's sake, so that a suspect
// that the floor keeps does not make the driver spin.
const detectorPoll = 10 * time.Millisecond

// initialDelays times the assumed service time is the hedge delay until there
// are samples: about the 95th percentile of exponential service times.
const initialDelays = 3

// Pool is the state machine of one pool. Create it with New.
type Pool struct {
	cfg      Config
	detector detector.Detector
	// servers in configuration order, removed ones until they are idle.
	servers []*server
	// slots is the sum over the configured servers.
	slots    int
	byID     map[model.ServerID]*server
	requests map[model.RequestID]*request
	attempts map[model.AttemptID]*attempt
	queue    *fairqueue.Queue[*request]
	// urgent lists requests that were queued before and get the next free slot:
	// retries and hedges that the budget paid for, and requests that a server
	// did not run. parked lists those that wait for the budget. A request that
	// got its final decision stays until the list is next read.
	urgent, parked []*request
	budget         *retry.Budget
	hedgeDelay     *retry.HedgeDelay
	// used counts the occupied slots of each class; seen is when its latest
	// request arrived.
	used [fairqueue.NumClasses]int
	seen [fairqueue.NumClasses]time.Time
	// wakes orders requests by their next wake, holds the held attempts by the
	// end of their hold.
	wakes *indexheap.Heap[*request]
	holds *indexheap.Heap[*attempt]
	// lastAttempt is the latest attempt number given out.
	lastAttempt model.AttemptID
	// cursor breaks ties between equally loaded servers in turn.
	cursor int
	// meanService is a moving mean of the slot time of an attempt.
	meanService time.Duration
	out         []Decision
}

// New returns a pool whose servers are taken to be warm: a new owner does not
// know that they are cold, and a ramp after each change of owner would cost
// capacity.
func New(cfg Config, now time.Time) *Pool {
	p := &Pool{
		detector: cfg.Detector,
		byID:     make(map[model.ServerID]*server),
		requests: make(map[model.RequestID]*request),
		attempts: make(map[model.AttemptID]*attempt),
		wakes:    newWakeHeap(),
		holds:    newHoldHeap(),
	}
	cfg = cfg.withDefaults()
	p.queue = fairqueue.New[*request](fairqueue.Limits{})
	p.budget = retry.NewBudget(cfg.RetryBudgetShare, cfg.RetryBurst)
	p.hedgeDelay = retry.NewHedgeDelay(cfg.latencyPercentile(), initialDelays*cfg.ServiceTime)
	p.meanService = cfg.ServiceTime
	p.configure(now, cfg, false)
	p.out = nil
	return p
}

// Configure applies a changed configuration. Servers that are new, or that
// operators return to service, start with a ramp.
func (p *Pool) Configure(now time.Time, cfg Config) []Decision {
	p.configure(now, cfg, true)
	return p.finish(now)
}

// Submit accepts a request. It is dispatched, queued or refused.
func (p *Pool) Submit(now time.Time, r Request) []Decision {
	if _, known := p.requests[r.ID]; known {
		return nil
	}
	if reason, wait, ok := p.admit(now, r); !ok {
		p.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: wait})
		return p.finish(now)
	}
	req := &request{Request: r, heapPos: indexheap.Absent, wake: r.Deadline}
	req.entry.Value = req
	req.live, req.tried = req.liveSpace[:0], req.triedSpace[:0]
	p.requests[r.ID] = req
	p.wakes.Set(req)
	p.enqueue(now, req)
	return p.finish(now)
}

// Finish reports the end of an attempt. Unknown attempts are ignored.
func (p *Pool) Finish(now time.Time, res AttemptResult) []Decision {
	a, known := p.attempts[res.Attempt]
	if !known {
		return nil
	}
	if res.Latency <= 0 {
		res.Latency = now.Sub(a.started)
	}
	if a.ended {
		p.finishEnded(now, a, res.Kind)
	} else {
		p.finishLive(now, a, res)
	}
	return p.finish(now)
}

// Cancel says that the caller went away. Unknown requests are ignored.
func (p *Pool) Cancel(now time.Time, id model.RequestID) []Decision {
	if r, known := p.requests[id]; known {
		p.fail(now, r, model.ReasonCancelled)
	}
	return p.finish(now)
}

// CancelConfirmed says that the server no longer runs an abandoned attempt.
// Attempts that are unknown or not abandoned are ignored.
func (p *Pool) CancelConfirmed(now time.Time, id model.AttemptID) []Decision {
	if a, known := p.attempts[id]; known && a.ended {
		p.release(now, a)
	}
	return p.finish(now)
}

// Tick handles everything that is due.
func (p *Pool) Tick(now time.Time) []Decision { return p.finish(now) }

// NextWake returns when Tick is needed next if nothing else happens; zero if
// nothing is pending.
func (p *Pool) NextWake(now time.Time) time.Time {
	wake := p.detector.NextWake(now)
	if !wake.IsZero() && !wake.After(now) {
		wake = now.Add(detectorPoll)
	}
	if r, ok := p.wakes.Min(); ok {
		wake = earlier(wake, r.wake)
	}
	if a, ok := p.holds.Min(); ok {
		wake = earlier(wake, a.heldUntil)
	}
	for _, s := range p.servers {
		wake = earlier(wake, p.serverWake(now, s))
	}
	return earlier(earlier(wake, p.reserveWake(now)), p.budgetWake(now))
}

// earlier returns the earlier of two times, of which zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// finish handles what is due, assigns free slots and returns the decisions.
func (p *Pool) finish(now time.Time) []Decision {
	p.expireHolds(now)
	p.wakeRequests(now)
	p.assess(now)
	p.fill(now)
	p.unpark(now)
	p.fillUrgent(now)
	out := p.out
	p.out = nil
	return out
}

func (p *Pool) emit(d Decision) { p.out = append(p.out, d) }

func (p *Pool) expireHolds(now time.Time) {
	for {
		a, ok := p.holds.Min()
		if !ok || a.heldUntil.After(now) {
			return
		}
		p.release(now, a)
	}
}

func (p *Pool) wakeRequests(now time.Time) {
	for {
		r, ok := p.wakes.Min()
		if !ok || r.wake.After(now) {
			return
		}
		if now.Before(r.Deadline) {
			p.hedge(now, r)
		} else {
			p.expire(now, r)
		}
	}
}

// expire ends a request whose deadline has passed.
func (p *Pool) expire(now time.Time, r *request) {
	switch {
	case len(r.live) > 0:
		p.fail(now, r, model.ReasonTimeout)
	case r.reason != model.ReasonNone:
		p.fail(now, r, r.reason)
	default:
		p.fail(now, r, model.ReasonDeadline)
	}
}

// fail gives the request its final decision, with the outcome that its attempts
// allow, and abandons what is still running.
func (p *Pool) fail(now time.Time, r *request, reason model.Reason) {
	outcome := model.NotRun
	if r.mayHaveRun() {
		outcome = model.Unknown
	}
	p.failAs(now, r, outcome, reason)
}

// checkOutcome asserts that "not run" is true.
func checkOutcome(r *request, outcome model.Outcome) {
	invariant.Check(outcome != model.NotRun || (r.dispatched == r.unrun && len(r.live) == 0),
		invariant.TruthfulNotRun, "request %s: %d of %d attempts may have run, %d are live",
		r.ID, r.dispatched-r.unrun, r.dispatched, len(r.live))
}

func (p *Pool) failAs(now time.Time, r *request, outcome model.Outcome, reason model.Reason) {
	checkOutcome(r, outcome)
	p.abandonAll(now, r, reason == model.ReasonTimeout)
	p.forget(r)
	p.emit(Fail{Request: r.ID, Outcome: outcome, Reason: reason})
}

// forget removes a request that has its final decision.
func (p *Pool) forget(r *request) {
	p.wakes.Remove(r)
	delete(p.requests, r.ID)
	p.queue.Remove(&r.entry)
	r.urgent, r.parked = false, false
}
