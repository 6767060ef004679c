package balance

import (
	"math"
	"time"
)

// Model holds the parameters of the two-state process, serving or failing, that
// each server is modelled as.
type Model struct {
	// FailWhenServing is the probability that an attempt fails at a serving
	// server.
	FailWhenServing float64
	// FailWhenFailing is the probability that an attempt fails at a failing
	// server.
	FailWhenFailing float64
	// OnsetRate is the rate, per second, at which a serving server becomes
	// failing.
	OnsetRate float64
	// RecoveryRate is the rate, per second, at which a failing server becomes
	// serving.
	RecoveryRate float64
}

// Valid reports whether both rates are positive and a failed attempt is likelier
// at a failing server than at a serving one.
func (m Model) Valid() bool {
	return m.FailWhenServing > 0 && m.FailWhenServing < m.FailWhenFailing && m.FailWhenFailing < 1 &&
		m.OnsetRate > 0 && m.RecoveryRate > 0
}

// stationaryProbability returns the long-run share of time that a server spends
// in the failing state.
func (m Model) stationaryProbability() float64 { return m.OnsetRate / (m.OnsetRate + m.RecoveryRate) }

// Belief is the probability that a server is in the failing state, as of its last
// update.
type Belief struct {
	probability float64
	updatedAt   time.Time
}

// NewBelief returns the belief about a server of which no evidence is known.
func (m Model) NewBelief(now time.Time) Belief {
	return Belief{probability: m.stationaryProbability(), updatedAt: now}
}

// FailingProbability returns the probability at time now that the server is
// failing. Without new evidence it decays towards the stationary probability.
func (m Model) FailingProbability(b Belief, now time.Time) float64 {
	age := max(0, now.Sub(b.updatedAt).Seconds())
	steady := m.stationaryProbability()
	return steady + (b.probability-steady)*math.Exp(-(m.OnsetRate+m.RecoveryRate)*age)
}

// AfterSuccess returns the belief after a successful attempt.
func (m Model) AfterSuccess(b Belief, now time.Time) Belief {
	return m.update(b, now, 1-m.FailWhenFailing, 1-m.FailWhenServing)
}

// AfterFailure returns the belief after a failed attempt.
func (m Model) AfterFailure(b Belief, now time.Time) Belief {
	return m.update(b, now, m.FailWhenFailing, m.FailWhenServing)
}

// failureRatio returns how much likelier a failed attempt is at a failing server
// than at a serving one.
func (m Model) failureRatio() float64 { return m.FailWhenFailing / m.FailWhenServing }

// AfterEvidence returns the belief after an event that is ratio times as likely
// at a failing server as at a serving one.
func (m Model) AfterEvidence(b Belief, now time.Time, ratio float64) Belief {
	return m.update(b, now, ratio, 1)
}

// AttemptFailureProbability returns the probability that an attempt fails at a
// server that is failing with probability p.
func (m Model) AttemptFailureProbability(p float64) float64 {
	return p*m.FailWhenFailing + (1-p)*m.FailWhenServing
}

func (m Model) update(b Belief, now time.Time, likelihoodFailing, likelihoodServing float64) Belief {
	p := m.FailingProbability(b, now)
	p = p * likelihoodFailing / (p*likelihoodFailing + (1-p)*likelihoodServing)
	return Belief{probability: min(max(p, minProbability), 1-minProbability), updatedAt: now}
}

// minProbability keeps beliefs away from 0 and 1, which Bayes' rule cannot change.
const minProbability = 1e-4
