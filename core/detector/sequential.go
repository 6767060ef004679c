package detector

import (
	"math"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// activeWindow is how long a server counts as a peer after its last answer.
const activeWindow = 10 * time.Second

// Sequential runs three cumulative-sum (CUSUM) tests on each server, all
// relative to its peers in the pool and all in log-likelihood ratios: on
// failures, on the latency of answers, and on unanswered attempts. Latencies
// are compared on the scale of the peers' cumulative hazard, where a healthy
// server's samples are exponential with mean 1 whatever the service does, and
// where an unanswered attempt counts with the likelihood of having waited so
// long. A server is suspected when its score exceeds the threshold plus a
// multiple of its peers' median score.
//
// NextWake asks for a call at least every half MaxGap while attempts are
// unanswered. A gap between calls that is longer than MaxGap is taken as a pause
// of our own process, during which answers may have arrived unread; half MaxGap
// of it is counted as waiting.
type Sequential struct {
	profile Profile
	servers map[model.ServerID]*serverState
	list    []*serverState // the same servers
	ref     reference
	base    time.Time
	clock   time.Duration // observed time since base, without pauses
	paused  time.Duration
	resumed time.Duration // observed time of the end of the last pause
	open    int
	shift   float64 // ln of the pool's recent slowdown, 0 or more
	speed   float64 // exp(-shift)
	unshift int     // answers until shift is computed again
	scratch []float64
}

var _ Detector = (*Sequential)(nil)

// NewSequential returns a detector with the thresholds of p, which must be
// valid (see Profile.Validate).
func NewSequential(p Profile) *Sequential {
	return &Sequential{profile: p, servers: map[model.ServerID]*serverState{}, ref: newReference(p), resumed: math.MinInt64}
}

// advance moves the observed clock to now and leaves out pauses.
func (q *Sequential) advance(now time.Time) {
	if q.base.IsZero() {
		q.base = now
	}
	gap := now.Sub(q.base) - q.paused - q.clock
	if gap <= 0 {
		return
	}
	if q.open > 0 && gap > q.profile.MaxGap {
		q.paused += gap - q.profile.MaxGap/2
		gap = q.profile.MaxGap / 2
		q.resumed = q.clock + gap
	}
	q.clock += gap
}

func (q *Sequential) state(id model.ServerID) *serverState {
	s := q.servers[id]
	if s == nil {
		s = &serverState{id: id, lastEnd: -activeWindow}
		q.servers[id] = s
		q.list = append(q.list, s)
	}
	return s
}

// Started implements Detector.
func (q *Sequential) Started(now time.Time, id model.ServerID, a model.AttemptID) {
	q.advance(now)
	s := q.state(id)
	if len(s.open) < maxOpen {
		s.open = append(s.open, openAttempt{id: a, began: q.clock, from: q.clock})
		q.open++
	}
}

// Finished implements Detector. Shed changes no score. A failure of an attempt
// that a pause of our own process interrupted counts as cancelled, since our
// timers run out during a pause.
func (q *Sequential) Finished(now time.Time, id model.ServerID, a model.AttemptID, r Result) {
	q.advance(now)
	s := q.servers[id]
	if s == nil {
		return
	}
	latency, began := r.Latency, q.clock-r.Latency
	if o, ok := s.remove(a); ok {
		q.open--
		latency, began = min(latency, q.clock-o.from), o.began
	}
	kind := r.Kind
	if (kind == Failure || kind == ConnectFailure) && began <= q.resumed {
		kind = Cancelled
	}
	s.lastEnd = q.clock
	q.score(s, kind, max(latency, 0))
}

func (q *Sequential) score(s *serverState, kind Kind, latency time.Duration) {
	switch kind {
	case Success, Failure:
		s.ends.add(kind == Failure)
		s.addFailure(&q.profile, kind, q.ref.failureRate(&s.own))
		s.addHazard(&q.profile, q.hazard(s, latency), false)
		if kind == Success {
			s.addRecent(latency)
			q.ref.addLatency(&s.own, latency, true)
			q.countAnswer()
		}
		q.addOutcome(s, kind == Failure)
	case ConnectFailure:
		s.ends.add(true)
		s.addFailure(&q.profile, kind, q.ref.failureRate(&s.own))
		q.addOutcome(s, true)
	case Cancelled:
		s.addHazard(&q.profile, q.hazard(s, latency), true)
		q.ref.addLatency(&s.own, latency, false)
	}
}

func (q *Sequential) addOutcome(s *serverState, failed bool) {
	q.ref.addOutcome(&s.own, failed, len(q.servers))
	if long, short, needed := q.ref.rescaleFactors(); needed {
		q.ref.pool.scale(long, short)
		for _, s := range q.list {
			s.own.scale(long, short)
		}
	}
}

// hazard returns the peers' cumulative hazard at a latency after correcting it
// for a recent slowdown of the whole pool.
func (q *Sequential) hazard(s *serverState, d time.Duration) float64 {
	if q.shift > 0 {
		d = time.Duration(float64(d) * q.speed)
	}
	if s.peers.due <= q.ref.events {
		q.ref.fill(&s.peers, &s.own)
	}
	return s.peers.at(d)
}

// countAnswer recomputes the pool's recent slowdown once for as many answers as
// there are servers, so that the cost for each answer does not grow with them.
func (q *Sequential) countAnswer() {
	if q.unshift--; q.unshift > 0 {
		return
	}
	q.unshift = len(q.servers)
	q.shift = 0
	median, ok := q.ref.logMedian()
	recent := q.scratch[:0]
	for _, s := range q.list {
		if s.sampled && q.active(s) {
			recent = append(recent, s.fast)
		}
	}
	q.scratch = recent
	if ok && len(recent) > 0 {
		slices.Sort(recent)
		q.shift = max(recent[(len(recent)-1)/2]-median, 0)
		q.speed = math.Exp(-q.shift)
	}
}

func (q *Sequential) active(s *serverState) bool {
	return len(s.open) > 0 || q.clock-s.lastEnd < activeWindow
}

// Reset implements Detector. Unanswered attempts are counted from now on.
func (q *Sequential) Reset(now time.Time, id model.ServerID) {
	q.advance(now)
	s := q.servers[id]
	if s == nil {
		return
	}
	q.ref.remove(&s.own)
	open := s.open
	for i := range open {
		open[i].from = q.clock
	}
	*s = serverState{id: id, open: open, lastEnd: -activeWindow}
	q.ref.events += refreshEvery // all tables are stale
}

// Forget implements Detector.
func (q *Sequential) Forget(id model.ServerID) {
	if s := q.servers[id]; s != nil {
		q.open -= len(s.open)
		q.ref.remove(&s.own)
		q.ref.events += refreshEvery // all tables are stale
		delete(q.servers, id)
		q.list = slices.DeleteFunc(q.list, func(o *serverState) bool { return o == s })
	}
}

// stallAt returns the stall score at a time on the observed clock: that of
// ended attempts plus the survival likelihood of the unanswered ones. Each is
// reduced by ln of their number, because among n healthy attempts the longest
// has a hazard of about ln n.
func (q *Sequential) stallAt(s *serverState, at time.Duration) float64 {
	score := s.stall
	if len(s.open) == 0 {
		return score
	}
	crowd := math.Log(float64(len(s.open)))
	limit := q.profile.capFor(q.profile.MinStalled)
	for _, o := range s.open {
		gain := (1 - q.profile.StallHazard) * (q.hazard(s, at-o.from) - crowd)
		score += min(max(gain, 0), limit)
	}
	return score
}
