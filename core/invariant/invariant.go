// Package invariant checks the guarantees of agateusher at run time. A violation is
// passed to the handler; the daemons set one that counts and logs it. Without a
// handler a violation panics, so that tests fail.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Name identifies an invariant in logs, metrics and docs/proof.md.
type Name string

const (
	// Floor: decisions of the fleet itself never leave a service below its floor,
	// its minimum capacity.
	Floor Name = "floor"
	// AtMostOnce: a non-idempotent request is dispatched at most once.
	AtMostOnce Name = "at-most-once"
	// TruthfulNotRun: the outcome "not-run" is never reported for a request that
	// was dispatched, unless the backend server shed it without running it.
	TruthfulNotRun Name = "truthful-not-run"
	// EpochUpward: the applied configuration epoch never decreases.
	EpochUpward Name = "epoch-upward"
	// SlotLimit: a backend server never has more outstanding attempts than slots.
	SlotLimit Name = "slot-limit"
	// LeavingServer: a leaving backend server receives no new requests.
	LeavingServer Name = "leaving-server"
	// WholeAnswer: a response is sent only to the request that it belongs to.
	WholeAnswer Name = "whole-answer"
	// KeyLedger: the record of a used idempotency key is never removed before it
	// expires.
	KeyLedger Name = "key-ledger"
)

// Violation describes the violation of an invariant.
type Violation struct {
	Name   Name
	Detail string
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail)
}

// Handler receives violations. It must be safe for concurrent use.
type Handler func(Violation)

var handler atomic.Pointer[Handler]

// SetHandler replaces the process-wide handler and returns the previous one,
// nil if there was none.
func SetHandler(h Handler) Handler {
	old := handler.Swap(&h)
	if old == nil {
		return nil
	}
	return *old
}

// Check reports a violation of the named invariant unless ok is true.
// The detail is formatted only on violation.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	v := Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	if h := handler.Load(); h != nil && *h != nil {
		(*h)(v)
		return
	}
	panic(v)
}
