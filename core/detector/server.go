package detector

import (
	"math"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

const (
	// maxOpen bounds the unanswered attempts that are tracked for one server.
	// It is far more than a stalled server's attempts need to be noticed.
	maxOpen = 32
	// fastWeight is the weight of a new sample in a server's recent latency:
	// three samples in a row move it by more than half.
	fastWeight = 0.3
	// scoreLimit bounds scores, in thresholds, so that a recovered server's
	// score falls again within a few attempts.
	scoreLimit = 2
)

// openAttempt is an unanswered attempt. Times are on the observed clock.
type openAttempt struct {
	id    model.AttemptID
	began time.Duration
	// from is began, or a later reset of the evidence.
	from time.Duration
}

// serverState is the evidence about one server, about 800 bytes without its
// unanswered attempts.
type serverState struct {
	id       model.ServerID
	open     []openAttempt
	fail     float64 // CUSUM scores in nats
	slow     float64
	stall    float64 // of ended attempts only
	failures uint16  // since fail was last zero
	connects uint16  // of failures, those without a connection
	ends     ends
	fast     float64 // moving average of ln(latency in seconds)
	sampled  bool    // fast holds at least one sample
	lastEnd  time.Duration
	own      tally
	peers    hazardTable
}

func (s *serverState) remove(a model.AttemptID) (openAttempt, bool) {
	for i, o := range s.open {
		if o.id == a {
			last := len(s.open) - 1
			s.open[i] = s.open[last]
			s.open = s.open[:last]
			return o, true
		}
	}
	return openAttempt{}, false
}

func (s *serverState) oldest(clock time.Duration) time.Duration {
	var age time.Duration
	for _, o := range s.open {
		age = max(age, clock-o.began)
	}
	return age
}

// addFailure moves the failures score by one attempt given the peers' rate.
func (s *serverState) addFailure(p *Profile, kind Kind, peers float64) {
	odds := max(p.FailureRate/(1-p.FailureRate), p.FailureOdds*peers/(1-peers))
	sick := odds / (1 + odds)
	if kind == Success {
		s.fail = max(s.fail+math.Log((1-sick)/(1-peers)), 0)
		if s.fail == 0 {
			s.failures, s.connects = 0, 0
		}
		return
	}
	gain := min(math.Log(sick/peers), p.capFor(p.MinFailures))
	s.fail = min(s.fail+gain, scoreLimit*p.Threshold)
	s.failures++
	if kind == ConnectFailure {
		s.connects++
	}
}

// addHazard moves the latency and stall scores by one ended attempt. The
// alternative is that the server ends attempts at a fraction a of the peers'
// hazard, so an answer contributes ln(a) + (1-a)h and an attempt cancelled
// without an answer (1-a)h. A failure counts like an answer, the lower value.
func (s *serverState) addHazard(p *Profile, h float64, cancelled bool) {
	move := func(score, a float64, n int) float64 {
		gain := (1 - a) * h
		if !cancelled {
			gain += math.Log(a)
		}
		gain = min(gain, p.capFor(n))
		return min(max(score+gain, 0), scoreLimit*p.Threshold)
	}
	s.slow = move(s.slow, p.LatencyHazard, p.MinSlow)
	s.stall = move(s.stall, p.StallHazard, p.MinStalled)
}

// addRecent moves the average of recent latencies.
func (s *serverState) addRecent(d time.Duration) {
	x := math.Log(max(d, firstBucket).Seconds())
	if !s.sampled {
		s.fast, s.sampled = x, true
		return
	}
	s.fast += fastWeight * (x - s.fast)
}

// failureSignal names the failures score: "connect" if most of the failures
// that raised it opened no connection, which points at the link or at the
// process rather than at its work.
func (s *serverState) failureSignal() string {
	if 2*s.connects > s.failures {
		return SignalConnect
	}
	return SignalFailures
}
