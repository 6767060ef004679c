package proof

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/standin/backend"
)

// Kind is the kind of a violation.
type Kind string

// Kinds of violations.
const (
	// ExecutedTwice: the operation of a key ran more than once.
	ExecutedTwice Kind = "executed-twice"
	// NotRunThatRan: a request received the outcome "not run" but ran.
	NotRunThatRan Kind = "not-run-that-ran"
	// NotRunAfterRun: a request received "not run" although the operation of its
	// key had begun to run before the request was sent.
	NotRunAfterRun Kind = "not-run-after-run"
	// RanAfterNotRun: a request received "not run", and an earlier request with
	// the same key, already given up by its caller, ran afterwards.
	RanAfterNotRun Kind = "ran-after-not-run"
	// DifferentAnswers: two requests with one key got different answers.
	DifferentAnswers Kind = "different-answers"
	// WrongAnswer: an answer is truncated, corrupt or belongs to another request.
	WrongAnswer Kind = "wrong-answer"
	// AnsweredWithoutRun: a request was answered but its operation did not run.
	AnsweredWithoutRun Kind = "answered-without-run"
	// NoOutcome: a response has no outcome header.
	NoOutcome Kind = "no-outcome"
	// GenuineKeyRefused: an issued key was rejected as invalid or missing, or as
	// used with different content although no request's content was changed.
	GenuineKeyRefused Kind = "genuine-key-refused"
	// KeyIssuedTwice: two operations got the same key.
	KeyIssuedTwice Kind = "key-issued-twice"
	// LookupUnanswered: a lookup was not answered within its deadline.
	LookupUnanswered Kind = "lookup-unanswered"
	// LookupNotRetried: the owner gave up a lookup at its deadline, because it
	// made no further attempt during or after those that stalled or failed.
	LookupNotRetried Kind = "lookup-parked"
)

// Violation is one guarantee that an operation shows to be broken.
type Violation struct {
	Kind      Kind
	Operation string
	Detail    string
}

// Error implements error.
func (v Violation) Error() string { return fmt.Sprintf("%s: %s: %s", v.Kind, v.Operation, v.Detail) }

// lookupSlack is added to a lookup's deadline for the transfer to the caller,
// which shares a process with the fleet under test and competes with it for CPU.
const lookupSlack = 250 * time.Millisecond

// Check compares operations with the executions logged by the backend servers
// and returns the violations.
func Check(operations []*Operation, executions []backend.Execution) []Violation {
	c := checker{runs: map[string][]backend.Execution{}, keys: map[string]string{}}
	for _, e := range executions {
		if e.Ran() {
			c.runs[e.ClientID] = append(c.runs[e.ClientID], e)
		}
	}
	for _, o := range operations {
		if o.Key == "" {
			c.checkLookup(o)
		} else {
			c.checkKeyed(o)
		}
		c.checkAnswers(o)
	}
	return c.violations
}

type checker struct {
	runs       map[string][]backend.Execution // by operation ID
	keys       map[string]string              // operation ID by idempotency key
	violations []Violation
}

func (c *checker) report(o *Operation, kind Kind, format string, args ...any) {
	c.violations = append(c.violations, Violation{Kind: kind, Operation: o.ID, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) checkKeyed(o *Operation) {
	if other, used := c.keys[o.Key]; used {
		c.report(o, KeyIssuedTwice, "also issued to %s", other)
	}
	c.keys[o.Key] = o.ID
	runs := c.runs[o.ID]
	if len(runs) > 1 {
		c.report(o, ExecutedTwice, "%s; requests: %s", describeExecutions(runs), describeRequests(o.Requests))
	}
	for i, s := range o.Requests {
		switch {
		case s.Outcome == model.NotRun && s.Err == nil:
			c.checkNotRun(o, i, runs)
		case s.Outcome == model.Answered && s.Err == nil && len(runs) == 0:
			c.report(o, AnsweredWithoutRun, "status %d", s.Status)
		}
		refused := s.Reason == model.ReasonKeyInvalid || s.Reason == model.ReasonKeyMissing
		if refused || s.Reason == model.ReasonKeyMismatch && !o.anyContentChanged() {
			c.report(o, GenuineKeyRefused, "%s", s.Reason)
		}
	}
	answers := o.Answered()
	for _, s := range answers {
		if s.Status != answers[0].Status || !bytes.Equal(s.Body, answers[0].Body) {
			c.report(o, DifferentAnswers, "%d %.120s and %d %.120s", answers[0].Status, answers[0].Body, s.Status, s.Body)
			break
		}
	}
}

func (o *Operation) anyContentChanged() bool {
	for _, s := range o.Requests {
		if s.ContentChanged {
			return true
		}
	}
	return false
}

// checkNotRun checks the outcome "not run" of one request against the executions
// of its operation. A concurrent request with the same key may still run after
// the response was sent.
func (c *checker) checkNotRun(o *Operation, index int, runs []backend.Execution) {
	s := o.Requests[index]
	pending := false
	for i, other := range o.Requests {
		pending = pending || i != index && other.Ended.After(s.Sent)
	}
	for _, e := range runs {
		switch {
		case e.RequestID == s.RequestID:
			c.report(o, NotRunThatRan, "reason %s; %s", s.Reason, describeExecutions(runs))
		case e.Started.Before(s.Sent):
			c.report(o, NotRunAfterRun, "reason %s, sent %s; %s", s.Reason, formatClock(s.Sent), describeExecutions(runs))
		case !pending && e.Started.Before(o.nextSent(s)):
			c.report(o, RanAfterNotRun, "reason %s, received %s; %s; requests: %s", s.Reason, formatClock(s.Ended), describeExecutions(runs), describeRequests(o.Requests))
		}
	}
}

// nextSent returns when the next request after s was sent with the same key, or
// one hour after the end of s if there is none.
func (o *Operation) nextSent(s Request) time.Time {
	next := s.Ended.Add(time.Hour)
	for _, other := range o.Requests {
		if other.Sent.After(s.Sent) && other.Sent.Before(next) {
			next = other.Sent
		}
	}
	return next
}

func (c *checker) checkLookup(o *Operation) {
	if len(o.Requests) == 0 {
		return
	}
	first, last := o.Requests[0], o.Requests[len(o.Requests)-1]
	if last.Abandoned {
		return
	}
	took := last.Ended.Sub(first.Sent)
	if last.Err != nil || last.Outcome != model.Answered || took > o.Deadline+lookupSlack {
		c.report(o, classifyLookup(last, took, o.Deadline), "after %s: %s/%s status %d: %v", took.Round(time.Millisecond), last.Outcome, last.Reason, last.Status, last.Err)
	}
}

// giveUpMargin is how long before the deadline an owner may give up a lookup:
// the entry reserves a part of the time for the response.
const giveUpMargin = 100 * time.Millisecond

// classifyLookup returns LookupNotRetried for a lookup that the owner gave up at
// its deadline, and LookupUnanswered for any other failure.
func classifyLookup(s Request, took, deadline time.Duration) Kind {
	switch s.Reason {
	case model.ReasonShed, model.ReasonConnect, model.ReasonServerFailed, model.ReasonTruncated, model.ReasonTimeout:
		// A timeout at or after the deadline comes from the entry, because the
		// owner did not respond.
		if s.Err == nil && took >= deadline-giveUpMargin && (s.Reason != model.ReasonTimeout || took < deadline) {
			return LookupNotRetried
		}
	}
	return LookupUnanswered
}

// checkAnswers checks that each response names an outcome, and that each answer
// is complete and belongs to its request.
func (c *checker) checkAnswers(o *Operation) {
	for _, s := range o.Requests {
		if s.Err == nil && s.Outcome == 0 {
			c.report(o, NoOutcome, "status %d", s.Status)
		}
	}
	for _, s := range o.Answered() {
		if s.Status != 200 {
			continue // error responses of a server have no checksum
		}
		a, err := backend.CheckAnswer(s.Body, o.ID, o.Bytes)
		if err != nil {
			c.report(o, WrongAnswer, "%v", err)
			continue
		}
		if o.Key == "" && a.RequestID != s.RequestID {
			c.report(o, WrongAnswer, "request %s got the answer to %s", s.RequestID, a.RequestID)
		}
		if o.Key != "" && !ran(c.runs[o.ID], a.RequestID) {
			c.report(o, WrongAnswer, "answer to request %s, which did not run", a.RequestID)
		}
	}
}

func ran(runs []backend.Execution, id model.RequestID) bool {
	for _, e := range runs {
		if e.RequestID == id {
			return true
		}
	}
	return false
}

func formatClock(t time.Time) string { return t.Format("05.000") }

func describeExecutions(runs []backend.Execution) string {
	text := ""
	for _, e := range runs {
		text += fmt.Sprintf("[request %.6s ran at %s %s-%s %s]", e.RequestID, e.Server, formatClock(e.Started), formatClock(e.Finished), e.End)
	}
	return text
}

func describeRequests(list []Request) string {
	text := ""
	for _, s := range list {
		err := ""
		if s.Err != nil && !errors.Is(s.Err, errCallerGone) {
			err = " " + s.Err.Error()
		}
		text += fmt.Sprintf("[%.6s %s-%s %s/%s abandoned=%t%s]", s.RequestID, formatClock(s.Sent), formatClock(s.Ended), s.Outcome, s.Reason, s.Abandoned, err)
	}
	return text
}
