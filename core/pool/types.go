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
	// Repeatable requests may run more than once.
	Repeatable bool
	// Deadline is when the caller gives up, by the owner's clock.
	Deadline time.Time
	// Arrival is when the owner received the request.
	Arrival time.Time
}

// ResultKind is how an attempt ended.
type ResultKind uint8

const (
	// Answered: the whole answer arrived.
	Answered ResultKind = iota + 1
	// FailedBeforeSend: it failed before any byte of the request was sent.
	FailedBeforeSend
	// FailedAfterSend: it failed after the server may have started it.
	FailedAfterSend
	// Shed: the server stated that it refused the request without running it.
	Shed
	// TimedOut: this side gave up, because of the deadline or because the
	// attempt was abandoned. The server may still be running it.
	TimedOut
	// Truncated: the answer broke off.
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

// AttemptResult is the end of one dispatched attempt.
type AttemptResult struct {
	Attempt model.AttemptID
	Kind    ResultKind
	// ServerError marks an Answered result with a 5xx status. It is evidence
	// against the server, and a repeatable request is retried if it can be.
	ServerError bool
	// Latency is the time from dispatch to the end; zero: the pool measures it.
	Latency time.Duration
}

// Status is why a server does or does not receive work.
type Status uint8

const (
	// Serving receives all requests.
	Serving Status = iota + 1
	// Suspect is kept by the floor. It receives repeatable requests when no
	// serving server has a free slot.
	Suspect
	// Probation receives single repeatable requests to test it.
	Probation
	// Ejected was ejected for its health and waits for its hold time.
	Ejected
	// EjectedByOperator was ejected by an operator.
	EjectedByOperator
	// Leaving is draining or removed. It finishes what it has.
	Leaving
	// Gone follows Leaving when a removed server has no attempt left.
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

// Decision is what the driver must do: Dispatch, Refuse, Complete, Fail,
// Abandon or ServerChanged. Each submitted request gets exactly one of Refuse,
// Complete and Fail.
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

// Fail tells the caller that there is no answer.
type Fail struct {
	Request model.RequestID
	Outcome model.Outcome
	Reason  model.Reason
}

// Abandon stops waiting for the attempt, closes its connection and cancels it
// at the server. It is also decided for an attempt that ended as TimedOut.
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
	// Slots is the configured number, Allowed the number usable now, InUse the
	// number occupied, and Held the part of InUse whose cancellation is not
	// confirmed.
	Slots, Allowed, InUse, Held int
	// EjectedUntil is when an ejected server goes on probation.
	EjectedUntil time.Time
	Evidence     detector.Evidence
}

// View is the pool's load report and server states.
type View struct {
	Servers []ServerView
	// Queued and Running count requests.
	Queued, Running int
	// FreeSlots counts usable free slots of serving servers.
	FreeSlots int
	// QueueDelay estimates the wait of a request of a new workspace.
	QueueDelay time.Duration
	// ServiceTime is the estimated mean time of an attempt.
	ServiceTime time.Duration
}
