package model

import "fmt"

// Outcome is what a caller is told about its request.
type Outcome uint8

const (
	// Answered means that the backend server's whole answer follows.
	Answered Outcome = iota + 1
	// NotRun means that the request certainly did not run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

var outcomeNames = [...]string{Answered: "answered", NotRun: "not-run", Unknown: "unknown"}

// String returns the form used in headers, logs and reports.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) && outcomeNames[o] != "" {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// ParseOutcome reads the form that String returns. The second result is false
// for any other text.
func ParseOutcome(s string) (Outcome, bool) {
	for i, name := range outcomeNames {
		if name != "" && name == s {
			return Outcome(i), true
		}
	}
	return 0, false
}

// Reason says why a request was not run, or why its outcome is unknown. It is
// stable: scripts, metrics and reports rely on it.
type Reason string

const (
	// ReasonNone goes with Answered.
	ReasonNone Reason = ""
	// ReasonBadRequest: the request is malformed.
	ReasonBadRequest Reason = "bad-request"
	// ReasonNoRoute: no route matches the request.
	ReasonNoRoute Reason = "no-route"
	// ReasonNoConfiguration: the daemon has no configuration yet.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonRateLimited: the workspace or route is over its rate.
	ReasonRateLimited Reason = "rate-limited"
	// ReasonQueueFull: the pool's queue is full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline: the deadline cannot be met, or has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonNoServer: the pool has no backend server that may take the request.
	ReasonNoServer Reason = "no-server"
	// ReasonShed: the backend server shed the request without running it.
	ReasonShed Reason = "shed"
	// ReasonConnect: no connection to a backend server could be opened.
	ReasonConnect Reason = "connect"
	// ReasonNoOwner: no owner of the pool can be reached.
	ReasonNoOwner Reason = "no-owner"
	// ReasonStopping: the daemon is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonKeyMissing: a request that must not repeat has no idempotency key.
	ReasonKeyMissing Reason = "key-missing"
	// ReasonKeyInvalid: the idempotency key is forged, malformed or for another
	// workspace or service.
	ReasonKeyInvalid Reason = "key-invalid"
	// ReasonKeyExpired: the idempotency key has expired.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonKeyMismatch: the key was first used with a different request.
	ReasonKeyMismatch Reason = "key-mismatch"
	// ReasonKeysExhausted: the issuer's ledger is full.
	ReasonKeysExhausted Reason = "keys-exhausted"
	// ReasonAnswerNotKept: the first request with this key ran, but its response
	// was too large to keep.
	ReasonAnswerNotKept Reason = "answer-not-kept"
	// ReasonIssuerGone: the process that issued the key cannot be reached.
	ReasonIssuerGone Reason = "issuer-gone"
	// ReasonServerFailed: the backend server failed after it may have started.
	ReasonServerFailed Reason = "server-failed"
	// ReasonTimeout: no answer arrived in time.
	ReasonTimeout Reason = "timeout"
	// ReasonTruncated: the answer broke off.
	ReasonTruncated Reason = "truncated"
	// ReasonOwnerFailed: the pool owner failed while it held the request.
	ReasonOwnerFailed Reason = "owner-failed"
	// ReasonCancelled: the caller went away.
	ReasonCancelled Reason = "cancelled"
)
