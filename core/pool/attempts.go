package pool

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/internal/indexheap"
	"github.com/agateusher/agateusher/core/invariant"
)

// serviceSmoothing is the weight of one new sample in the moving mean of the
// slot time: a change is followed within some tens of attempts.
const serviceSmoothing = 0.05

// timeoutDelays times the hedge delay is the age from which a timeout is
// evidence. With one delay, an overloaded pool would count the few percent of
// its slowest attempts as failures of healthy servers.
const timeoutDelays = 2

// maxSample bounds a sample of the mean slot time, in hedge delays.
const maxSample = 4

// holdDelays times the hedge delay is the default hold of slots. With servers
// that never confirm, a hold of 2 s lowered the goodput at 3x load to 38-53%,
// 4 delays to 82-87%, and 2 delays to 92-94% (pooltrial).
const holdDelays = 2

const (
	// maxShedTime bounds how long a server that sheds gets no request, so that
	// one that recovers is soon used again.
	maxShedTime = 200 * time.Millisecond
	// maxShedLevel bounds the doublings, so that the shift cannot overflow.
	maxShedLevel = 10
)

// dispatch starts an attempt of the request at the server.
func (p *Pool) dispatch(now time.Time, r *request, s *server, hedge bool) {
	p.checkDispatch(now, r, s, hedge)
	if r.dispatched == 0 {
		p.budget.Deposit()
	}
	p.lastAttempt++
	a := &attempt{
		id: p.lastAttempt, request: r, server: s, started: now,
		heapPos: indexheap.Absent, estimate: p.meanService,
	}
	p.attempts[a.id] = a
	s.inUse++
	s.live = append(s.live, a)
	p.used[r.class()]++
	r.dispatched++
	r.live = append(r.live, a)
	r.tried = append(r.tried, s)
	p.planHedge(now, r)
	p.detector.Started(now, s.id, a.id)
	p.emit(Dispatch{Request: r.ID, Attempt: a.id, Server: s.id, Deadline: r.Deadline, Hedge: hedge})
}

// checkDispatch asserts the rules of a dispatch. The conditions are tested
// before Check is called, because its arguments would be allocated each time.
func (p *Pool) checkDispatch(now time.Time, r *request, s *server, hedge bool) {
	if s.inUse >= s.allowed(now, p.cfg.Readmission.RampTime) {
		invariant.Check(false, invariant.SlotLimit, "server %s has %d of %d slots in use", s.id, s.inUse, s.slots)
	}
	if s.leaving() {
		invariant.Check(false, invariant.LeavingServer, "server %s gets request %s", s.id, r.ID)
	}
	if !r.Repeatable && (r.dispatched != r.unrun || hedge) {
		invariant.Check(false, invariant.AtMostOnce,
			"request %s is dispatched again after %d attempts of which %d did not run", r.ID, r.dispatched, r.unrun)
	}
	if !r.Repeatable && s.status != Serving {
		invariant.Check(false, invariant.AtMostOnce,
			"request %s goes to server %s, which is %s", r.ID, s.id, s.status)
	}
}

// finishLive handles the end of an attempt that its request waits for.
func (p *Pool) finishLive(now time.Time, a *attempt, res AttemptResult) {
	r := a.request
	a.drop()
	p.detector.Finished(now, a.server.id, a.id, detector.Result{Kind: p.evidence(res), Latency: res.Latency})
	p.observe(res.Kind, res.Latency)
	switch res.Kind {
	case TimedOut:
		p.hold(now, a)
		p.emit(Abandon{Attempt: a.id})
	default:
		p.release(now, a)
	}
	if p.evidence(res) != detector.Cancelled {
		p.settle(now, a.server, res)
	}
	p.backOff(now, a.server, res.Kind)
	if res.Kind == FailedBeforeSend || res.Kind == Shed {
		r.unrun++
	}
	if res.Kind == Answered && !(res.ServerError && p.retryInstead(now, r)) {
		p.complete(now, r, a)
		return
	}
	r.reason = failureReason(res.Kind)
	p.afterFailure(now, r, res.Kind)
}

// complete gives the request its final decision and abandons other attempts.
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
		p.doubt(now, s)
	}
}

// backOff keeps requests away from a server that shed one: it says that it has
// no room, whatever slots it is configured with. The time doubles with each shed
// in a row. Without it a server that sheds everything gets every request that
// finds its slots free, and uses up the retry budget of the pool.
func (p *Pool) backOff(now time.Time, s *server, kind ResultKind) {
	switch kind {
	case Shed:
		s.shedUntil = now.Add(min(p.meanService<<s.sheds, maxShedTime))
		s.sheds = min(s.sheds+1, maxShedLevel)
	case Answered:
		s.sheds = 0
	}
}

// finishEnded handles the end of an attempt that this side had given up. If the
// result shows that the server ended it, its slot is free.
func (p *Pool) finishEnded(now time.Time, a *attempt, kind ResultKind) {
	if kind == Answered || kind == Shed || kind == FailedBeforeSend {
		p.release(now, a)
	}
}

// abandonAll gives up the live attempts of a request.
func (p *Pool) abandonAll(now time.Time, r *request, timedOut bool) {
	for _, a := range slices.Clone(r.live) {
		a.drop()
		kind, age := detector.Cancelled, now.Sub(a.started)
		if timedOut {
			kind = p.evidence(AttemptResult{Kind: TimedOut, Latency: age})
		}
		p.detector.Finished(now, a.server.id, a.id, detector.Result{Kind: kind, Latency: age})
		p.hold(now, a)
		p.emit(Abandon{Attempt: a.id})
		if kind == detector.Failure {
			p.settle(now, a.server, AttemptResult{Kind: TimedOut})
		}
		p.hedgeDelay.Observe(age)
	}
}

// evidence translates the end of an attempt for the detector. A timeout of an
// attempt younger than timeoutDelays hedge delays says nothing about the server:
// the caller's time limit was short, or its request waited long.
func (p *Pool) evidence(res AttemptResult) detector.Kind {
	if res.Kind == TimedOut && res.Latency < timeoutDelays*p.hedgeDelay.Delay() {
		return detector.Cancelled
	}
	return evidenceKind(res)
}

// hold keeps the slot of an attempt that this side ended.
func (p *Pool) hold(now time.Time, a *attempt) {
	a.ended = true
	a.heldUntil = now.Add(p.cancelHold())
	a.server.held++
	p.holds.Set(a)
}

// cancelHold returns how long a slot is held without a confirmation.
func (p *Pool) cancelHold() time.Duration {
	if p.cfg.CancelHold > 0 {
		return p.cfg.CancelHold
	}
	return min(holdDelays*p.hedgeDelay.Delay(), MaxCancelHold)
}

// release frees the slot of an attempt and forgets it.
func (p *Pool) release(now time.Time, a *attempt) {
	if a.ended {
		a.server.held--
		p.holds.Remove(a)
	}
	a.server.inUse--
	p.used[a.request.class()]--
	p.queue.Finish(a.request.Workspace, a.estimate, now.Sub(a.started))
	delete(p.attempts, a.id)
	p.retire(a.server)
}

// observe updates the estimate of the slot time. A sample counts for at most
// maxSample hedge delays, because one timeout of a stalled attempt would
// otherwise multiply the mean.
func (p *Pool) observe(kind ResultKind, latency time.Duration) {
	if kind == FailedBeforeSend || kind == Shed {
		return
	}
	delta := float64(min(latency, maxSample*p.hedgeDelay.Delay()) - p.meanService)
	p.meanService += time.Duration(serviceSmoothing * delta)
	p.hedgeDelay.Observe(latency)
	p.limitQueue()
}
