package balance

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

const (
	// latencyWeight is the weight of a sample that did not wait for a slot in the
	// moving averages.
	latencyWeight = 0.25
	// queuedLatencyWeight is the weight of a sample that waited for a slot, which
	// counts up to queuedLatencyMax times the average.
	queuedLatencyWeight = 0.05
	queuedLatencyMax    = 2
	// slowMemory is how long a server's own latency counts after its last sample.
	slowMemory = 6 * time.Second
	// attemptLifetime bounds how long an attempt counts as outstanding if its
	// end is never heard of; it is above the usual time-outs of routes.
	attemptLifetime = 12 * time.Second
	// stallFactor times the mean service time, and at least stallMin, is when an
	// unanswered attempt becomes evidence.
	stallFactor = 3
	stallMin    = 500 * time.Millisecond
	// stallRatio is how much likelier such an attempt is at a failing server.
	stallRatio = 6
	// misdirectedHold outlasts the entry of a server whose address was reused.
	misdirectedHold = 10 * time.Second
	// shedPause is how long a server that shed a request is passed over; it
	// doubles with each shed in a row up to shedPauseMax.
	shedPause    = 40 * time.Millisecond
	shedPauseMax = 320 * time.Millisecond
)

// Result is how an attempt ended.
type Result uint8

const (
	// Succeeded: a whole answer that is not a server's own failure.
	Succeeded Result = iota + 1
	// Failed: a failure of the server, or an answer that cannot be used.
	Failed
	// Shed: the server refused without running the request.
	Shed
	// Misdirected: another server has the address.
	Misdirected
	// Abandoned: this side ended the attempt; it says nothing about the server.
	Abandoned
)

// AttemptStarted records an attempt of this or another daemon of the data centre.
// Repeat marks an arrival beyond the first of its request.
func (t *Table) AttemptStarted(now time.Time, k ServerKey, a AttemptKey, repeat bool) {
	s, ok := t.servers[k]
	if !ok {
		return
	}
	group := t.service(s.Service)
	if repeat {
		group.repeats.add(now)
	} else {
		group.arrivals.add(now)
	}
	if _, ok := t.attempts[a]; ok {
		return
	}
	t.attempts[a] = &attempt{server: s, started: now, rounds: rounds(s.load(now), s.Slots)}
	s.outstanding++
	s.probed = now
}

// rounds returns how many service times an attempt takes at a server with so
// many outstanding ones.
func rounds(outstanding, slots int) float64 {
	slots = max(1, slots)
	return 1 + float64(max(0, outstanding-slots+1))/float64(slots)
}

// AttemptFinished records the end of an attempt and returns the change of belief.
func (t *Table) AttemptFinished(now time.Time, k ServerKey, a AttemptKey, r Result, latency time.Duration) BeliefChange {
	ended := t.release(a)
	s, ok := t.servers[k]
	if !ok {
		return BeliefChange{}
	}
	before := t.opts.Model.FailingProbability(s.belief, now)
	switch r {
	case Succeeded:
		s.belief = t.opts.Model.AfterSuccess(s.belief, now)
		s.heard, s.sheds = now, 0
		t.sample(now, s, time.Duration(float64(latency)/ended.rounds), ended.rounds > 1)
	case Failed:
		if !ended.stalled {
			s.belief = t.opts.Model.AfterFailure(s.belief, now)
		}
		s.heard, s.sheds = now, 0
	case Shed:
		s.shedUntil = now.Add(min(shedPauseMax, shedPause<<min(s.sheds, 8)))
		s.sheds++
	case Misdirected:
		s.unreachableUntil = now.Add(misdirectedHold)
	case Abandoned:
	}
	return BeliefChange{Server: s.ID, Before: before, After: t.opts.Model.FailingProbability(s.belief, now)}
}

// BeliefChange is a change of belief about a server.
type BeliefChange struct {
	Server        model.ServerID
	Before, After float64
}

// MarkUnreachable records that this daemon could not open a connection, which is
// evidence about the path and not about the server.
func (t *Table) MarkUnreachable(now time.Time, k ServerKey, hold time.Duration) {
	if s, ok := t.servers[k]; ok {
		s.unreachableUntil = now.Add(hold)
	}
}

// ApplyReport records the digest of another data centre: its attempts at all
// servers, and its belief about its own. Servers that it does not list have none
// of its attempts.
func (t *Table) ApplyReport(now time.Time, from model.DataCentre, loads map[ServerKey]Load) {
	for k, s := range t.servers {
		l, ok := loads[k]
		if !ok && s.elsewhere[from].Outstanding == 0 {
			continue
		}
		l.ReportedAt = now
		if s.elsewhere == nil {
			s.elsewhere = map[model.DataCentre]Load{}
		}
		s.elsewhere[from] = l
	}
}

// Report lists the load and the belief about this data centre's servers, and
// its load on others, for other data centres.
func (t *Table) Report(now time.Time, each func(ServerKey, Load)) {
	for k, s := range t.servers {
		switch {
		case s.DataCentre == t.opts.DataCentre:
			each(k, Load{Outstanding: s.outstanding, FailingProbability: t.opts.Model.FailingProbability(s.belief, now), ReportedAt: now})
		case s.outstanding > 0:
			each(k, Load{Outstanding: s.outstanding, ReportedAt: now})
		}
	}
}

// RetainAttempts forgets the attempts of a daemon that are not in the list: their
// ends were not heard.
func (t *Table) RetainAttempts(h model.HostID, numbers []uint64) {
	for a := range t.attempts {
		if a.Host == h && !slices.Contains(numbers, a.Number) {
			t.release(a)
		}
	}
}

// RemoveHost forgets the outstanding attempts of a daemon that has ended.
func (t *Table) RemoveHost(h model.HostID) {
	for a := range t.attempts {
		if a.Host == h {
			t.release(a)
		}
	}
}

// Tick turns attempts that have been unanswered for long into evidence, and
// forgets those whose end was not heard. It returns the changes.
func (t *Table) Tick(now time.Time) []BeliefChange {
	var changes []BeliefChange
	for key, a := range t.attempts {
		age := now.Sub(a.started)
		if age > attemptLifetime {
			t.release(key)
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

func (t *Table) stallAfter(a *attempt) time.Duration {
	work := float64(t.service(a.server.Service).work)
	return max(stallMin, time.Duration(work*(stallFactor-1+a.rounds)))
}

// MeanServiceTime returns the mean service time of a service; zero if it is not known.
func (t *Table) MeanServiceTime(name model.ServiceName) time.Duration { return t.service(name).work }

// release ends an attempt; one whose start was not heard counts as unqueued.
func (t *Table) release(a AttemptKey) attempt {
	found, ok := t.attempts[a]
	if !ok {
		return attempt{rounds: 1}
	}
	delete(t.attempts, a)
	found.server.outstanding--
	return *found
}

// sample updates the service times. A queued attempt also waited for attempts
// that this daemon does not know of, so that it counts less and only up to a
// bound.
func (t *Table) sample(now time.Time, s *server, work time.Duration, queued bool) {
	group := t.service(s.Service)
	group.work = averageWork(group.work, work, queued)
	if now.Sub(s.timed) > slowMemory {
		s.work = 0
	}
	s.work, s.timed = averageWork(s.work, work, queued), now
}

func averageWork(mean, sample time.Duration, queued bool) time.Duration {
	weight := latencyWeight
	if queued && mean > 0 {
		weight = queuedLatencyWeight
		sample = min(sample, queuedLatencyMax*mean)
	}
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(weight*float64(sample-mean))
}
