package pool

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// admit decides whether a request is accepted. If not, it returns the reason
// and when to try again.
func (p *Pool) admit(now time.Time, r Request) (model.Reason, time.Duration, bool) {
	capacity := p.capacity(now, r.Repeatable)
	if capacity == 0 {
		return model.ReasonNoServer, p.cfg.Readmission.Hold, false
	}
	wait := time.Duration(int64(p.meanService) * int64(len(p.waiting)) / int64(capacity))
	if len(p.waiting) >= p.cfg.QueueLimit {
		return model.ReasonQueueFull, wait, false
	}
	if now.Add(wait).After(r.Deadline) || !now.Before(r.Deadline) {
		return model.ReasonDeadline, wait, false
	}
	return model.ReasonNone, 0, true
}

// capacity returns the slots that a class of requests may use now, occupied or
// not.
func (p *Pool) capacity(now time.Time, repeatable bool) int {
	slots := 0
	for _, s := range p.servers {
		if s.status == Serving || (repeatable && (s.status == Suspect || s.status == Probation)) {
			slots += s.allowed(now, p.cfg.Readmission.RampTime)
		}
	}
	return slots
}

// fill assigns free slots to waiting requests.
func (p *Pool) fill(now time.Time) {
	for i := 0; i < len(p.waiting); {
		r := p.waiting[i]
		s := p.choose(now, r)
		if s == nil {
			i++
			continue
		}
		p.unqueue(r)
		p.dispatch(now, r, s, false)
	}
}

// choose returns the server for the next attempt of a request, or nil. The
// order is: an idle server on probation, for the first attempt of a repeatable
// request; a serving server that it has not tried; a suspect one that it has
// not tried, for repeatable requests.
func (p *Pool) choose(now time.Time, r *request) *server {
	if r.Repeatable && r.dispatched == 0 {
		if s := p.idleOnProbation(); s != nil {
			return s
		}
	}
	if s := p.leastLoaded(now, Serving, r.tried); s != nil {
		return s
	}
	if !r.Repeatable {
		return nil
	}
	return p.leastLoaded(now, Suspect, r.tried)
}

// idleOnProbation returns a server on probation without an attempt, or nil.
func (p *Pool) idleOnProbation() *server {
	for _, s := range p.servers {
		if s.status == Probation && s.inUse == 0 {
			return s
		}
	}
	return nil
}

// leastLoaded returns the server of this status with the smallest share of its
// allowed slots in use, or nil if none has a free slot. Ties are broken in turn.
func (p *Pool) leastLoaded(now time.Time, status Status, except []*server) *server {
	var best *server
	var bestUse, bestAllowed int
	n := len(p.servers)
	for i := range n {
		s := p.servers[(p.cursor+i)%n]
		if s.status != status || s.inUse >= s.slots || slices.Contains(except, s) {
			continue
		}
		allowed := s.allowed(now, p.cfg.Readmission.RampTime)
		if s.inUse >= allowed {
			continue
		}
		if best == nil || s.inUse*bestAllowed < bestUse*allowed {
			best, bestUse, bestAllowed = s, s.inUse, allowed
		}
	}
	if best != nil {
		p.cursor = (slices.Index(p.servers, best) + 1) % n
	}
	return best
}
