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
	// scoreLimit bounds scores, in thresholds, so that a recovered server's
	// score falls again within a few attempts.
	scoreLimit = 2
)

// timeoutHazard is the cumulative hazard beyond which a failure is taken as an
// attempt that got no answer, at the assumed background rate of failures. Fewer
// than 1% of answers come so late, so an error among them is rare in healthy
// servers. It grows with the logarithm of the peers' rate of failures, so that
// late errors stay as rare when the whole service fails.
const timeoutHazard = 5

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
// without an answer (1-a)h. A failure counts like an answer, the lower value,
// unless it is so late that it is taken as a timeout. Of h, tolerant is the
// value after the tolerated slowdown; only an unanswered attempt counts fully,
// and only for the stall score. The peers' rate of failures is failing.
func (s *serverState) addHazard(p *Profile, h, tolerant, failing float64, kind Kind) {
	late := timeoutHazard + math.Log(max(failing/priorRate, 1))
	unanswered := kind == Cancelled || kind == Failure && h > late
	if !unanswered {
		h = tolerant
	}
	move := func(score, a, h float64, n int) float64 {
		gain := (1 - a) * h
		if !unanswered {
			gain += math.Log(a)
		}
		gain = min(gain, p.capFor(n))
		return min(max(score+gain, 0), scoreLimit*p.Threshold)
	}
	s.slow = move(s.slow, p.LatencyHazard, tolerant, p.MinSlow)
	s.stall = move(s.stall, p.StallHazard, h, p.MinStalled)
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
