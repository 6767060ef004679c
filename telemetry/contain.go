package telemetry

import (
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/agateusher/agateusher/core/invariant"
)

// Contain runs f, one unit of work such as a request or a datagram. A panic in f ends
// only this unit: it is logged with its stack and counted by unit in panics (which may be
// nil), and Contain returns false. Violations of invariants that have no handler, as
// in tests, stay fatal.
func Contain(log Logger, panics *CounterVec, unit string, f func()) (ok bool) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if violation, isViolation := v.(invariant.Violation); isViolation {
			panic(violation)
		}
		if panics != nil {
			panics.Inc(unit, "")
		}
		log.WithFields(Fields{"event": "panic", "unit": unit, "panic": fmt.Sprint(v), "stack": oneLine(debug.Stack())}).
			Error("a unit of work failed unexpectedly; the process goes on")
	}()
	f()
	return true
}

// maxStackBytes bounds the logged stack.
const maxStackBytes = 4 << 10

// oneLine returns a stack trace as one line.
func oneLine(stack []byte) string {
	text := strings.Join(strings.Fields(string(stack)), " ")
	return text[:min(len(text), maxStackBytes)]
}
