package balance

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

const (
	// latencyWeight is the weight, in the moving averages of the service time, of
	// a sample that did not wait for a slot.
	latencyWeight = 0.25
	// queuedLatencyWeight is the weight of a sample that waited for a slot. Such a
	// sample is capped at maxQueuedLatencyFactor times the average.
	queuedLatencyWeight    = 0.05
	maxQueuedLatencyFactor = 2
	// serviceTimeLifetime is how long a server's own service time is used after its
	// last sample.
	serviceTimeLifetime = 6 * time.Second
	// attemptLifetime is how long an attempt counts as outstanding if its end is
	// never reported. It is above the usual timeouts of routes.
	attemptLifetime = 12 * time.Second
	// An unanswered attempt becomes evidence of failing after stallFactor times the
	// mean service time (more if it was queued), but not before minStallTime.
	stallFactor  = 3
	minStallTime = 500 * time.Millisecond
	// stallRatio is how much likelier such a stall is at a failing server than at
	// a serving one.
	stallRatio = 6
	// misdirectedHold is how long a server whose address was reused counts as
	// unreachable. It is longer than its stale entry stays listed.
	misdirectedHold = 10 * time.Second
	// shedBackoff is how long a server counts as shedding after it shed a request.
	// It doubles with each consecutive shed up to maxShedBackoff.
	shedBackoff    = 40 * time.Millisecond
	maxShedBackoff = 320 * time.Millisecond
)

// Result is the way in which an attempt ended.
type Result uint8

const (
	// Succeeded: a complete response that does not report a failure of the server.
	Succeeded Result = iota + 1
	// Failed: the server failed, or its response cannot be used.
	Failed
	// Shed: the server refused the request without running it.
	Shed
	// Misdirected: the address belongs to another server.
	Misdirected
	// Abandoned: the daemon cancelled the attempt or could not connect, so the
	// attempt is no evidence about the server.
	Abandoned
	// TimedOut: the attempt reached the deadline of its request. It is evidence
	// about the server only if it was stalled: a caller may wait for less time than
	// the service needs.
	TimedOut
)

// AttemptStarted records an attempt of this or another daemon of the data centre.
// retry is set for attempts beyond the first of a request, hedges included.
func (t *Table) AttemptStarted(now time.Time, k ServerKey, a AttemptKey, retry bool) {
	s, ok := t.servers[k]
	if !ok {
		return
	}
	svc := t.service(s.Service)
	if retry {
		svc.retries.add(now)
	} else {
		svc.arrivals.add(now)
	}
	if _, ok := t.attempts[a]; ok {
		return
	}
	started := &attempt{server: s, started: now, queueFactor: queueFactor(s.totalOutstanding(now), s.Slots), expected: svc.serviceTime}
	t.attempts[a] = started
	s.running = append(s.running, started)
	s.outstanding++
	s.lastSent = now
}

// queueFactor returns the expected latency, in service times, of an attempt at a
// server with the given number of outstanding attempts.
func queueFactor(outstanding, slots int) float64 {
	slots = max(1, slots)
	return 1 + float64(max(0, outstanding-slots+1))/float64(slots)
}

// AttemptFinished records the end of an attempt and returns the change of belief.
// The change is zero if the server is not in the table.
func (t *Table) AttemptFinished(now time.Time, k ServerKey, a AttemptKey, r Result, latency time.Duration) BeliefChange {
	ended := t.removeAttempt(a)
	s, ok := t.servers[k]
	if !ok {
		return BeliefChange{}
	}
	before := t.opts.Model.FailingProbability(s.belief, now)
	switch r {
	case Succeeded:
		s.belief = t.opts.Model.AfterSuccess(s.belief, now)
		s.lastEvidence, s.consecutiveSheds = now, 0
		t.recordServiceTime(now, s, ended, latency)
	case Failed:
		if !ended.stalled {
			s.belief = t.opts.Model.AfterFailure(s.belief, now)
		}
		s.lastEvidence, s.consecutiveSheds = now, 0
	case Shed:
		s.shedUntil = now.Add(min(maxShedBackoff, shedBackoff<<min(s.consecutiveSheds, 8)))
		s.consecutiveSheds++
	case Misdirected:
		s.unreachableUntil = now.Add(misdirectedHold)
	case TimedOut:
		if ended.stalled {
			// The rest of the evidence of a failure: a part was counted at the stall.
			s.belief = t.opts.Model.AfterEvidence(s.belief, now, t.opts.Model.failureRatio()/stallRatio)
			s.lastEvidence, s.consecutiveSheds = now, 0
		}
	case Abandoned:
	}
	return BeliefChange{Server: s.ID, Before: before, After: t.opts.Model.FailingProbability(s.belief, now)}
}

// BeliefChange holds the failing probability of a server before and after an
// event.
type BeliefChange struct {
	Server        model.ServerID
	Before, After float64
}

// MarkUnreachable records that this daemon could not connect to the server, and
// adds Costs.UnreachablePath to its cost for the hold time. The belief stays: the
// failure is evidence about the path, not about the server.
func (t *Table) MarkUnreachable(now time.Time, k ServerKey, hold time.Duration) {
	if s, ok := t.servers[k]; ok {
		s.unreachableUntil = now.Add(hold)
	}
}

// ApplyReport records the load report of another data centre: its outstanding
// attempts at all servers, and the failing probability of its own servers. A
// server that is not listed has no attempts from there.
func (t *Table) ApplyReport(now time.Time, from model.DataCentre, loads map[ServerKey]Load) {
	for k, s := range t.servers {
		l, ok := loads[k]
		if !ok && s.remoteLoads[from].Outstanding == 0 {
			continue
		}
		l.ReportedAt = now
		if s.remoteLoads == nil {
			s.remoteLoads = map[model.DataCentre]Load{}
		}
		s.remoteLoads[from] = l
	}
}

// Report calls visit for each entry of the load report to other data centres: the
// outstanding attempts and failing probability of this data centre's servers, and
// its outstanding attempts at servers elsewhere.
func (t *Table) Report(now time.Time, visit func(ServerKey, Load)) {
	for k, s := range t.servers {
		switch {
		case s.DataCentre == t.opts.DataCentre:
			visit(k, Load{Outstanding: s.outstanding, Work: t.localWork(now, s), FailingProbability: t.opts.Model.FailingProbability(s.belief, now), ReportedAt: now})
		case s.outstanding > 0:
			visit(k, Load{Outstanding: s.outstanding, Work: t.localWork(now, s), ReportedAt: now})
		}
	}
}

// RetainAttempts removes the attempts of a daemon that are not in its list of
// outstanding ones: the reports of their ends were lost.
func (t *Table) RetainAttempts(h model.HostID, numbers []uint64) {
	for a := range t.attempts {
		if a.Host == h && !slices.Contains(numbers, a.Number) {
			t.removeAttempt(a)
		}
	}
}

// RemoveHost removes the outstanding attempts of a daemon that has stopped.
func (t *Table) RemoveHost(h model.HostID) {
	for a := range t.attempts {
		if a.Host == h {
			t.removeAttempt(a)
		}
	}
}

// RetainHost removes the outstanding attempts of all daemons but one.
func (t *Table) RetainHost(h model.HostID) {
	for a := range t.attempts {
		if a.Host != h {
			t.removeAttempt(a)
		}
	}
}

// Tick updates the beliefs about servers with stalled attempts, once per attempt,
// and removes attempts older than attemptLifetime. It returns the changes of
// belief.
func (t *Table) Tick(now time.Time) []BeliefChange {
	var changes []BeliefChange
	for key, a := range t.attempts {
		age := now.Sub(a.started)
		if age > attemptLifetime {
			t.removeAttempt(key)
			continue
		}
		if !a.stalled && age > t.stallAfter(a) {
			a.stalled = true
			before := t.opts.Model.FailingProbability(a.server.belief, now)
			a.server.belief = t.opts.Model.AfterEvidence(a.server.belief, now, stallRatio)
			changes = append(changes, BeliefChange{Server: a.server.ID, Before: before, After: t.opts.Model.FailingProbability(a.server.belief, now)})
		}
	}
	return changes
}

// stallAfter returns the age from which an unanswered attempt counts as stalled.
func (t *Table) stallAfter(a *attempt) time.Duration {
	serviceTime := float64(t.service(a.server.Service).serviceTime)
	return max(minStallTime, time.Duration(serviceTime*(stallFactor-1+a.queueFactor)))
}

// MeanServiceTime returns the moving average of a service's service time; zero if
// not known.
func (t *Table) MeanServiceTime(name model.ServiceName) time.Duration {
	return t.service(name).serviceTime
}

// removeAttempt removes and returns an attempt. One whose start was not reported
// is returned as not queued.
func (t *Table) removeAttempt(a AttemptKey) attempt {
	found, ok := t.attempts[a]
	if !ok {
		return attempt{queueFactor: 1}
	}
	delete(t.attempts, a)
	found.server.outstanding--
	found.server.running = slices.DeleteFunc(found.server.running, func(x *attempt) bool { return x == found })
	return *found
}

// recordServiceTime adds the service time of a finished attempt to those of the service and
// the server. The server's is in relation to the attempt's estimate: a server that ran a
// costly request is not slow.
func (t *Table) recordServiceTime(now time.Time, s *server, ended attempt, latency time.Duration) {
	svc := t.service(s.Service)
	serviceTime, queued := time.Duration(float64(latency)/ended.queueFactor), ended.queueFactor > 1
	own := serviceTime
	if ended.expected > 0 && svc.serviceTime > 0 {
		own = time.Duration(float64(serviceTime) * float64(svc.serviceTime) / float64(ended.expected))
		if !queued {
			svc.remainders.Observe(ended.expected, serviceTime)
		}
	}
	svc.serviceTime = averageServiceTime(svc.serviceTime, serviceTime, queued)
	if now.Sub(s.serviceTimeAt) > serviceTimeLifetime {
		s.serviceTime = 0
	}
	s.serviceTime, s.serviceTimeAt = averageServiceTime(s.serviceTime, own, queued), now
}

// averageServiceTime returns the moving average with the sample added. A queued
// sample has a lower weight and is capped, because it may include waiting for
// attempts that this daemon does not know of.
func averageServiceTime(mean, sample time.Duration, queued bool) time.Duration {
	weight := latencyWeight
	if queued && mean > 0 {
		weight = queuedLatencyWeight
		sample = min(sample, maxQueuedLatencyFactor*mean)
	}
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(weight*float64(sample-mean))
}
