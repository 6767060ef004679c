package pool

import (
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/internal/indexheap"
	"github.com/agateusher/agateusher/core/invariant"
)

// serviceSmoothing is the weight of one new sample in the moving mean of the
// slot time: a change is followed within some tens of attempts.
const serviceSmoothing = 0.05

// dispatch starts an attempt of the request at the server.
func (p *Pool) dispatch(now time.Time, r *request, s *server, hedge bool) {
	p.checkDispatch(now, r, s, hedge)
	p.lastAttempt++
	a := &attempt{
		id: p.lastAttempt, request: r, server: s, started: now,
		heapPos: indexheap.Absent,
	}
	p.attempts[a.id] = a
	s.inUse++
	r.dispatched++
	r.live = append(r.live, a)
	r.tried = append(r.tried, s)
	p.detector.Started(now, s.id, a.id)
	p.emit(Dispatch{Request: r.ID, Attempt: a.id, Server: s.id, Deadline: r.Deadline, Hedge: hedge})
}

// checkDispatch asserts the rules of a dispatch.
func (p *Pool) checkDispatch(now time.Time, r *request, s *server, hedge bool) {
	invariant.Check(s.inUse < s.allowed(now, p.cfg.Readmission.RampTime), invariant.SlotLimit,
		"server %s has %d of %d slots in use", s.id, s.inUse, s.slots)
	invariant.Check(!s.leaving(), invariant.LeavingServer, "server %s gets request %s", s.id, r.ID)
	if !r.Repeatable {
		invariant.Check(r.dispatched == r.unrun && !hedge, invariant.AtMostOnce,
			"request %s is dispatched again after %d attempts of which %d did not run", r.ID, r.dispatched, r.unrun)
		invariant.Check(s.status == Serving, invariant.AtMostOnce,
			"request %s goes to server %s, which is %s", r.ID, s.id, s.status)
	}
}

// finishLive handles the end of an attempt that its request waits for.
func (p *Pool) finishLive(now time.Time, a *attempt, res AttemptResult) {
	r := a.request
	r.drop(a)
	p.detector.Finished(now, a.server.id, a.id, detector.Result{Kind: evidenceKind(res), Latency: res.Latency})
	p.observe(res)
	switch res.Kind {
	case TimedOut:
		p.hold(now, a)
		p.emit(Abandon{Attempt: a.id})
	default:
		p.release(now, a)
	}
	p.settle(now, a.server, res)
	if res.Kind == FailedBeforeSend || res.Kind == Shed {
		r.unrun++
	}
	if res.Kind == Answered {
		p.complete(now, r, a)
		return
	}
	r.reason = failureReason(res.Kind)
	p.afterFailure(now, r)
}

// complete gives the request its final decision and abandons other attempts.
func (p *Pool) complete(now time.Time, r *request, a *attempt) {
	for _, l := range r.live {
		if l.id < a.id {
			p.doubt(now, l.server)
		}
	}
	p.abandonAll(now, r, false)
	p.forget(r)
	p.emit(Complete{Request: r.ID, Attempt: a.id})
}

// afterFailure decides what follows when an attempt brought no answer.
func (p *Pool) afterFailure(now time.Time, r *request) {
	if len(r.live) > 0 {
		return
	}
	p.fail(now, r, r.reason)
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
	for _, a := range r.live {
		kind := detector.Cancelled
		if timedOut {
			kind = detector.Failure
		}
		p.detector.Finished(now, a.server.id, a.id, detector.Result{Kind: kind, Latency: now.Sub(a.started)})
		p.hold(now, a)
		p.emit(Abandon{Attempt: a.id})
		if timedOut {
			p.settle(now, a.server, AttemptResult{Kind: TimedOut})
		}
	}
	r.live = nil
}

// hold keeps the slot of an attempt that this side ended.
func (p *Pool) hold(now time.Time, a *attempt) {
	a.ended = true
	a.heldUntil = now.Add(p.cfg.CancelHold)
	a.server.held++
	p.holds.Set(a)
}

// release frees the slot of an attempt and forgets it.
func (p *Pool) release(now time.Time, a *attempt) {
	if a.ended {
		a.server.held--
		p.holds.Remove(a)
	}
	a.server.inUse--
	delete(p.attempts, a.id)
	p.retire(a.server)
}

// observe updates the estimate of the slot time.
func (p *Pool) observe(res AttemptResult) {
	if res.Kind == FailedBeforeSend || res.Kind == Shed {
		return
	}
	delta := float64(res.Latency - p.meanService)
	p.meanService += time.Duration(serviceSmoothing * delta)
}
