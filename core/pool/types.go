package pool

import (
	"fmt"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/model"
)

// Request is one caller request as the owner receives it.
type Request struct {
	// ID is unique; Submit ignores an ID that is still in the pool.
	ID        model.RequestID
	Workspace model.WorkspaceID
	// Weight of the workspace relative to others; zero or less means 1.
	Weight float64
	// Repeatable requests are idempotent: they may run more than once.
	Repeatable bool
	// Deadline is when the caller gives up, by the owner's clock.
	Deadline time.Time
	// Arrival is when the owner received the request.
	Arrival time.Time
}

// ResultKind is how an attempt ended.
type ResultKind uint8

const (
	// Answered: the complete answer arrived.
	Answered ResultKind = iota + 1
	// FailedBeforeSend: the attempt failed before any byte of the request was
	// sent.
	FailedBeforeSend
	// FailedAfterSend: the attempt failed when the server may have started to run
	// the request.
	FailedAfterSend
	// Shed: the server reported that it refused the request without running it.
	Shed
	// TimedOut: the driver stopped waiting, at the deadline or because the attempt
	// was abandoned. The server may still be running the request.
	TimedOut
	// Truncated: the connection ended before the complete answer had arrived.
	Truncated
)

var resultNames = [...]string{
	Answered: "answered", FailedBeforeSend: "failed-before-send", FailedAfterSend: "failed-after-send",
	Shed: "shed", TimedOut: "timed-out", Truncated: "truncated",
}

// String returns the form used in logs.
func (k ResultKind) String() string {
	if int(k) < len(resultNames) && resultNames[k] != "" {
		return resultNames[k]
	}
	return fmt.Sprintf("result(%d)", uint8(k))
}

// AttemptResult is the result of one dispatched attempt.
type AttemptResult struct {
	Attempt model.AttemptID
	Kind    ResultKind
	// ServerError marks an Answered result with a 5xx status. It is evidence
	// against the server, and a repeatable request is retried if possible.
	ServerError bool
	// Limit is the rate limit that the server's answer named.
	Limit model.RateLimit
	// Latency is the time from dispatch to the end of the attempt; if it is zero,
	// the pool measures it.
	Latency time.Duration
}

// Status is the state of a server, which decides which requests it receives.
type Status uint8

const (
	// Serving servers receive all requests.
	Serving Status = iota + 1
	// Suspect servers are suspected by the detector, or readmitted early, and
	// kept in service by the floor. They receive repeatable requests when no
	// serving server that the request has not tried has a free slot.
	Suspect
	// Probation servers receive one repeatable request at a time as a test.
	Probation
	// Ejected servers are out of service for their health until the ejection time
	// has passed.
	Ejected
	// EjectedByOperator servers are out of service until an operator readmits
	// them.
	EjectedByOperator
	// Leaving servers are draining or removed from the configuration. They finish
	// their running attempts and get no new ones.
	Leaving
	// Gone follows Leaving when a removed server has no attempt left and is
	// deleted from the pool.
	Gone
)

var statusNames = [...]string{
	Serving: "serving", Suspect: "suspect", Probation: "probation", Ejected: "ejected",
	EjectedByOperator: "ejected-by-operator", Leaving: "leaving", Gone: "gone",
}

// String returns the form used in logs and reports.
func (s Status) String() string {
	if int(s) < len(statusNames) && statusNames[s] != "" {
		return statusNames[s]
	}
	return fmt.Sprintf("status(%d)", uint8(s))
}

// Decision is an instruction to the driver: Dispatch, Refuse, Complete, Fail,
// Abandon, ServerChanged or ServerLimited. Each submitted request gets exactly one of Refuse,
// Complete and Fail, its final decision.
type Decision interface{ decision() }

// Dispatch sends the request to the server. The driver ends the attempt as
// TimedOut at the deadline.
type Dispatch struct {
	Request  model.RequestID
	Attempt  model.AttemptID
	Server   model.ServerID
	Deadline time.Time
	// Hedge marks an attempt that runs beside an earlier one.
	Hedge bool
}

// Refuse tells the caller that the request was not run.
type Refuse struct {
	Request model.RequestID
	Reason  model.Reason
	// RetryAfter is the estimated time until the pool can take the request.
	RetryAfter time.Duration
}

// Complete returns the answer of this attempt to the caller.
type Complete struct {
	Request model.RequestID
	Attempt model.AttemptID
}

// Fail tells the caller that the request has no answer.
type Fail struct {
	Request model.RequestID
	Outcome model.Outcome
	Reason  model.Reason
}

// Abandon makes the driver stop waiting for the attempt, close its connection and
// cancel it at the server. It is also emitted for an attempt that ended as
// TimedOut.
//
// The driver reports the server's confirmation with CancelConfirmed. If the
// service supports no cancellation, the driver may let the exchange run to its
// end, discard the answer and report it as Answered: the slot is then free
// exactly when the server is done.
type Abandon struct {
	Attempt model.AttemptID
}

// ServerChanged reports that a server's status changed.
type ServerChanged struct {
	Server   model.ServerID
	From, To Status
	Evidence detector.Evidence
}

// ServerLimited reports that a server named another rate limit, or none any more.
type ServerLimited struct {
	Server        model.ServerID
	Before, After model.RateLimit
}

func (ServerLimited) decision() {}
func (Dispatch) decision()      {}
func (Refuse) decision()        {}
func (Complete) decision()      {}
func (Fail) decision()          {}
func (Abandon) decision()       {}
func (ServerChanged) decision() {}

// ServerView is the state of one server.
type ServerView struct {
	ID     model.ServerID
	Status Status
	// Slots is the configured number of slots, Allowed the number that may be
	// used now, InUse the number occupied, and Held the number of those in use
	// whose attempt was abandoned without a confirmation by the server.
	Slots, Allowed, InUse, Held int
	// EjectedUntil is when an ejected server goes on probation.
	EjectedUntil time.Time
	Evidence     detector.Evidence
}

// View is a snapshot of the pool's load and server states.
type View struct {
	Servers []ServerView
	// Queued and Running count requests. Running includes requests that wait for
	// a retry.
	Queued, Running int
	// FreeSlots counts free slots of serving servers that can take a request now.
	FreeSlots int
	// QueueDelay estimates the time that a new request waits behind all queued
	// ones; zero if serving servers have free slots.
	QueueDelay time.Duration
	// ServiceTime is the estimated mean time of an attempt.
	ServiceTime time.Duration
}
