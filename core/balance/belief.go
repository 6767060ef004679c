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
	// OnsetRate is the rate, per second, at which a serving server starts to fail.
	OnsetRate float64
	// RecoveryRate is the rate, per second, at which a failing server recovers.
	RecoveryRate float64
}

// Valid reports whether the parameters form a model in which failures are
// evidence of failing.
func (m Model) Valid() bool {
	return m.FailWhenServing > 0 && m.FailWhenServing < m.FailWhenFailing && m.FailWhenFailing < 1 &&
		m.OnsetRate > 0 && m.RecoveryRate > 0
}

// steady is the long-run share of time that a server fails.
func (m Model) steady() float64 { return m.OnsetRate / (m.OnsetRate + m.RecoveryRate) }

// Belief is the probability that a server is in the failing state.
type Belief struct {
	p  float64
	at time.Time
}

// NewBelief returns the belief about a server without evidence.
func (m Model) NewBelief(now time.Time) Belief { return Belief{p: m.steady(), at: now} }

// FailingProbability returns the probability at a later time.
func (m Model) FailingProbability(b Belief, now time.Time) float64 {
	age := max(0, now.Sub(b.at).Seconds())
	steady := m.steady()
	return steady + (b.p-steady)*math.Exp(-(m.OnsetRate+m.RecoveryRate)*age)
}

// AfterSuccess returns the belief after a successful attempt.
func (m Model) AfterSuccess(b Belief, now time.Time) Belief {
	return m.update(b, now, 1-m.FailWhenFailing, 1-m.FailWhenServing)
}

// AfterFailure returns the belief after a failed attempt.
func (m Model) AfterFailure(b Belief, now time.Time) Belief {
	return m.update(b, now, m.FailWhenFailing, m.FailWhenServing)
}

// AfterEvidence returns the belief after an event that is ratio times as likely at a
// failing server as at a serving one.
func (m Model) AfterEvidence(b Belief, now time.Time, ratio float64) Belief {
	return m.update(b, now, ratio, 1)
}

// AttemptFailureProbability returns the probability that an attempt fails at a server that
// is failing with probability p.
func (m Model) AttemptFailureProbability(p float64) float64 {
	return p*m.FailWhenFailing + (1-p)*m.FailWhenServing
}

func (m Model) update(b Belief, now time.Time, ifFailing, ifServing float64) Belief {
	p := m.FailingProbability(b, now)
	p = p * ifFailing / (p*ifFailing + (1-p)*ifServing)
	return Belief{p: min(max(p, minProbability), 1-minProbability), at: now}
}

// minProbability keeps a belief away from certainty, from which no evidence
// could move it.
const minProbability = 1e-4
