package pool

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/fairqueue"
	"github.com/agateusher/agateusher/core/model"
)

// minReserveSlots is the number of slots from which a pool reserves at least one
// slot for each class. In a smaller pool, one slot is too large a share.
const minReserveSlots = 5

// creditAttemptsPerSlot is the credit that a workspace may accumulate by using
// less than its share, in mean attempts for each slot of the pool. It is a
// compromise. For workspaces at 90% of their share with exponential service
// times, the 99th percentile of the latency beside a workspace that floods
// constantly is 1.2 to 1.3 times that of running alone, and more credit changes
// little. Beside one that floods for 5 s of every 10 s and accumulates credit in
// between, it is within 2 times in four of five runs, and in none with a credit
// of 5.
const creditAttemptsPerSlot = 2.5

// admit reports whether a request is accepted. If not, it returns the reason and
// the time after which to try again.
func (p *Pool) admit(now time.Time, r Request) (model.Reason, time.Duration, bool) {
	class := (&request{Request: r}).class()
	p.lastArrival[class] = now
	capacity := p.capacity(now, r.Repeatable)
	if capacity == 0 {
		return model.ReasonNoServer, p.cfg.Readmission.EjectionTime, false
	}
	wait := max(p.estimateQueueWait(r.Workspace, r.Weight, capacity), p.limitWait(now, r.Repeatable))
	if !now.Before(r.Deadline) || (wait > 0 && r.Deadline.Sub(now)-wait < p.neededTime(r)) {
		return model.ReasonDeadline, wait, false
	}
	return model.ReasonNone, 0, true
}

// estimateQueueWait estimates how long a new request of the workspace waits in
// the queue; zero if nothing is queued.
func (p *Pool) estimateQueueWait(w model.WorkspaceID, weight float64, capacity float64) time.Duration {
	if p.queue.Len() == 0 {
		return 0
	}
	ahead := p.queue.Ahead(w, weight, p.meanServiceTime) + 1
	return time.Duration(float64(p.meanServiceTime) * float64(ahead) / capacity)
}

// updateQueueLimits sets the limits of the queue. Its credit depends on the
// configured slots and the mean service time.
func (p *Pool) updateQueueLimits() {
	credit := creditAttemptsPerSlot * float64(p.slots) * float64(p.meanServiceTime)
	p.queue.SetLimits(fairqueue.Limits{
		Total: p.cfg.QueueLimit, Workspace: p.cfg.WorkspaceQueueLimit, Credit: time.Duration(credit),
	})
}

// enqueue adds an admitted request to the queue. If the queue is full, it refuses
// the request that the queue evicts.
func (p *Pool) enqueue(now time.Time, r *request) {
	evicted := p.queue.Push(&r.entry, r.Workspace, r.Weight, r.class())
	if evicted == nil {
		return
	}
	evictedRequest := evicted.Value
	assertOutcome(evictedRequest, model.NotRun)
	p.forget(evictedRequest)
	capacity := p.capacity(now, evictedRequest.Repeatable)
	if capacity == 0 {
		capacity = 1
	}
	wait := p.estimateQueueWait(evictedRequest.Workspace, evictedRequest.Weight, capacity)
	p.emit(Refuse{Request: evictedRequest.ID, Reason: model.ReasonQueueFull, RetryAfter: wait})
}

// capacity returns the number of slots that repeatable or other requests may use
// now, occupied or not. A slot that a rate limit leaves idle for a part of the time
// counts for the rest.
func (p *Pool) capacity(now time.Time, repeatable bool) float64 {
	slots := 0.0
	for _, s := range p.servers {
		if s.usableFor(repeatable) {
			slots += p.usableSlots(now, s)
		}
	}
	return slots
}

// assignSlots assigns free slots: first to urgent requests, then to the queue.
func (p *Pool) assignSlots(now time.Time) {
	p.dispatchUrgent(now)
	for p.queue.Len() > 0 {
		ready := p.freeSlots(now)
		entry := p.queue.Pop(ready.classes(), p.meanServiceTime)
		if entry == nil {
			return
		}
		r := entry.Value
		if p.tooLate(now, r) {
			p.queue.Finish(r.Workspace, p.meanServiceTime, 0)
			p.fail(now, r, model.ReasonDeadline)
			continue
		}
		p.dispatch(now, r, p.chooseServer(now, r, ready.servingClasses[r.class()]), false)
	}
}

// tooLate reports whether a request waited so long that it would probably not be
// answered by its deadline, which would waste the slot. Every request may spend
// half of its time in the queue, so that those with short deadlines are not all
// dropped.
func (p *Pool) tooLate(now time.Time, r *request) bool {
	return r.Deadline.Sub(now) < p.neededTime(r.Request)
}

// neededTime returns the time that an attempt of the request probably needs, but
// at most half of the time from the request's arrival to its deadline.
func (p *Pool) neededTime(r Request) time.Duration {
	return min(p.hedgeDelay.Delay(), r.Deadline.Sub(r.Arrival)/2)
}

// freeSlots describes which classes of requests can get a slot.
type freeSlots struct {
	// servingClasses are the classes with a free slot of a serving server that is
	// not reserved for the other class.
	servingClasses fairqueue.ClassSet
	// lastResort reports whether a server that is suspect or on probation can take
	// a repeatable request.
	lastResort bool
}

// classes returns the classes that can be served now.
func (f freeSlots) classes() fairqueue.ClassSet {
	f.servingClasses[repeatable] = f.servingClasses[repeatable] || f.lastResort
	return f.servingClasses
}

func (p *Pool) freeSlots(now time.Time) freeSlots {
	usable, free, lastResort := 0.0, 0, false
	for _, s := range p.servers {
		switch {
		case s.status == Serving:
			usable += p.usableSlots(now, s)
			free += s.free(now, p.cfg.Readmission.RampTime)
		case s.status == Suspect:
			lastResort = lastResort || s.free(now, p.cfg.Readmission.RampTime) > 0
		case s.status == Probation:
			lastResort = lastResort || (s.idle(now) && p.retryBudget.Available())
		}
	}
	reservedSlots := p.reservedSlots(int(usable))
	return freeSlots{lastResort: lastResort, servingClasses: fairqueue.ClassSet{
		repeatable:    free > p.unusedReserve(now, notRepeatable, reservedSlots),
		notRepeatable: free > p.unusedReserve(now, repeatable, reservedSlots),
	}}
}

// reservedSlots returns the number of slots reserved for each class if the
// serving servers have this many slots.
func (p *Pool) reservedSlots(slots int) int {
	reserved := int(max(0, p.cfg.ReserveShare) * float64(slots))
	if reserved == 0 && p.cfg.ReserveShare > 0 && slots >= minReserveSlots {
		return 1
	}
	return reserved
}

// unusedReserve returns the number of slots reserved for a class that it does not
// use now; zero if its reserve has ended.
func (p *Pool) unusedReserve(now time.Time, class fairqueue.Class, reserve int) int {
	if p.lastArrival[class].IsZero() || now.Sub(p.lastArrival[class]) >= p.cfg.ReserveIdleTimeout {
		return 0
	}
	return max(0, reserve-p.usedSlots[class])
}

// reserveWake returns when the reserve of a class ends next, so that its slots
// can go to queued requests; zero if nothing is queued or no reserve is held.
func (p *Pool) reserveWake(now time.Time) time.Time {
	var wake time.Time
	if p.queue.Len() == 0 {
		return wake
	}
	for _, lastArrival := range p.lastArrival {
		if end := lastArrival.Add(p.cfg.ReserveIdleTimeout); end.After(now) {
			wake = earlier(wake, end)
		}
	}
	return wake
}

// chooseServer returns the server for the next attempt of a request, or nil. In
// this order it prefers:
//   - for the first attempt of a repeatable request, an idle server on probation,
//     if the retry budget allows a retry;
//   - a serving server that the request has not tried;
//   - for repeatable requests, a suspect server that it has not tried;
//   - for repeatable requests without a live attempt that have tried all of
//     these servers, a serving or suspect server again.
//
// Serving servers are left out if serving is false.
func (p *Pool) chooseServer(now time.Time, r *request, serving bool) *server {
	if r.Repeatable && r.dispatched == 0 && p.retryBudget.Available() {
		if s := p.idleOnProbation(now); s != nil {
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
	if s = p.leastLoaded(now, Suspect, r.tried); s != nil || len(r.live) > 0 || p.hasUntriedServer(r) {
		return s
	}
	if s = p.leastLoaded(now, Serving, nil); s != nil && serving {
		return s
	}
	return p.leastLoaded(now, Suspect, nil)
}

// servingServer returns a serving server that the request has not tried, or nil.
// Repeatable requests go round robin to servers with a free slot. If they went to
// the least loaded server, a stalled server would have a single unanswered
// attempt for as long as others are idle, which is too little evidence against
// it. Other requests go to the least loaded server, and so avoid servers with
// unanswered attempts.
func (p *Pool) servingServer(now time.Time, r *request) *server {
	if r.Repeatable {
		return p.nextFreeServer(now, r.tried)
	}
	return p.leastLoaded(now, Serving, r.tried)
}

// nextFreeServer returns, round robin, the next serving server with a free slot
// that is not in except, or nil.
func (p *Pool) nextFreeServer(now time.Time, except []*server) *server {
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

// hasUntriedServer reports whether there is a server, free or not, that the
// request may use and has not tried.
func (p *Pool) hasUntriedServer(r *request) bool {
	for _, s := range p.servers {
		usable := s.status == Serving || (r.Repeatable && s.status == Suspect)
		if usable && !slices.Contains(r.tried, s) {
			return true
		}
	}
	return false
}

// idleOnProbation returns an idle server on probation, or nil.
func (p *Pool) idleOnProbation(now time.Time) *server {
	for _, s := range p.servers {
		if s.status == Probation && s.idle(now) {
			return s
		}
	}
	return nil
}

// leastLoaded returns the server with this status, not in except, that has a free
// slot and the smallest share of its allowed slots in use, or nil. Ties are
// broken round robin.
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
