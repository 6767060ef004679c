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

// detectorPollInterval is the delay of the next wake if the detector asks to be
// polled at once, so that a suspect that the floor keeps in service does not make
// the driver spin.
const detectorPollInterval = 10 * time.Millisecond

// initialHedgeServiceTimes is the hedge delay without samples, in service times:
// about the 95th percentile of exponential service times.
const initialHedgeServiceTimes = 3

// Pool is the state machine of one pool. Create it with New.
type Pool struct {
	cfg      Config
	detector detector.Detector
	// servers are the configured servers, and removed ones until they are idle,
	// in the order in which they were first configured.
	servers []*server
	// slots is the sum of the slots of the configured servers.
	slots    int
	byID     map[model.ServerID]*server
	requests map[model.RequestID]*request
	attempts map[model.AttemptID]*attempt
	queue    *fairqueue.Queue[*request]
	// urgent lists requests that go before the queue because they were queued
	// already: retries and hedges that are charged to the retry budget, and
	// requests that a server did not run. awaitingBudget lists requests that wait
	// for the retry budget. A request with a final decision stays in its list until
	// the list is next read.
	urgent, awaitingBudget []*request
	retryBudget            *retry.Budget
	hedgeDelay             *retry.HedgeDelay
	// usedSlots counts the occupied slots of each class; lastArrival is when its
	// latest request arrived.
	usedSlots   [fairqueue.NumClasses]int
	lastArrival [fairqueue.NumClasses]time.Time
	// wakeHeap orders requests by their next wake. holdHeap orders abandoned
	// attempts by the time when their slot is freed.
	wakeHeap *indexheap.Heap[*request]
	holdHeap *indexheap.Heap[*attempt]
	// lastAttemptID is the ID of the latest attempt.
	lastAttemptID model.AttemptID
	// cursor is the index in servers at which the next round-robin choice starts.
	cursor int
	// meanServiceTime is a moving mean of the slot time of an attempt.
	meanServiceTime time.Duration
	decisions       []Decision
}

// New returns a pool whose servers start without a ramp: a new owner does not
// know whether they are cold, and a ramp after each change of owner would cost
// capacity.
func New(cfg Config, now time.Time) *Pool {
	p := &Pool{
		detector: cfg.Detector,
		byID:     make(map[model.ServerID]*server),
		requests: make(map[model.RequestID]*request),
		attempts: make(map[model.AttemptID]*attempt),
		wakeHeap: newWakeHeap(),
		holdHeap: newHoldHeap(),
	}
	cfg = cfg.withDefaults()
	p.queue = fairqueue.New[*request](fairqueue.Limits{})
	p.retryBudget = retry.NewBudget(cfg.RetryBudgetShare, cfg.RetryBurst)
	p.hedgeDelay = retry.NewHedgeDelay(cfg.latencyPercentile(), initialHedgeServiceTimes*cfg.ServiceTime)
	p.meanServiceTime = cfg.ServiceTime
	p.configure(now, cfg, false)
	p.decisions = nil
	return p
}

// Configure applies a changed configuration. Servers that are new, or that
// operators return to service, start with a ramp.
func (p *Pool) Configure(now time.Time, cfg Config) []Decision {
	p.configure(now, cfg, true)
	return p.step(now)
}

// Submit dispatches, queues or refuses a request. An ID that is still in the pool
// is ignored.
func (p *Pool) Submit(now time.Time, r Request) []Decision {
	if _, known := p.requests[r.ID]; known {
		return nil
	}
	if reason, wait, ok := p.admit(now, r); !ok {
		p.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: wait})
		return p.step(now)
	}
	req := &request{Request: r, heapPos: indexheap.Absent, wake: r.Deadline}
	req.entry.Value = req
	req.live, req.tried = req.liveBuf[:0], req.triedBuf[:0]
	p.requests[r.ID] = req
	p.wakeHeap.Set(req)
	p.enqueue(now, req)
	return p.step(now)
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
	p.observeLimit(now, a, res)
	if a.abandoned {
		p.finishAbandoned(now, a, res.Kind)
	} else {
		p.finishLive(now, a, res)
	}
	return p.step(now)
}

// Cancel fails a request whose caller has gone away. Unknown requests are
// ignored.
func (p *Pool) Cancel(now time.Time, id model.RequestID) []Decision {
	if r, known := p.requests[id]; known {
		p.fail(now, r, model.ReasonCancelled)
	}
	return p.step(now)
}

// CancelConfirmed reports that the server no longer runs an abandoned attempt,
// and frees its slot. Attempts that are unknown or not abandoned are ignored.
func (p *Pool) CancelConfirmed(now time.Time, id model.AttemptID) []Decision {
	if a, known := p.attempts[id]; known && a.abandoned {
		p.releaseSlot(now, a)
	}
	return p.step(now)
}

// Tick handles everything that is due by now, such as deadlines, hedges and ends
// of ejections.
func (p *Pool) Tick(now time.Time) []Decision { return p.step(now) }

// NextWake returns when Tick is needed next if nothing else happens; zero if
// nothing is pending.
func (p *Pool) NextWake(now time.Time) time.Time {
	wake := p.detector.NextWake(now)
	if !wake.IsZero() && !wake.After(now) {
		wake = now.Add(detectorPollInterval)
	}
	if r, ok := p.wakeHeap.Min(); ok {
		wake = earlier(wake, r.wake)
	}
	if a, ok := p.holdHeap.Min(); ok {
		wake = earlier(wake, a.heldUntil)
	}
	for _, s := range p.servers {
		wake = earlier(wake, p.serverWake(now, s))
	}
	return earlier(earlier(wake, p.reserveWake(now)), p.budgetWake(now))
}

// earlier returns the earlier of two times; zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// step handles what is due, assigns free slots and returns the decisions since
// the last step.
func (p *Pool) step(now time.Time) []Decision {
	p.expireHolds(now)
	p.wakeRequests(now)
	p.assessServers(now)
	p.assignSlots(now)
	p.retryAwaitingBudget(now)
	p.dispatchUrgent(now)
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

func (p *Pool) emit(d Decision) { p.decisions = append(p.decisions, d) }

func (p *Pool) expireHolds(now time.Time) {
	for {
		a, ok := p.holdHeap.Min()
		if !ok || a.heldUntil.After(now) {
			return
		}
		p.releaseSlot(now, a)
	}
}

func (p *Pool) wakeRequests(now time.Time) {
	for {
		r, ok := p.wakeHeap.Min()
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
	case r.lastFailure != model.ReasonNone:
		p.fail(now, r, r.lastFailure)
	default:
		p.fail(now, r, model.ReasonDeadline)
	}
}

// fail emits Fail for the request, with outcome NotRun only if no attempt can
// have run, and abandons its live attempts.
func (p *Pool) fail(now time.Time, r *request, reason model.Reason) {
	outcome := model.NotRun
	if r.mayHaveRun() {
		outcome = model.Unknown
	}
	p.failAs(now, r, outcome, reason)
}

// assertOutcome asserts that a request with outcome NotRun did not run.
func assertOutcome(r *request, outcome model.Outcome) {
	invariant.Check(outcome != model.NotRun || (r.dispatched == r.notRun && len(r.live) == 0),
		invariant.TruthfulNotRun, "request %s: %d of %d attempts may have run, %d are live",
		r.ID, r.dispatched-r.notRun, r.dispatched, len(r.live))
}

func (p *Pool) failAs(now time.Time, r *request, outcome model.Outcome, reason model.Reason) {
	assertOutcome(r, outcome)
	p.abandonAll(now, r, reason == model.ReasonTimeout)
	p.forget(r)
	p.emit(Fail{Request: r.ID, Outcome: outcome, Reason: reason})
}

// forget removes a request that got its final decision.
func (p *Pool) forget(r *request) {
	p.wakeHeap.Remove(r)
	delete(p.requests, r.ID)
	p.queue.Remove(&r.entry)
	r.urgent, r.awaitingBudget = false, false
}
