package balance

import (
	"math"
	"time"
)

// Model holds the parameters of the two-state process.
type Model struct {
	// FailWhenServing is the share of attempts that a serving server fails.
	FailWhenServing float64
	// FailWhenFailing is the share of attempts that a failing server fails.
	FailWhenFailing float64
	// Onset is the rate, per second, at which a serving server starts to fail.
	Onset float64
	// Recovery is the rate, per second, at which a failing server recovers.
	Recovery float64
}

// Check reports whether the parameters form a model in which failures are
// evidence of failing.
func (m Model) Check() bool {
	return m.FailWhenServing > 0 && m.FailWhenServing < m.FailWhenFailing && m.FailWhenFailing < 1 &&
		m.Onset > 0 && m.Recovery > 0
}

// steady is the long-run share of time that a server fails.
func (m Model) steady() float64 { return m.Onset / (m.Onset + m.Recovery) }

// Belief is the probability that a server is in the failing state.
type Belief struct {
	p  float64
	at time.Time
}

// NewBelief returns the belief about a server without evidence.
func (m Model) NewBelief(now time.Time) Belief { return Belief{p: m.steady(), at: now} }

// At returns the probability at a later time.
func (m Model) At(b Belief, now time.Time) float64 {
	age := max(0, now.Sub(b.at).Seconds())
	steady := m.steady()
	return steady + (b.p-steady)*math.Exp(-(m.Onset+m.Recovery)*age)
}

// Succeeded returns the belief after a successful attempt.
func (m Model) Succeeded(b Belief, now time.Time) Belief {
	return m.update(b, now, 1-m.FailWhenFailing, 1-m.FailWhenServing)
}

// Failed returns the belief after a failed attempt.
func (m Model) Failed(b Belief, now time.Time) Belief {
	return m.update(b, now, m.FailWhenFailing, m.FailWhenServing)
}

// Weigh returns the belief after an event that is ratio times as likely at a
// failing server as at a serving one.
func (m Model) Weigh(b Belief, now time.Time, ratio float64) Belief {
	return m.update(b, now, ratio, 1)
}

// FailureChance returns the probability that an attempt fails at a server that
// is failing with probability p.
func (m Model) FailureChance(p float64) float64 {
	return p*m.FailWhenFailing + (1-p)*m.FailWhenServing
}

func (m Model) update(b Belief, now time.Time, ifFailing, ifServing float64) Belief {
	p := m.At(b, now)
	p = p * ifFailing / (p*ifFailing + (1-p)*ifServing)
	return Belief{p: min(max(p, minProbability), 1-minProbability), at: now}
}

// minProbability keeps a belief away from certainty, from which no evidence
// could move it.
const minProbability = 1e-4
