package pool

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/internal/indexheap"
	"github.com/agateusher/agateusher/core/invariant"
)

// serviceTimeSmoothing is the weight of a new sample in the moving mean of the
// slot time. The mean follows a change within some tens of attempts.
const serviceTimeSmoothing = 0.05

// minTimeoutHedgeDelays is the age, in hedge delays, from which the timeout of
// an attempt is evidence against the server. With one delay, an overloaded pool
// would count the few percent of its slowest attempts as failures of healthy
// servers.
const minTimeoutHedgeDelays = 2

// maxSampleHedgeDelays bounds a sample of the mean slot time, in hedge delays.
const maxSampleHedgeDelays = 4

// cancelHoldHedgeDelays is the default of Config.CancelHold, in hedge delays.
// With servers that never confirm cancellations, the goodput at 3x load is
// 38-53% with a hold of 2 s, 82-87% with 4 delays and 92-94% with 2 delays.
const cancelHoldHedgeDelays = 2

const (
	// maxShedBackoff bounds the time for which a server that sheds gets no
	// requests, so that it is used again soon after it recovers.
	maxShedBackoff = 200 * time.Millisecond
	// maxShedBackoffLevel bounds the doublings of the backoff, so that the shift
	// cannot overflow.
	maxShedBackoffLevel = 10
)

// dispatch starts an attempt of the request at the server.
func (p *Pool) dispatch(now time.Time, r *request, s *server, hedge bool) {
	p.assertDispatch(now, r, s, hedge)
	if r.dispatched == 0 {
		p.retryBudget.Deposit()
	}
	p.lastAttemptID++
	a := &attempt{
		id: p.lastAttemptID, request: r, server: s, started: now,
		heapPos: indexheap.Absent, chargedTime: p.meanServiceTime,
	}
	p.attempts[a.id] = a
	s.inUse++
	s.limit.take(now)
	s.live = append(s.live, a)
	p.usedSlots[r.class()]++
	r.dispatched++
	r.live = append(r.live, a)
	r.tried = append(r.tried, s)
	p.scheduleHedge(now, r)
	p.detector.Started(now, s.id, a.id)
	p.emit(Dispatch{Request: r.ID, Attempt: a.id, Server: s.id, Deadline: r.Deadline, Hedge: hedge})
}

// assertDispatch asserts the invariants of a dispatch. The conditions are tested
// before invariant.Check is called, because a call allocates its arguments.
func (p *Pool) assertDispatch(now time.Time, r *request, s *server, hedge bool) {
	if s.inUse >= s.allowed(now, p.cfg.Readmission.RampTime) {
		invariant.Check(false, invariant.SlotLimit, "server %s has %d of %d slots in use", s.id, s.inUse, s.slots)
	}
	if s.leaving() {
		invariant.Check(false, invariant.LeavingServer, "server %s gets request %s", s.id, r.ID)
	}
	if !r.Repeatable && (r.dispatched != r.notRun || hedge) {
		invariant.Check(false, invariant.AtMostOnce,
			"request %s is dispatched again after %d attempts of which %d did not run", r.ID, r.dispatched, r.notRun)
	}
	if !r.Repeatable && s.status != Serving {
		invariant.Check(false, invariant.AtMostOnce,
			"request %s goes to server %s, which is %s", r.ID, s.id, s.status)
	}
}

// finishLive handles the end of an attempt whose request still waits for it.
func (p *Pool) finishLive(now time.Time, a *attempt, res AttemptResult) {
	r := a.request
	a.detach()
	p.detector.Finished(now, a.server.id, a.id, detector.Result{Kind: p.evidence(res), Latency: res.Latency})
	p.observeLatency(res.Kind, res.Latency)
	switch res.Kind {
	case TimedOut:
		p.holdSlot(now, a)
		p.emit(Abandon{Attempt: a.id})
	default:
		p.releaseSlot(now, a)
	}
	if p.evidence(res) != detector.Cancelled {
		p.recordProbationResult(now, a.server, res)
	}
	p.updateShedBackoff(now, a.server, res.Kind)
	if res.Kind == FailedBeforeSend || res.Kind == Shed {
		r.notRun++
	}
	if res.Kind == Answered && !(res.ServerError && p.prefersRetry(now, r)) {
		p.complete(now, r, a)
		return
	}
	r.lastFailure = failureReason(res.Kind)
	p.afterFailure(now, r, res.Kind)
}

// complete emits Complete for the request with the answer of attempt a and
// abandons the other attempts. Those that started before a lost to their hedge.
func (p *Pool) complete(now time.Time, r *request, a *attempt) {
	var slower []*server
	for _, l := range r.live {
		if l.id < a.id {
			slower = append(slower, l.server)
		}
	}
	p.abandonAll(now, r, false)
	p.forget(r)
	p.emit(Complete{Request: r.ID, Attempt: a.id})
	for _, s := range slower {
		p.recordHedgeLoss(now, s)
	}
}

// updateShedBackoff stops requests to a server that shed one, because it is
// overloaded even if some of its configured slots are free. The backoff doubles
// with each consecutive shed and is reset by an answer. Without it, a server
// that sheds everything would get every request that finds its slots free, and
// would use up the retry budget of the pool.
func (p *Pool) updateShedBackoff(now time.Time, s *server, kind ResultKind) {
	switch kind {
	case Shed:
		s.shedBackoffUntil = now.Add(min(p.meanServiceTime<<s.consecutiveSheds, maxShedBackoff))
		s.consecutiveSheds = min(s.consecutiveSheds+1, maxShedBackoffLevel)
	case Answered:
		s.consecutiveSheds = 0
	}
}

// finishAbandoned handles the end of an attempt that the pool had abandoned. It
// frees the slot if the result shows that the server no longer runs the attempt.
func (p *Pool) finishAbandoned(now time.Time, a *attempt, kind ResultKind) {
	if kind == Answered || kind == Shed || kind == FailedBeforeSend {
		p.releaseSlot(now, a)
	}
}

// abandonAll abandons the live attempts of a request; timedOut: because its
// deadline has passed.
func (p *Pool) abandonAll(now time.Time, r *request, timedOut bool) {
	for _, a := range slices.Clone(r.live) {
		a.detach()
		kind, age := detector.Cancelled, now.Sub(a.started)
		if timedOut {
			kind = p.evidence(AttemptResult{Kind: TimedOut, Latency: age})
		}
		p.detector.Finished(now, a.server.id, a.id, detector.Result{Kind: kind, Latency: age})
		p.holdSlot(now, a)
		p.emit(Abandon{Attempt: a.id})
		if kind == detector.Failure {
			p.recordProbationResult(now, a.server, AttemptResult{Kind: TimedOut})
		}
		p.hedgeDelay.Observe(age)
	}
}

// evidence returns the detector's kind for the result of an attempt. A timeout
// before minTimeoutHedgeDelays hedge delays is reported as Cancelled and is no
// evidence about the server: the caller's time limit was short, or the request
// had waited long in the queue.
func (p *Pool) evidence(res AttemptResult) detector.Kind {
	if res.Kind == TimedOut && res.Latency < minTimeoutHedgeDelays*p.hedgeDelay.Delay() {
		return detector.Cancelled
	}
	return evidenceKind(res)
}

// holdSlot keeps the slot of an abandoned attempt occupied, because the server
// may still be running it.
func (p *Pool) holdSlot(now time.Time, a *attempt) {
	a.abandoned = true
	a.heldUntil = now.Add(p.cancelHold())
	a.server.held++
	p.holdHeap.Set(a)
}

// cancelHold returns how long the slot of an abandoned attempt is held if the
// server does not confirm the cancellation.
func (p *Pool) cancelHold() time.Duration {
	if p.cfg.CancelHold > 0 {
		return p.cfg.CancelHold
	}
	return min(cancelHoldHedgeDelays*p.hedgeDelay.Delay(), MaxCancelHold)
}

// releaseSlot frees the slot of an attempt, charges the workspace for the slot
// time that was used, and removes the attempt.
func (p *Pool) releaseSlot(now time.Time, a *attempt) {
	if a.abandoned {
		a.server.held--
		p.holdHeap.Remove(a)
	}
	a.server.inUse--
	p.usedSlots[a.request.class()]--
	p.queue.Finish(a.request.Workspace, a.chargedTime, now.Sub(a.started))
	delete(p.attempts, a.id)
	p.removeIfIdle(a.server)
}

// observeLatency updates the estimates of the slot time and the hedge delay.
// Attempts that did not run are ignored. A sample of the slot time is limited to
// maxSampleHedgeDelays hedge delays, because one timeout of a stalled attempt
// would otherwise multiply the mean.
func (p *Pool) observeLatency(kind ResultKind, latency time.Duration) {
	if kind == FailedBeforeSend || kind == Shed {
		return
	}
	delta := float64(min(latency, maxSampleHedgeDelays*p.hedgeDelay.Delay()) - p.meanServiceTime)
	p.meanServiceTime += time.Duration(serviceTimeSmoothing * delta)
	p.hedgeDelay.Observe(latency)
	p.updateQueueLimits()
}
