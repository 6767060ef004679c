package edge

import (
	"context"
	"time"

	"github.com/agateusher/agateusher/core/admission"
	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
)

const (
	// callerPatienceShare is the share of the time left to a caller that Retry-After may
	// use: a caller that is told more does not return.
	callerPatienceShare = 1.0 / 3
	// queueFactor times the target latency of a route is the longest expected
	// latency at which a request may wait in a queue. idempotentQueueFactor
	// applies to idempotent requests; it is lower, so that they are refused
	// before others.
	queueFactor           = 1.1
	idempotentQueueFactor = 0.8
)

// Results of holding a request, as counted in metrics and noted in its log line.
const (
	heldRejected  = "held"
	heldReleased  = "released"
	heldRefused   = "refused"
	heldAbandoned = "abandoned"
)

// hold is the part of a forwarding's state that concerns holding.
type hold struct {
	request  *admission.Held
	released chan admission.Release
	since    time.Time
	notes    string
	// queueWait is how much the expected latency exceeded the limit when the request
	// was refused because the queues are full.
	queueWait time.Duration
}

// admissions holds the state of admission of a daemon, as part of a serverState.
type admissions struct {
	controllers map[model.ServiceName]*admission.Controller
	waiting     map[*admission.Held]chan<- admission.Release
}

// controller returns the controller of a service. s.mu must be held.
func (s *serverState) controller(name model.ServiceName) *admission.Controller {
	a := &s.admissions
	c, ok := a.controllers[name]
	if !ok {
		if a.controllers == nil {
			a.controllers, a.waiting = map[model.ServiceName]*admission.Controller{}, map[*admission.Held]chan<- admission.Release{}
		}
		c = &admission.Controller{}
		a.controllers[name] = c
	}
	return c
}

// admitStarted and admitEnded record the attempts of this and other daemons. s.mu must
// be held.
func (s *serverState) admitStarted(now time.Time, key balance.ServerKey, local, repeat bool) {
	if server, ok := s.table.Server(key); ok {
		s.controller(server.Service).Started(now, local, repeat)
	}
}

func (s *serverState) admitEnded(now time.Time, key balance.ServerKey, r balance.Result) {
	if server, ok := s.table.Server(key); ok && (r == balance.Succeeded || r == balance.Failed || r == balance.Shed) {
		s.controller(server.Service).Ended(now, key, r == balance.Shed)
	}
}

// sheds reports whether most servers of a service reject attempts. s.mu must be held.
func (s *serverState) sheds(now time.Time, name model.ServiceName) bool {
	return s.controller(name).Sheds(now)
}

// admissionState returns what the decisions about a service's requests depend on. s.mu
// must be held.
func (s *serverState) admissionState(now time.Time, name model.ServiceName) admission.State {
	return admission.State{Capacity: s.table.Capacity(now, name), ServiceTime: s.table.MeanServiceTime(name)}
}

// holdRejected holds a request that a server rejected, if holding serves more callers
// than repeating it by the usual rules. The request is released through the channel.
func (s *serverState) holdRejected(name model.ServiceName, r admission.Request, released chan<- admission.Release) (held *admission.Held) {
	s.update(func(now time.Time) {
		if !s.sheds(now, name) {
			return
		}
		if held = s.controller(name).Hold(now, r, s.admissionState(now, name)); held != nil {
			s.admissions.waiting[held] = released
		}
	})
	return held
}

// removeHeld drops a held request.
func (s *serverState) removeHeld(name model.ServiceName, h *admission.Held) {
	s.update(func(time.Time) {
		s.controller(name).Remove(h)
		delete(s.admissions.waiting, h)
	})
}

// releaseHeld releases the held requests that are to be sent or refused now; all of
// them if the daemon is stopping.
func (s *serverState) releaseHeld(stopping bool) {
	s.update(func(now time.Time) {
		if stopping {
			for h, released := range s.admissions.waiting {
				released <- admission.Release{Held: h}
			}
			clear(s.admissions.waiting)
		}
		for name, c := range s.admissions.controllers {
			if stopping {
				c.Clear()
			}
			c.SampleServiceTime(s.table.MeanServiceTime(name))
			if c.HeldCount() == 0 {
				continue
			}
			for _, r := range c.Release(now, s.admissionState(now, name)) {
				s.admissions.waiting[r.Held] <- r
				delete(s.admissions.waiting, r.Held)
			}
		}
	})
}

// heldCount returns the number of held requests.
func (s *serverState) heldCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.admissions.waiting)
}

// sheddingServices returns the number of services of which most servers reject attempts.
func (s *serverState) sheddingServices() (n int) {
	s.update(func(now time.Time) {
		for _, c := range s.admissions.controllers {
			if c.Sheds(now) {
				n++
			}
		}
	})
	return n
}

// holdRejected holds the request after a server rejected it while most servers of its
// service do so. It returns false if the request is to be repeated by the usual rules.
func (f *forwarding) holdRejected() bool {
	if f.mayHaveRun || len(f.active) > 0 || f.dials >= maxDials || f.node.draining.Load() {
		return false
	}
	if f.hold.released == nil {
		f.hold.released = make(chan admission.Release, 1)
	}
	if f.hold.request = f.node.serverState.holdRejected(f.service, f.admissionRequest(), f.hold.released); f.hold.request == nil {
		return false
	}
	f.hold.since = time.Now()
	f.noteHold(heldRejected)
	return true
}

// admissionRequest describes the request for decisions of admission.
func (f *forwarding) admissionRequest() admission.Request {
	r := admission.Request{Priority: f.priority(), Idempotent: f.route.Idempotent, Deadline: f.deadline}
	if f.workspace != nil {
		r.Workspace = string(f.workspace.Name)
	}
	if f.route.TargetLatency > 0 {
		r.Target = f.request.received.Add(f.route.TargetLatency)
	}
	return r
}

// latencyLimit returns the expected latency above which the request is refused
// rather than queued; zero: unlimited. Queues at full servers make all requests
// late, and servers that are nearly full work more slowly.
func (f *forwarding) latencyLimit() time.Duration {
	if f.route.TargetLatency <= 0 || f.reachedServer {
		return 0
	}
	factor := queueFactor
	if f.route.Idempotent {
		factor = idempotentQueueFactor
	}
	return time.Duration(factor * f.roomFactor() * float64(f.route.TargetLatency))
}

// roomFactor returns the factor of the latency limit up to which the request may queue.
func (f *forwarding) roomFactor() (factor float64) {
	s := f.node.serverState
	s.update(func(now time.Time) { factor = s.controller(f.service).LimitFactor(now, f.admissionRequest()) })
	return factor
}

// countRoom records whether the request found room at a server.
func (f *forwarding) countRoom(admitted bool) {
	s := f.node.serverState
	s.update(func(now time.Time) { s.controller(f.service).CountRoom(now, f.admissionRequest(), admitted) })
}

// noteHold counts what happened to the held request and adds it to its log line.
func (f *forwarding) noteHold(note string) {
	f.node.held.Inc(note, "")
	if f.hold.notes != "" {
		f.hold.notes += " "
	}
	f.hold.notes += note
	if note != heldRejected {
		f.hold.notes += ":" + milliseconds(time.Since(f.hold.since))
	}
}

// handleRelease sends a held request or refuses it. It returns the response to the
// caller and true when the request is finished.
func (f *forwarding) handleRelease(ctx context.Context, r admission.Release) (*response, bool) {
	f.hold.request = nil
	if r.Refuse {
		f.noteHold(heldRefused)
		f.reason = model.ReasonShed
		return f.failureResponse(), true
	}
	f.noteHold(heldReleased)
	if f.sendReleased(ctx) {
		return nil, false
	}
	return f.failureResponse(), true
}

// sendReleased makes the next attempt of a request that was held: at a server that has
// not rejected it, if another one may be tried. Without budget it is held again.
func (f *forwarding) sendReleased(ctx context.Context) bool {
	if !f.allowRetry() {
		return f.holdRejected()
	}
	if f.attemptsLeft() && f.sendNext(ctx) || f.sendRefused(ctx, f.refusedBy[len(f.refusedBy)-1]) {
		return true
	}
	// All servers that the request may be sent to have asked for a pause.
	return f.reason == model.ReasonShed && f.holdRejected()
}

// removeHeld drops the request if it is answered while it is held: its caller
// disconnected, or its deadline has passed.
func (f *forwarding) removeHeld() {
	if f.hold.request != nil {
		f.node.serverState.removeHeld(f.service, f.hold.request)
		f.noteHold(heldAbandoned)
	}
}

// retryAfter returns when the caller of a refused request should return.
func (f *forwarding) retryAfter() time.Duration {
	left := f.request.received.Add(max(f.request.callerTimeout, f.deadline.Sub(f.request.received)))
	limit := max(retryAfterDelay, time.Duration(callerPatienceShare*float64(time.Until(left))))
	return f.node.serverState.retryAfter(f.service, f.reason, f.hold.queueWait, limit)
}

// retryAfter spreads the returning callers of a service whose queues are full or whose
// servers shed, at the rate at which this daemon's share of the slots becomes free.
func (s *serverState) retryAfter(name model.ServiceName, reason model.Reason, queueWait, limit time.Duration) time.Duration {
	delay := retryAfterDelay
	s.update(func(now time.Time) {
		if reason == model.ReasonQueueFull || (reason == model.ReasonShed && s.sheds(now, name)) {
			delay = s.controller(name).RetryAfter(now, s.admissionState(now, name), max(queueWait, retryAfterDelay), limit)
		}
	})
	return delay
}
