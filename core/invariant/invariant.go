// Package invariant asserts the product's promises inside the program. A
// broken invariant is passed to the handler, which the daemons use to count
// and log it. The default handler panics, so that tests fail on a violation.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Name identifies an invariant in logs, metrics and docs/proof.md.
type Name string

const (
	// Floor: the fleet's own decisions never leave a service below its floor.
	Floor Name = "floor"
	// AtMostOnce: a request that must not repeat is dispatched at most once.
	AtMostOnce Name = "at-most-once"
	// TruthfulNotRun: "not run" is never said of a request that was dispatched
	// and not shed unrun.
	TruthfulNotRun Name = "truthful-not-run"
	// EpochUpward: the applied configuration epoch never decreases.
	EpochUpward Name = "epoch-upward"
	// SlotLimit: a backend server never has more attempts than slots.
	SlotLimit Name = "slot-limit"
	// LeavingServer: a leaving backend server receives no new work.
	LeavingServer Name = "leaving-server"
	// WholeAnswer: an answer reaches only the request it belongs to.
	WholeAnswer Name = "whole-answer"
	// KeyLedger: a spent mark is never removed before its expiry.
	KeyLedger Name = "key-ledger"
)

// Violation describes a broken invariant.
type Violation struct {
	Name   Name
	Detail string
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail)
}

// Handler receives violations. It may be called from any goroutine.
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
