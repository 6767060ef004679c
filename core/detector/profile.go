package detector

import (
	"fmt"
	"math"
	"time"
)

// Profile holds the thresholds of Sequential. All scores are log-likelihood
// ratios in nats, so one threshold serves every signal: under the peers'
// distribution a score reaches h at a given attempt with a probability of
// about exp(-h).
type Profile struct {
	// Name labels the profile in logs and reports.
	Name string
	// Threshold is the score at which a server is suspected, in nats, at up to
	// ReferenceRate. At higher rates it grows with the logarithm of the rate, by
	// at most a quarter, so that the number of false ejections per unit of time
	// does not grow with the rate.
	Threshold float64
	// FailureRate is the lowest failure rate of an unhealthy server, 0 to 1.
	FailureRate float64
	// FailureOdds is the lowest ratio of an unhealthy server's odds of failure
	// to those of its peers.
	FailureOdds float64
	// LatencyHazard is the rate at which a slow server answers relative to its
	// peers, on the scale of the peers' cumulative hazard, 0 to 1.
	LatencyHazard float64
	// StallHazard is the corresponding rate of a stalled server; close to 0.
	StallHazard float64
	// SlowFactor is the slowdown relative to the peers that is tolerated,
	// because machines differ in speed. The latency of answers is divided by it
	// before the comparison.
	SlowFactor float64
	// MinFailures, MinSlow and MinStalled are the minimum numbers of attempts
	// with which the failures, latency and stall scores can reach Threshold.
	MinFailures, MinSlow, MinStalled int
	// PeerMargin is the multiple of the peers' median score that is added to
	// Threshold, so that no server is suspected for a problem of the whole pool.
	PeerMargin float64
	// TailIndex extrapolates the peers' latency distribution beyond its
	// samples as t^-TailIndex. With smaller values an unanswered attempt raises
	// the score more slowly.
	TailIndex float64
	// Window is the number of recent attempts of the pool that form the
	// reference.
	Window float64
	// MaxGap is the longest time between two calls that counts as waiting while
	// attempts are unanswered. A longer gap is treated as a pause of the proxy
	// process. NextWake asks for calls twice as often.
	MaxGap time.Duration
}

// ReferenceRate is the request rate to which Profile.Threshold and the detection
// targets apply, in answers per second and server.
const ReferenceRate = 10

// maxThresholdFactor bounds the growth of the threshold with the rate. Because
// attemptCap limits the score of one attempt, two stalled attempts (MinStalled)
// reach at most 4/3 of Threshold, so they suffice at any rate. n failed or slow
// attempts (MinFailures, MinSlow) reach at most n/(n-0.5) of Threshold, so one
// more may be needed at high rates.
const maxThresholdFactor = 1.25

// False-alarm probabilities per attempt that the thresholds are derived from.
const (
	// ridemarkAlpha bounds the capacity lost to false ejections: at 10 requests
	// per second and 5 s per ejection it is 10 * 1e-5 * 5 s, or 0.05%.
	ridemarkAlpha = 1e-5
	// consortiumAlpha gives 0.009 expected false ejections in 1,000 server-days
	// at 10 requests per second (8.6e8 attempts).
	consortiumAlpha = 1e-11
)

// Ridemark returns the profile of the policy "ridemark": fast detection.
func Ridemark() Profile {
	p := baseProfile("ridemark")
	p.Threshold = -math.Log(ridemarkAlpha)
	return p
}

// Consortium returns the profile of the policy "consortium": few false
// ejections.
func Consortium() Profile {
	p := baseProfile("consortium")
	p.Threshold = -math.Log(consortiumAlpha)
	return p
}

func baseProfile(name string) Profile {
	return Profile{
		Name:          name,
		FailureRate:   0.2,
		FailureOdds:   4,
		LatencyHazard: 0.25,
		StallHazard:   0.05,
		SlowFactor:    2,
		MinFailures:   3,
		MinSlow:       4,
		MinStalled:    2,
		PeerMargin:    2,
		TailIndex:     5,
		Window:        10000,
		// Two to three times the usual service time of 20 ms, so that attempts
		// do not look much older after a pause too short to be detected.
		MaxGap: 50 * time.Millisecond,
	}
}

// Profiles returns the named profiles.
func Profiles() []Profile { return []Profile{Ridemark(), Consortium()} }

// ProfileError names a profile field whose value is out of range.
type ProfileError struct {
	Field    string
	Value    any
	Expected string
}

// Error implements error.
func (e *ProfileError) Error() string {
	return fmt.Sprintf("detector profile: %s is %v, expected %s", e.Field, e.Value, e.Expected)
}

// Validate returns *ProfileError for the first value out of range.
func (p Profile) Validate() error {
	const above0, inside, atLeast1 = "a number above 0", "a number between 0 and 1", "at least 1"
	checks := []struct {
		field    string
		value    any
		ok       bool
		expected string
	}{
		{"threshold", p.Threshold, p.Threshold > 0 && !math.IsInf(p.Threshold, 1), above0},
		{"failureRate", p.FailureRate, p.FailureRate > 0 && p.FailureRate < 1, inside},
		{"failureOdds", p.FailureOdds, p.FailureOdds > 1, "a number above 1"},
		{"latencyHazard", p.LatencyHazard, p.LatencyHazard > 0 && p.LatencyHazard < 1, inside},
		{"stallHazard", p.StallHazard, p.StallHazard > 0 && p.StallHazard < 1, inside},
		{"slowFactor", p.SlowFactor, p.SlowFactor >= 1, atLeast1},
		{"minFailures", p.MinFailures, p.MinFailures >= 1, atLeast1},
		{"minSlow", p.MinSlow, p.MinSlow >= 1, atLeast1},
		{"minStalled", p.MinStalled, p.MinStalled >= 1, atLeast1},
		{"peerMargin", p.PeerMargin, p.PeerMargin >= 0, "0 or more"},
		{"tailIndex", p.TailIndex, p.TailIndex > 0, above0},
		{"window", p.Window, p.Window >= 100, "at least 100"},
		{"maxGap", p.MaxGap, p.MaxGap >= time.Millisecond, "at least 1ms"},
	}
	for _, c := range checks {
		if !c.ok {
			return &ProfileError{Field: c.field, Value: c.value, Expected: c.expected}
		}
	}
	return nil
}

// attemptCap returns the maximum score of one attempt for which n attempts can
// reach the threshold and n-1 cannot.
func (p Profile) attemptCap(n int) float64 { return p.Threshold / (float64(n) - 0.5) }

// thresholdAt returns the threshold at a rate in answers per second and server.
func (p Profile) thresholdAt(rate float64) float64 {
	if rate <= ReferenceRate {
		return p.Threshold
	}
	return min(p.Threshold+math.Log(rate/ReferenceRate), maxThresholdFactor*p.Threshold)
}
