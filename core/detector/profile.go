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
	// Threshold is the score at which a server is suspected, in nats.
	Threshold float64
	// FailureRate is the least failure rate that counts as sick, 0 to 1.
	FailureRate float64
	// FailureOdds is the least ratio of a sick server's odds of failure to
	// those of its peers.
	FailureOdds float64
	// LatencyHazard is the rate at which a slow server answers relative to its
	// peers, on the scale of the peers' cumulative hazard, 0 to 1.
	LatencyHazard float64
	// StallHazard is the same for a stalled server; close to 0.
	StallHazard float64
	// MinFailures, MinSlow and MinStalled are the least numbers of attempts
	// that can bring the failures, latency and stall score to Threshold.
	MinFailures, MinSlow, MinStalled int
	// PeerMargin is the multiple of the peers' median score that is added to
	// Threshold, so that a problem of the whole pool suspects no single server.
	PeerMargin float64
	// TailIndex extrapolates the peers' latency distribution beyond its
	// samples as t^-TailIndex. Smaller values are more cautious.
	TailIndex float64
	// Window is the number of recent attempts of the pool that form the
	// reference.
	Window float64
	// MaxGap is the longest time between two calls that is counted as waiting
	// while attempts are unanswered. A longer gap is taken as a pause of our
	// own process. NextWake asks for calls twice as often.
	MaxGap time.Duration
}

// False-alarm probabilities per attempt that the thresholds are derived from.
const (
	// ridemarkAlpha accepts about one false ejection in a server-day at 10
	// requests per second (864,000 attempts), because a queue at the gate costs
	// more than a few seconds without one of many servers.
	ridemarkAlpha = 1e-6
	// consortiumAlpha expects 0.001 false ejections in 1,000 server-days at 10
	// requests per second (8.6e8 attempts).
	consortiumAlpha = 1e-12
)

// Ridemark returns the profile for fast detection.
func Ridemark() Profile {
	p := common("ridemark")
	p.Threshold = -math.Log(ridemarkAlpha)
	return p
}

// Consortium returns the profile for few false ejections.
func Consortium() Profile {
	p := common("consortium")
	p.Threshold = -math.Log(consortiumAlpha)
	return p
}

func common(name string) Profile {
	return Profile{
		Name:          name,
		FailureRate:   0.2,
		FailureOdds:   4,
		LatencyHazard: 0.25,
		StallHazard:   0.05,
		MinFailures:   3,
		MinSlow:       4,
		MinStalled:    2,
		PeerMargin:    2,
		TailIndex:     4,
		Window:        10000,
		// Two to three times the usual service time of 20 ms, so that a pause
		// too short to be noticed makes no attempt look very old.
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

// capFor returns the largest score of one attempt, so that n attempts can
// reach the threshold and n-1 cannot.
func (p Profile) capFor(n int) float64 { return p.Threshold / (float64(n) - 0.5) }
