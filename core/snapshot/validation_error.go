package snapshot

import (
	"fmt"
	"strings"
)

// FieldViolation describes an invalid field of a change or of an object.
type FieldViolation struct {
	// Object is the invalid object; empty for a field of the change itself.
	Object Ref
	// Field is the JSON name of the field, with dots for nested fields.
	Field string
	// Value is the value found, as text.
	Value string
	// Expected describes the valid values.
	Expected string
}

// String returns "Kind name: field: got value, expected ...".
func (v FieldViolation) String() string {
	where := "change"
	if v.Object != (Ref{}) {
		where = v.Object.String()
	}
	return fmt.Sprintf("%s: %s: got %q, expected %s", where, v.Field, v.Value, v.Expected)
}

// ValidationError lists all violations found in a change or a snapshot.
type ValidationError struct {
	Violations []FieldViolation
}

// Error implements error. It returns one line for each violation.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = v.String()
	}
	return strings.Join(lines, "\n")
}

// validator collects violations. object is the object that is being checked,
// empty while the change itself is checked.
type validator struct {
	object     Ref
	violations []FieldViolation
}

func (v *validator) require(ok bool, field string, value any, expected string) {
	if !ok {
		v.violations = append(v.violations, FieldViolation{Object: v.object, Field: field, Value: fmt.Sprint(value), Expected: expected})
	}
}

func (v *validator) err() error {
	if len(v.violations) == 0 {
		return nil
	}
	return &ValidationError{Violations: v.violations}
}
