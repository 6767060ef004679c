package detector

import (
	"math"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// activeWindow is how long a server counts as a peer after its last finished
// attempt.
const activeWindow = 10 * time.Second

const (
	// silenceFactor is the multiple of the mean time between the pool's answers
	// beyond which a time without answers no longer counts as waiting. Of
	// exponentially distributed intervals 0.7% exceed five times their mean.
	silenceFactor = 5
	// meanIntervalWeight is the weight of a new sample in that mean, an
	// exponentially weighted moving average.
	meanIntervalWeight = 1.0 / 64
)

// Sequential runs three cumulative-sum (CUSUM) tests on each server, all
// relative to its peers in the pool and all in log-likelihood ratios: on
// failures, on the latency of answers, and on unanswered attempts. Latencies
// are compared on the scale of the peers' cumulative hazard, where a healthy
// server's samples are exponential with mean 1 whatever the service does. An
// unanswered attempt contributes the likelihood of having waited for its age so
// far. A server is suspected when its score exceeds the threshold plus a multiple
// of its peers' median score.
//
// NextWake asks for a call at least every half MaxGap while attempts are
// unanswered. A gap between calls that is longer than MaxGap is treated as a
// pause of the proxy process, during which answers may have arrived unread. Half
// MaxGap of it counts as waiting.
type Sequential struct {
	profile Profile
	servers map[model.ServerID]*serverState
	list    []*serverState // the values of servers
	ref     reference
	base    time.Time
	clock   time.Duration // observed clock: time since base, without pauses and silences
	paused  time.Duration // total time left out of clock
	resumed time.Duration // observed time of the end of the last pause
	// lastAnswer is the observed time of the pool's last answer and meanInterval
	// the mean observed time between answers, in nanoseconds.
	lastAnswer   time.Duration
	meanInterval float64
	inFlight     int
	recent       recentAnswers
	// latencyScale corrects latencies for a recent slowdown of the whole pool.
	// It is the inverse of the slowdown, at most 1.
	latencyScale float64
	// threshold is the profile's threshold at the current rate of the pool.
	threshold float64
	// cachedPeerScores is the result of peerScores until the next event or
	// advance of the clock.
	cachedPeerScores *peerScores
}

var _ Detector = (*Sequential)(nil)

// NewSequential returns a detector with the thresholds of p, which must be
// valid (see Profile.Validate).
func NewSequential(p Profile) *Sequential {
	return &Sequential{profile: p, servers: map[model.ServerID]*serverState{}, ref: newReference(p), resumed: math.MinInt64, latencyScale: 1, threshold: p.Threshold}
}

// advance moves the observed clock forward to now, without pauses and silences.
func (q *Sequential) advance(now time.Time) {
	if q.base.IsZero() {
		q.base = now
	}
	gap := now.Sub(q.base) - q.paused - q.clock
	if gap <= 0 {
		return
	}
	if q.inFlight > 0 && gap > q.profile.MaxGap {
		q.paused += gap - q.profile.MaxGap/2
		gap = q.profile.MaxGap / 2
		q.resumed = q.clock + gap
	}
	q.clock += q.excludeSilence(gap)
	q.cachedPeerScores = nil
}

// excludeSilence returns the part of gap that counts as waiting. Time since the
// pool's last answer counts only up to a limit, because while no server answers,
// an unanswered attempt is no evidence against a single server.
func (q *Sequential) excludeSilence(gap time.Duration) time.Duration {
	limit := q.lastAnswer + max(q.profile.MaxGap, time.Duration(silenceFactor*q.meanInterval))
	if q.meanInterval == 0 || q.clock+gap <= limit {
		return gap
	}
	cut := q.clock + gap - max(limit, q.clock)
	q.paused += cut
	return gap - cut
}

// recordAnswerTime updates the time of the pool's last answer and the mean time
// between answers.
func (q *Sequential) recordAnswerTime() {
	gap := float64(q.clock - q.lastAnswer)
	if q.meanInterval == 0 {
		q.meanInterval = gap
	}
	q.meanInterval += (gap - q.meanInterval) * meanIntervalWeight
	q.lastAnswer = q.clock
}

func (q *Sequential) state(id model.ServerID) *serverState {
	s := q.servers[id]
	if s == nil {
		s = &serverState{id: id, lastFinished: -activeWindow}
		q.servers[id] = s
		q.list = append(q.list, s)
	}
	return s
}

// Started implements Detector.
func (q *Sequential) Started(now time.Time, id model.ServerID, a model.AttemptID) {
	q.advance(now)
	q.cachedPeerScores = nil
	s := q.state(id)
	if len(s.inFlight) < maxTrackedAttempts {
		s.inFlight = append(s.inFlight, inFlightAttempt{id: a, startedAt: q.clock, countedFrom: q.clock})
		q.inFlight++
	}
}

// Finished implements Detector. Shed changes no score. The failure of an attempt
// that was in flight during a pause of the proxy process counts as a
// cancellation, because the proxy's own timers expire during a pause.
func (q *Sequential) Finished(now time.Time, id model.ServerID, a model.AttemptID, r Result) {
	q.advance(now)
	q.cachedPeerScores = nil
	s := q.servers[id]
	if s == nil {
		return
	}
	latency, startedAt := r.Latency, q.clock-r.Latency
	if o, ok := s.remove(a); ok {
		q.inFlight--
		latency, startedAt = min(latency, q.clock-o.countedFrom), o.startedAt
	}
	kind := r.Kind
	if (kind == Failure || kind == ConnectFailure) && startedAt <= q.resumed {
		kind = Cancelled
	}
	s.lastFinished = q.clock
	if kind == Success || kind == Shed {
		q.recordAnswerTime()
	}
	q.score(s, kind, max(latency, 0))
}

func (q *Sequential) score(s *serverState, kind Kind, latency time.Duration) {
	switch kind {
	case Success, Failure:
		s.outcomes.add(kind == Failure)
		failing := q.ref.failureRate(&s.contribution)
		s.addFailure(&q.profile, kind, failing)
		s.addHazard(&q.profile, q.hazard(s, latency), q.toleratedHazard(s, latency), failing, kind)
		if kind == Success {
			q.ref.addLatency(&s.contribution, latency, true)
			q.recordAnswerLatency(latency)
		}
		q.addOutcome(s, kind == Failure)
	case ConnectFailure:
		s.outcomes.add(true)
		s.addFailure(&q.profile, kind, q.ref.failureRate(&s.contribution))
		q.addOutcome(s, true)
	case Cancelled:
		s.addHazard(&q.profile, q.hazard(s, latency), q.toleratedHazard(s, latency), 0, kind)
		q.ref.addLatency(&s.contribution, latency, false)
	}
}

func (q *Sequential) addOutcome(s *serverState, failed bool) {
	q.ref.addOutcome(&s.contribution, failed, len(q.servers))
	if long, short, needed := q.ref.rescaleFactors(); needed {
		q.ref.pool.scale(long, short)
		for _, s := range q.list {
			s.contribution.scale(long, short)
		}
	}
}

// hazard returns the peers' cumulative hazard at a latency after correcting it
// for a recent slowdown of the whole pool.
func (q *Sequential) hazard(s *serverState, d time.Duration) float64 {
	if s.peerHazard.staleAt <= q.ref.events {
		q.ref.fillPeerHazard(&s.peerHazard, &s.contribution)
	}
	return s.peerHazard.at(time.Duration(float64(d) * q.latencyScale))
}

// toleratedHazard returns the hazard at a latency divided by SlowFactor.
func (q *Sequential) toleratedHazard(s *serverState, d time.Duration) float64 {
	return q.hazard(s, time.Duration(float64(d)/q.profile.SlowFactor))
}

// recordAnswerLatency updates the threshold from the pool's rate and latencyScale
// from its recent slowdown. The slowdown is the ratio of the median latencies of
// the recent answers and of the reference. One slow server in a pool of two
// cannot move the recent median, because it is the lower one.
func (q *Sequential) recordAnswerLatency(d time.Duration) {
	recent, computed := q.recent.add(d)
	if !computed {
		return
	}
	rate := float64(time.Second) / max(q.meanInterval*float64(len(q.list)), 1)
	q.threshold = q.profile.thresholdAt(rate)
	q.latencyScale = 1
	if reference, ok := q.ref.logMedian(); ok {
		q.latencyScale = min(math.Exp(reference-recent), 1)
	}
}

// active reports whether a server counts as a peer.
func (q *Sequential) active(s *serverState) bool {
	return len(s.inFlight) > 0 || q.clock-s.lastFinished < activeWindow
}

// Reset implements Detector. The age of unanswered attempts is counted from now.
func (q *Sequential) Reset(now time.Time, id model.ServerID) {
	q.advance(now)
	q.cachedPeerScores = nil
	s := q.servers[id]
	if s == nil {
		return
	}
	q.ref.remove(&s.contribution)
	inFlight := s.inFlight
	for i := range inFlight {
		inFlight[i].countedFrom = q.clock
	}
	*s = serverState{id: id, inFlight: inFlight, lastFinished: -activeWindow}
	q.ref.events += refreshEvery // all tables are stale
}

// Forget implements Detector.
func (q *Sequential) Forget(id model.ServerID) {
	q.cachedPeerScores = nil
	if s := q.servers[id]; s != nil {
		q.inFlight -= len(s.inFlight)
		q.ref.remove(&s.contribution)
		q.ref.events += refreshEvery // all tables are stale
		delete(q.servers, id)
		q.list = slices.DeleteFunc(q.list, func(o *serverState) bool { return o == s })
	}
}

// stallAt returns the stall score at a time on the observed clock: the score of
// ended attempts plus the log-likelihood ratios of the unanswered ones. The
// hazard of each is reduced by ln n, where n is the number of unanswered
// attempts, because the longest of n healthy attempts has a hazard of about
// ln n.
func (q *Sequential) stallAt(s *serverState, at time.Duration) float64 {
	score := s.stallScore
	if len(s.inFlight) == 0 {
		return score
	}
	expectedMax := math.Log(float64(len(s.inFlight)))
	limit := q.profile.attemptCap(q.profile.MinStalled)
	for _, o := range s.inFlight {
		gain := (1 - q.profile.StallHazard) * (q.hazard(s, at-o.countedFrom) - expectedMax)
		score += min(max(gain, 0), limit)
	}
	return score
}
