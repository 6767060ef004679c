package detector

import (
	"math"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// activeWindow is how long a server counts as a peer after its last answer.
const activeWindow = 10 * time.Second

const (
	// silenceFactor is the multiple of the mean time between the pool's answers
	// after which silence no longer counts as waiting. Of exponential times 0.7%
	// exceed five times their mean.
	silenceFactor = 5
	// intervalWeight is the weight of a new sample in that mean.
	intervalWeight = 1.0 / 64
)

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
	// answered is the observed time of the pool's last answer and interval the
	// mean observed time between answers, in nanoseconds.
	answered time.Duration
	interval float64
	open     int
	recent   recentAnswers
	// speed is the inverse of the pool's recent slowdown, at most 1.
	speed float64
	// threshold is the profile's at the pool's present rate.
	threshold float64
	// peers caches peerScores until the next event or the next moment.
	peers *peerScores
}

var _ Detector = (*Sequential)(nil)

// NewSequential returns a detector with the thresholds of p, which must be
// valid (see Profile.Validate).
func NewSequential(p Profile) *Sequential {
	return &Sequential{profile: p, servers: map[model.ServerID]*serverState{}, ref: newReference(p), resumed: math.MinInt64, speed: 1, threshold: p.Threshold}
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
	q.clock += q.withoutSilence(gap)
	q.peers = nil
}

// withoutSilence cuts an advance of the clock at the longest silence of the
// pool that still counts as waiting. While no server answers, an unanswered
// attempt is no evidence against one of them.
func (q *Sequential) withoutSilence(gap time.Duration) time.Duration {
	limit := q.answered + max(q.profile.MaxGap, time.Duration(silenceFactor*q.interval))
	if q.interval == 0 || q.clock+gap <= limit {
		return gap
	}
	cut := q.clock + gap - max(limit, q.clock)
	q.paused += cut
	return gap - cut
}

// heardAnswer notes that the pool is answering.
func (q *Sequential) heardAnswer() {
	gap := float64(q.clock - q.answered)
	if q.interval == 0 {
		q.interval = gap
	}
	q.interval += (gap - q.interval) * intervalWeight
	q.answered = q.clock
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
	q.peers = nil
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
	q.peers = nil
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
	if kind == Success || kind == Shed {
		q.heardAnswer()
	}
	q.score(s, kind, max(latency, 0))
}

func (q *Sequential) score(s *serverState, kind Kind, latency time.Duration) {
	switch kind {
	case Success, Failure:
		s.ends.add(kind == Failure)
		failing := q.ref.failureRate(&s.own)
		s.addFailure(&q.profile, kind, failing)
		s.addHazard(&q.profile, q.hazard(s, latency), q.tolerant(s, latency), failing, kind)
		if kind == Success {
			q.ref.addLatency(&s.own, latency, true)
			q.noteAnswer(latency)
		}
		q.addOutcome(s, kind == Failure)
	case ConnectFailure:
		s.ends.add(true)
		s.addFailure(&q.profile, kind, q.ref.failureRate(&s.own))
		q.addOutcome(s, true)
	case Cancelled:
		s.addHazard(&q.profile, q.hazard(s, latency), q.tolerant(s, latency), 0, kind)
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
	if s.peers.due <= q.ref.events {
		q.ref.fill(&s.peers, &s.own)
	}
	return s.peers.at(time.Duration(float64(d) * q.speed))
}

// tolerant returns the hazard of an answer after the tolerated slowdown.
func (q *Sequential) tolerant(s *serverState, d time.Duration) float64 {
	return q.hazard(s, time.Duration(float64(d)/q.profile.SlowFactor))
}

// noteAnswer follows the pool's rate and its recent slowdown: the ratio of the medians of
// the recent and of the reference's answers. One sick server in two cannot
// move the lower median.
func (q *Sequential) noteAnswer(d time.Duration) {
	recent, computed := q.recent.add(d)
	if !computed {
		return
	}
	rate := float64(time.Second) / max(q.interval*float64(len(q.list)), 1)
	q.threshold = q.profile.thresholdAt(rate)
	q.speed = 1
	if reference, ok := q.ref.logMedian(); ok {
		q.speed = min(math.Exp(reference-recent), 1)
	}
}

func (q *Sequential) active(s *serverState) bool {
	return len(s.open) > 0 || q.clock-s.lastEnd < activeWindow
}

// Reset implements Detector. Unanswered attempts are counted from now on.
func (q *Sequential) Reset(now time.Time, id model.ServerID) {
	q.advance(now)
	q.peers = nil
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
	q.peers = nil
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
