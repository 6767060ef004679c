package detector

import (
	"math"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

const (
	// maxTrackedAttempts bounds the unanswered attempts that are tracked for one
	// server. Far fewer are enough to detect a stall.
	maxTrackedAttempts = 32
	// scoreLimit bounds scores, as a multiple of the threshold, so that the
	// score of a recovered server falls again within a few attempts.
	scoreLimit = 2
)

// timeoutHazard is the cumulative hazard beyond which a failure is treated as an
// unanswered attempt while the peers fail at priorRate or less. Fewer than 1% of
// answers come so late, so such an error is rare with healthy servers. The limit
// grows with the logarithm of the peers' failure rate, so that late errors remain
// as rare when the whole service fails.
const timeoutHazard = 5

// inFlightAttempt is an unanswered attempt. Times are on the observed clock.
type inFlightAttempt struct {
	id        model.AttemptID
	startedAt time.Duration
	// countedFrom is startedAt, or the time of a later reset of the evidence.
	countedFrom time.Duration
}

// serverState is the evidence about one server. It takes about 800 bytes without
// the unanswered attempts.
type serverState struct {
	id              model.ServerID
	inFlight        []inFlightAttempt
	failureScore    float64 // CUSUM score in nats, like the next two
	latencyScore    float64
	stallScore      float64 // from ended attempts only
	failures        uint16  // since failureScore was last zero
	connectFailures uint16  // those of failures that opened no connection
	outcomes        outcomeCounts
	lastFinished    time.Duration
	contribution    weightedSamples // its part of the pool's sums
	peerHazard      hazardTable     // of the other servers of the pool
}

// remove takes an attempt out of inFlight; false if it is not tracked.
func (s *serverState) remove(a model.AttemptID) (inFlightAttempt, bool) {
	for i, o := range s.inFlight {
		if o.id == a {
			last := len(s.inFlight) - 1
			s.inFlight[i] = s.inFlight[last]
			s.inFlight = s.inFlight[:last]
			return o, true
		}
	}
	return inFlightAttempt{}, false
}

// oldest returns the age of the oldest unanswered attempt.
func (s *serverState) oldest(clock time.Duration) time.Duration {
	var age time.Duration
	for _, o := range s.inFlight {
		age = max(age, clock-o.startedAt)
	}
	return age
}

// addFailure updates the failures score with one attempt, given the failure rate
// of the peers.
func (s *serverState) addFailure(p *Profile, kind Kind, peerRate float64) {
	odds := max(p.FailureRate/(1-p.FailureRate), p.FailureOdds*peerRate/(1-peerRate))
	unhealthyRate := odds / (1 + odds)
	if kind == Success {
		s.failureScore = max(s.failureScore+math.Log((1-unhealthyRate)/(1-peerRate)), 0)
		if s.failureScore == 0 {
			s.failures, s.connectFailures = 0, 0
		}
		return
	}
	gain := min(math.Log(unhealthyRate/peerRate), p.attemptCap(p.MinFailures))
	s.failureScore = min(s.failureScore+gain, scoreLimit*p.Threshold)
	s.failures++
	if kind == ConnectFailure {
		s.connectFailures++
	}
}

// addHazard updates the latency and stall scores with one ended attempt. The
// alternative hypothesis is that the server ends attempts at a fraction a of the
// peers' hazard h. An answer then contributes ln(a) + (1-a)h, and an attempt
// cancelled without an answer (1-a)h. A failure counts like an answer, which is
// the lower value, unless it is so late that it is treated as a timeout.
// toleratedHazard is the hazard after the tolerated slowdown. It replaces h except
// for unanswered attempts in the stall score.
func (s *serverState) addHazard(p *Profile, h, toleratedHazard, peerFailureRate float64, kind Kind) {
	late := timeoutHazard + math.Log(max(peerFailureRate/priorRate, 1))
	unanswered := kind == Cancelled || kind == Failure && h > late
	if !unanswered {
		h = toleratedHazard
	}
	updateScore := func(score, a, h float64, n int) float64 {
		gain := (1 - a) * h
		if !unanswered {
			gain += math.Log(a)
		}
		gain = min(gain, p.attemptCap(n))
		return min(max(score+gain, 0), scoreLimit*p.Threshold)
	}
	s.latencyScore = updateScore(s.latencyScore, p.LatencyHazard, toleratedHazard, p.MinSlow)
	s.stallScore = updateScore(s.stallScore, p.StallHazard, h, p.MinStalled)
}

// failureSignal returns the signal of the failures score. It is "connect" if most
// of the failures opened no connection, which points to the network link or to
// the server process rather than to its request handling.
func (s *serverState) failureSignal() string {
	if 2*s.connectFailures > s.failures {
		return SignalConnect
	}
	return SignalFailures
}
