package pool

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/fairqueue"
	"github.com/agateusher/agateusher/core/model"
)

// minReserveSlots is the size of a pool from which each class has at least one
// slot reserved. In a smaller one that would cost too large a share.
const minReserveSlots = 5

// creditRounds is the burst that a workspace may save up by using less than its
// share, in mean attempts of every slot. It is a compromise (pooltrial,
// exponential, others at 90% of their share): beside a constant flood their 99th
// percentile is 1.2 to 1.3 times that of running alone, and more credit changes
// little; beside one that floods for 5 s of every 10 s and saves up a burst in
// between, it is within 2 times in four of five runs, and in none with 5 rounds.
const creditRounds = 2.5

// admit decides whether a request is accepted. If not, it returns the reason
// and when to try again.
func (p *Pool) admit(now time.Time, r Request) (model.Reason, time.Duration, bool) {
	class := (&request{Request: r}).class()
	p.seen[class] = now
	capacity := p.capacity(now, r.Repeatable)
	if capacity == 0 {
		return model.ReasonNoServer, p.cfg.Readmission.EjectionTime, false
	}
	wait := p.queueWait(r.Workspace, r.Weight, capacity)
	if !now.Before(r.Deadline) || (wait > 0 && r.Deadline.Sub(now)-wait < p.needed(r)) {
		return model.ReasonDeadline, wait, false
	}
	return model.ReasonNone, 0, true
}

// queueWait estimates how long a new request of the workspace waits; zero if
// nothing is queued.
func (p *Pool) queueWait(w model.WorkspaceID, weight float64, capacity int) time.Duration {
	if p.queue.Len() == 0 {
		return 0
	}
	ahead := p.queue.Ahead(w, weight, p.meanService) + 1
	return time.Duration(int64(p.meanService) * int64(ahead) / int64(capacity))
}

// limitQueue passes the bounds to the queue.
func (p *Pool) limitQueue() {
	credit := creditRounds * float64(p.slots) * float64(p.meanService)
	p.queue.SetLimits(fairqueue.Limits{
		Total: p.cfg.QueueLimit, Workspace: p.cfg.WorkspaceQueueLimit, Credit: time.Duration(credit),
	})
}

// enqueue puts an admitted request in the queue and refuses the one that has to
// leave a full queue.
func (p *Pool) enqueue(now time.Time, r *request) {
	loser := p.queue.Push(&r.entry, r.Workspace, r.Weight, r.class())
	if loser == nil {
		return
	}
	lost := loser.Value
	checkOutcome(lost, model.NotRun)
	p.forget(lost)
	wait := p.queueWait(lost.Workspace, lost.Weight, max(1, p.capacity(now, lost.Repeatable)))
	p.emit(Refuse{Request: lost.ID, Reason: model.ReasonQueueFull, RetryAfter: wait})
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

// fill assigns free slots: first to urgent requests, then to the queue.
func (p *Pool) fill(now time.Time) {
	p.fillUrgent(now)
	for p.queue.Len() > 0 {
		ready := p.freeSlots(now)
		entry := p.queue.Pop(ready.classes(), p.meanService)
		if entry == nil {
			return
		}
		r := entry.Value
		if p.tooLate(now, r) {
			p.queue.Finish(r.Workspace, p.meanService, 0)
			p.fail(now, r, model.ReasonDeadline)
			continue
		}
		p.dispatch(now, r, p.choose(now, r, ready.serving[r.class()]), false)
	}
}

// tooLate reports whether a request waited so long that a slot would probably
// be wasted on it. Requests with short deadlines are not all dropped: half of
// their time may pass in the queue in any case.
func (p *Pool) tooLate(now time.Time, r *request) bool {
	return r.Deadline.Sub(now) < p.needed(r.Request)
}

// needed returns the time that an attempt of the request probably needs, but no
// more than half of the request's whole time.
func (p *Pool) needed(r Request) time.Duration {
	return min(p.hedgeDelay.Delay(), r.Deadline.Sub(r.Arrival)/2)
}

// freeSlots says where there are free slots.
type freeSlots struct {
	// serving lists the classes with a free slot of a serving server that is not
	// reserved for the other class.
	serving fairqueue.ClassSet
	// lastResort: a suspect server, or one on probation, may take a repeatable
	// request.
	lastResort bool
}

// classes returns the classes that can be served now.
func (f freeSlots) classes() fairqueue.ClassSet {
	f.serving[repeatable] = f.serving[repeatable] || f.lastResort
	return f.serving
}

func (p *Pool) freeSlots(now time.Time) freeSlots {
	allowed, free, lastResort := 0, 0, false
	for _, s := range p.servers {
		slots := s.allowed(now, p.cfg.Readmission.RampTime)
		switch {
		case s.status == Serving:
			allowed += slots
			free += s.free(now, p.cfg.Readmission.RampTime)
		case s.status == Suspect:
			lastResort = lastResort || s.free(now, p.cfg.Readmission.RampTime) > 0
		case s.status == Probation:
			lastResort = lastResort || (s.inUse == 0 && p.budget.Available())
		}
	}
	reserve := p.reserve(allowed)
	return freeSlots{lastResort: lastResort, serving: fairqueue.ClassSet{
		repeatable:    free > p.unmet(now, notRepeatable, reserve),
		notRepeatable: free > p.unmet(now, repeatable, reserve),
	}}
}

// reserve returns the slots reserved for each class.
func (p *Pool) reserve(slots int) int {
	reserved := int(max(0, p.cfg.ReserveShare) * float64(slots))
	if reserved == 0 && p.cfg.ReserveShare > 0 && slots >= minReserveSlots {
		return 1
	}
	return reserved
}

// unmet returns the part of a class's reserve that it does not use now.
func (p *Pool) unmet(now time.Time, class fairqueue.Class, reserve int) int {
	if p.seen[class].IsZero() || now.Sub(p.seen[class]) >= p.cfg.ReserveIdleTimeout {
		return 0
	}
	return max(0, reserve-p.used[class])
}

// reserveWake returns when a reserve ends that may hold back the queue.
func (p *Pool) reserveWake(now time.Time) time.Time {
	var wake time.Time
	if p.queue.Len() == 0 {
		return wake
	}
	for _, seen := range p.seen {
		if end := seen.Add(p.cfg.ReserveIdleTimeout); end.After(now) {
			wake = earlier(wake, end)
		}
	}
	return wake
}

// choose returns the server for the next attempt of a request, or nil. The
// order is: an idle server on probation, for the first attempt of a repeatable
// request that the budget could rescue; a serving server that it has not tried;
// for repeatable requests, a suspect one that it has not tried, and, once all
// were tried, any of them again. Serving servers are left out if serving is
// false.
func (p *Pool) choose(now time.Time, r *request, serving bool) *server {
	if r.Repeatable && r.dispatched == 0 && p.budget.Available() {
		if s := p.idleOnProbation(); s != nil {
			return s
		}
	}
	var s *server
	if serving {
		s = p.servingServer(now, r)
	}
	if s != nil || !r.Repeatable {
		return s
	}
	if s = p.leastLoaded(now, Suspect, r.tried); s != nil || len(r.live) > 0 || p.untried(r) {
		return s
	}
	if s = p.leastLoaded(now, Serving, nil); s != nil && serving {
		return s
	}
	return p.leastLoaded(now, Suspect, nil)
}

// servingServer returns a serving server that the request has not tried, or nil. A
// repeatable request takes any server with a free slot, in turn: the least
// loaded one would leave a stalled server with a single unanswered attempt for
// as long as others are idle, which is too little evidence against it. A
// request that may not be repeated takes the least loaded one, and so avoids
// servers with unanswered attempts.
func (p *Pool) servingServer(now time.Time, r *request) *server {
	if r.Repeatable {
		return p.nextFree(now, r.tried)
	}
	return p.leastLoaded(now, Serving, r.tried)
}

// nextFree returns the next serving server in turn that has a free slot.
func (p *Pool) nextFree(now time.Time, except []*server) *server {
	n := len(p.servers)
	for i := range n {
		at := (p.cursor + i) % n
		s := p.servers[at]
		if s.status == Serving && s.free(now, p.cfg.Readmission.RampTime) > 0 && !slices.Contains(except, s) {
			p.cursor = (at + 1) % n
			return s
		}
	}
	return nil
}

// untried reports whether a server that the request may use, free or not, has
// not been tried.
func (p *Pool) untried(r *request) bool {
	for _, s := range p.servers {
		usable := s.status == Serving || (r.Repeatable && s.status == Suspect)
		if usable && !slices.Contains(r.tried, s) {
			return true
		}
	}
	return false
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
	best, bestUse, bestAllowed := -1, 0, 0
	n := len(p.servers)
	for i := range n {
		at := p.cursor + i
		if at >= n {
			at -= n
		}
		s := p.servers[at]
		if s.status != status || slices.Contains(except, s) {
			continue
		}
		allowed := s.allowed(now, p.cfg.Readmission.RampTime)
		if s.free(now, p.cfg.Readmission.RampTime) > 0 && (best < 0 || s.inUse*bestAllowed < bestUse*allowed) {
			best, bestUse, bestAllowed = at, s.inUse, allowed
		}
	}
	if best < 0 {
		return nil
	}
	p.cursor = (best + 1) % n
	return p.servers[best]
}
