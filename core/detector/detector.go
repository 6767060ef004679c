// Package detector assesses the health of a pool's backend servers from live
// traffic: completions, failures, latency compared with the other servers of
// the pool, and the age of unanswered attempts.
package detector

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Kind classifies how an attempt ended.
type Kind uint8

const (
	// Success is a complete response with a status that is not a server error.
	Success Kind = iota + 1
	// Failure is a server error, a broken or truncated response, or a timeout.
	Failure
	// Shed is a refusal without running the request. It is no evidence that
	// the server is unhealthy.
	Shed
	// ConnectFailure means that no connection could be opened.
	ConnectFailure
	// Cancelled means that the proxy gave up the attempt for a reason unrelated
	// to the server. The response time is censored at Latency.
	Cancelled
)

// Result describes how one attempt ended.
type Result struct {
	Kind Kind
	// Latency is the time from dispatch to the end.
	Latency time.Duration
}

// Evidence tells operators why a server is suspected.
type Evidence struct {
	// Signal names the test that crossed its threshold: "failures", "latency",
	// "stall", "connect" or "consecutive".
	Signal string
	// Score is the test statistic and Threshold the value it crossed.
	Score     float64
	Threshold float64
	// OldestAttempt is the age of the oldest unanswered attempt.
	OldestAttempt time.Duration
	// Attempts counts recently finished attempts, Failures those that failed.
	Attempts int
	Failures int
}

// Suspicion reports a server that is probably unhealthy.
type Suspicion struct {
	Server model.ServerID
	// Score orders suspects; higher is worse. Scores of different signals are
	// comparable.
	Score    float64
	Evidence Evidence
}

// Detector assesses the servers of one pool. It is not safe for concurrent use.
type Detector interface {
	// Started records the dispatch of an attempt.
	Started(now time.Time, s model.ServerID, a model.AttemptID)
	// Finished records the end of an attempt previously passed to Started.
	Finished(now time.Time, s model.ServerID, a model.AttemptID, r Result)
	// Reset discards the evidence about a server but keeps its unanswered
	// attempts, for example at the start of its probation.
	Reset(now time.Time, s model.ServerID)
	// Forget removes a server that left the pool.
	Forget(s model.ServerID)
	// Suspects returns the servers whose score has reached the threshold, worst
	// first.
	Suspects(now time.Time) []Suspicion
	// Evidence returns the current evidence about one server.
	Evidence(now time.Time, s model.ServerID) Evidence
	// NextWake returns the time by which Suspects should be called again if no
	// other call comes first: a stalled server may reach the threshold then. It
	// is zero if no call is needed.
	NextWake(now time.Time) time.Time
}
