package model

import "fmt"

// Outcome is the result of a request as reported to its caller.
type Outcome uint8

const (
	// Answered: the response is the backend server's complete response.
	Answered Outcome = iota + 1
	// NotRun: the request certainly did not run.
	NotRun
	// Unknown: the request may have run.
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

// ParseOutcome parses the form that String returns. It returns false for any other
// text.
func ParseOutcome(s string) (Outcome, bool) {
	for i, name := range outcomeNames {
		if name != "" && name == s {
			return Outcome(i), true
		}
	}
	return 0, false
}

// Reason is the cause of the outcome NotRun or Unknown. Its texts are stable:
// scripts, metrics and reports rely on them.
type Reason string

const (
	// ReasonNone: the outcome is Answered.
	ReasonNone Reason = ""
	// ReasonBadRequest: the request is malformed.
	ReasonBadRequest Reason = "bad-request"
	// ReasonNoRoute: no route matches the request.
	ReasonNoRoute Reason = "no-route"
	// ReasonNoConfiguration: the daemon has no configuration yet.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonRouteUnreadable: the request's route is in the configuration, but this
	// version of the program cannot read it.
	ReasonRouteUnreadable Reason = "route-unreadable"
	// ReasonUnauthorized: the request has no key that the configuration accepts.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonWorkspaceUnreadable: the request's key belongs, or may belong, to a workspace
	// that this version of the program cannot read.
	ReasonWorkspaceUnreadable Reason = "workspace-unreadable"
	// ReasonConfigUnconfirmed: the store has not confirmed the configuration for so long
	// that no key is accepted.
	ReasonConfigUnconfirmed Reason = "config-unconfirmed"
	// ReasonInternal: the daemon failed unexpectedly while it handled the request.
	ReasonInternal Reason = "internal"
	// ReasonMemory: the memory for the bodies of requests is in use.
	ReasonMemory Reason = "memory"
	// ReasonRateLimited: the workspace or route exceeds its rate limit.
	ReasonRateLimited Reason = "rate-limited"
	// ReasonQuotaUnavailable: whether the workspace exceeds its rate limit cannot be
	// decided, because no daemon that could is reachable.
	ReasonQuotaUnavailable Reason = "quota-unavailable"
	// ReasonQueueFull: the pool's queue is full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline: the deadline cannot be met, or has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonNoServer: the pool has no backend server that the request may be sent to.
	ReasonNoServer Reason = "no-server"
	// ReasonServerLimit: the backend servers that the request may be sent to limit
	// their rate and take no more for now.
	ReasonServerLimit Reason = "server-limit"
	// ReasonShed: the backend server shed the request without running it.
	ReasonShed Reason = "shed"
	// ReasonConnect: no connection to a backend server could be opened.
	ReasonConnect Reason = "connect"
	// ReasonNoOwner: no owner of the pool is reachable.
	ReasonNoOwner Reason = "no-owner"
	// ReasonStopping: the daemon is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonKeyMissing: a non-idempotent request has no idempotency key.
	ReasonKeyMissing Reason = "key-missing"
	// ReasonKeyInvalid: the idempotency key is forged, malformed or issued for
	// another workspace or service.
	ReasonKeyInvalid Reason = "key-invalid"
	// ReasonKeyExpired: the idempotency key has expired.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonKeyMismatch: the idempotency key was first used with a different request.
	ReasonKeyMismatch Reason = "key-mismatch"
	// ReasonKeysExhausted: the ledger of the process that issues keys is full.
	ReasonKeysExhausted Reason = "keys-exhausted"
	// ReasonAnswerNotKept: the first request with this key ran, but its response
	// was too large to store.
	ReasonAnswerNotKept Reason = "answer-not-kept"
	// ReasonIssuerGone: the process that issued the key is unreachable.
	ReasonIssuerGone Reason = "issuer-gone"
	// ReasonServerFailed: the backend server failed after it may have started to run
	// the request.
	ReasonServerFailed Reason = "server-failed"
	// ReasonTimeout: no response arrived in time.
	ReasonTimeout Reason = "timeout"
	// ReasonTruncated: the response ended before it was complete.
	ReasonTruncated Reason = "truncated"
	// ReasonOwnerFailed: the pool owner failed while it held the request.
	ReasonOwnerFailed Reason = "owner-failed"
	// ReasonCancelled: the caller disconnected.
	ReasonCancelled Reason = "cancelled"
)
