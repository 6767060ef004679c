package loadgen

import (
	"fmt"
	"strings"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/standin/backend"
)

// ViolationKind names a guarantee of the fleet that was violated.
type ViolationKind string

const (
	// ExecutedTwice: a non-repeatable request ran more than once.
	ExecutedTwice ViolationKind = "executed-twice"
	// NotRunThatRan: a request ran although its caller was told that it did not.
	NotRunThatRan ViolationKind = "not-run-that-ran"
	// WrongAnswer: an answer with a success status is corrupt, truncated or belongs
	// to another request.
	WrongAnswer ViolationKind = "wrong-answer"
	// AnsweredWithoutRun: an answer to a request that no server ran.
	AnsweredWithoutRun ViolationKind = "answered-without-run"
	// NoOutcome: a response that does not say whether the request ran.
	NoOutcome ViolationKind = "no-outcome"
	// KeyUsedTwice: one idempotency key was issued for two requests.
	KeyUsedTwice ViolationKind = "key-used-twice"
	// OracleIncomplete: an execution log is incomplete, so the comparison with it
	// proves nothing.
	OracleIncomplete ViolationKind = "oracle-incomplete"
)

// maxExamples limits the examples kept for each kind.
const maxExamples = 5

// Violations counts the violations of one kind.
type Violations struct {
	Kind     ViolationKind `json:"kind"`
	Count    int           `json:"count"`
	Examples []string      `json:"examples"`
}

// violationSet collects violations.
type violationSet struct {
	order  []ViolationKind
	byKind map[ViolationKind]*Violations
}

func (v *violationSet) add(kind ViolationKind, format string, args ...any) {
	if v.byKind == nil {
		v.byKind = map[ViolationKind]*Violations{}
	}
	found := v.byKind[kind]
	if found == nil {
		found = &Violations{Kind: kind}
		v.byKind[kind] = found
		v.order = append(v.order, kind)
	}
	found.Count++
	if len(found.Examples) < maxExamples {
		found.Examples = append(found.Examples, fmt.Sprintf(format, args...))
	}
}

func (v *violationSet) list() []Violations {
	out := []Violations{}
	for _, kind := range v.order {
		out = append(out, *v.byKind[kind])
	}
	return out
}

// checkAnswers finds violations that show in the responses alone.
func (v *violationSet) checkAnswers(results []result, operations []Operation) {
	keys := map[string]string{}
	for _, r := range results {
		if r.answerErr != nil {
			v.add(WrongAnswer, "%s %s: %v", operations[r.operation], r.id, r.answerErr)
		}
		if r.class == ClassUnclassified {
			v.add(NoOutcome, "%s %s: status %d", operations[r.operation], r.id, r.status)
		}
		if r.key == "" {
			continue
		}
		if firstID, used := keys[r.key]; used {
			v.add(KeyUsedTwice, "requests %s and %s", firstID, r.id)
		}
		keys[r.key] = r.id
	}
}

// countAttempts fills in how often each request arrived at a server.
func countAttempts(results []result, logs map[model.ServerID]backend.LogReport) {
	arrivals := map[string]int{}
	for _, report := range logs {
		for _, e := range report.Executions {
			arrivals[e.ClientID]++
		}
	}
	for i := range results {
		results[i].attempts = arrivals[results[i].id]
	}
}

// checkExecutions compares the outcomes reported to callers with the execution
// logs.
func (v *violationSet) checkExecutions(results []result, operations []Operation, logs map[model.ServerID]backend.LogReport) {
	runs := map[string][]backend.Execution{}
	for id, report := range logs {
		if report.Dropped > 0 {
			v.add(OracleIncomplete, "server %s has no record of %d requests", id, report.Dropped)
		}
		for _, e := range report.Executions {
			if e.Ran() && !e.Direct {
				runs[e.ClientID] = append(runs[e.ClientID], e)
			}
		}
	}
	for _, r := range results {
		ran := runs[r.id]
		op := operations[r.operation]
		if !op.Repeatable && len(ran) > 1 {
			v.add(ExecutedTwice, "%s %s (%s): %s", op, r.id, r.class, formatExecutions(ran))
		}
		notRun := r.class == ClassNotRun || r.class == ClassNoKey
		if notRun && len(ran) > 0 {
			v.add(NotRunThatRan, "%s %s (reason %s, sent %d times): %s", op, r.id, r.reason, r.sends, formatExecutions(ran))
		}
		if (r.class == ClassAnswered || r.class == ClassServerError) && len(ran) == 0 {
			v.add(AnsweredWithoutRun, "%s %s: status %d", op, r.id, r.status)
		}
	}
}

// formatExecutions lists where and when a request ran.
func formatExecutions(runs []backend.Execution) string {
	parts := make([]string, len(runs))
	for i, e := range runs {
		parts[i] = fmt.Sprintf("ran at %s from %s (%s)", e.Server, e.Started.Format("15:04:05.000"), e.End)
	}
	return strings.Join(parts, ", ")
}
