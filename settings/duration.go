package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration written as a string with a unit, such as "250ms"
// or "1h30m".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a string with a unit. Null leaves the value unchanged,
// as it does for the standard types.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	if string(raw) == "null" {
		return nil
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// Expected implements Expecter.
func (Duration) Expected() string { return `a duration with a unit, such as "250ms"` }

// Expecter is implemented by settings types that describe the values they accept.
type Expecter interface {
	// Expected returns the end of "expected ..." in a message.
	Expected() string
}
