// Package detector judges the health of a pool's backend servers from the real
// work they do: completions, failures, latency against the pool's own peers,
// and the age of unanswered attempts.
package detector

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Kind classifies the end of an attempt as evidence.
type Kind uint8

const (
	// Success: a whole response with a status that is not a server error.
	Success Kind = iota + 1
	// Failure: a server error, a broken or truncated response, or a timeout.
	Failure
	// Shed: the server refused without running; no evidence of sickness.
	Shed
	// ConnectFailure: no connection could be opened.
	ConnectFailure
	// Cancelled: we gave up for a reason of our own; censored at Latency.
	Cancelled
)

// Result is the end of one attempt.
type Result struct {
	Kind Kind
	// Latency is the time from dispatch to the end.
	Latency time.Duration
}

// Evidence says why a server is suspected, for operators.
type Evidence struct {
	// Signal names the test that crossed its threshold: "failures", "latency",
	// "stall", "connect" or "consecutive".
	Signal string
	// Score is the test statistic and Threshold the value it crossed.
	Score     float64
	Threshold float64
	// OldestAttempt is the age of the oldest unanswered attempt.
	OldestAttempt time.Duration
	// Attempts and Failures count recent ends.
	Attempts int
	Failures int
}

// Suspicion is the verdict that a server is probably sick.
type Suspicion struct {
	Server model.ServerID
	// Score orders suspects; higher is worse. Scores of different signals are
	// comparable.
	Score    float64
	Evidence Evidence
}

// Detector judges the servers of one pool. It is not safe for concurrent use.
type Detector interface {
	// Started records the dispatch of an attempt.
	Started(now time.Time, s model.ServerID, a model.AttemptID)
	// Finished records the end of an attempt that Started recorded.
	Finished(now time.Time, s model.ServerID, a model.AttemptID, r Result)
	// Reset discards the evidence about a server but keeps its unanswered
	// attempts, for example when it is put on probation.
	Reset(now time.Time, s model.ServerID)
	// Forget removes a server that left the pool.
	Forget(s model.ServerID)
	// Suspects returns the servers over their threshold, worst first.
	Suspects(now time.Time) []Suspicion
	// Evidence returns the current evidence about one server.
	Evidence(now time.Time, s model.ServerID) Evidence
	// NextWake returns when a stall would cross the threshold if nothing else
	// happens; zero if nothing is pending.
	NextWake(now time.Time) time.Time
}
