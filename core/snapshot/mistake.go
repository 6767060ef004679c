package snapshot

import (
	"fmt"
	"strings"
)

// FieldViolation is one thing that is wrong with a change or a snapshot.
type FieldViolation struct {
	// Object is empty for a mistake in the change itself.
	Object Ref
	// Field is the JSON name of the field, with dots for nested fields.
	Field string
	// Value is what the field holds, as text.
	Value string
	// Expected says what would be accepted.
	Expected string
}

// String returns "Kind name: field: got value, expected ...".
func (m FieldViolation) String() string {
	where := "change"
	if m.Object != (Ref{}) {
		where = m.Object.String()
	}
	return fmt.Sprintf("%s: %s: got %q, expected %s", where, m.Field, m.Value, m.Expected)
}

// ValidationError lists all mistakes of a change or a snapshot.
type ValidationError struct {
	Violations []FieldViolation
}

// Error implements error, one line for each mistake.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, m := range e.Violations {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// mistakes collects the mistakes of one object after another.
type mistakes struct {
	object Ref
	list   []FieldViolation
}

func (m *mistakes) require(ok bool, field string, value any, expected string) {
	if !ok {
		m.list = append(m.list, FieldViolation{Object: m.object, Field: field, Value: fmt.Sprint(value), Expected: expected})
	}
}

func (m *mistakes) err() error {
	if len(m.list) == 0 {
		return nil
	}
	return &ValidationError{Violations: m.list}
}
