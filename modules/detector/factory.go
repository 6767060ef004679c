package detector

import (
	"fmt"

	core "github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/snapshot"
)

// Factory is implemented by the modules of the namespace "detector".
type Factory interface {
	// NewDetector returns a detector for one pool of a service with the given
	// policy. The error is *PolicyError for a policy without a profile.
	NewDetector(policy snapshot.Policy) (core.Detector, error)
}

// PolicyError reports a policy that has no profile.
type PolicyError struct {
	Policy snapshot.Policy
}

// Error implements error.
func (e *PolicyError) Error() string {
	return fmt.Sprintf("no detector profile for policy %q", e.Policy)
}

// SettingError reports a setting out of range.
type SettingError struct {
	Setting string
	Err     error
}

// Error implements error.
func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %v", e.Setting, e.Err) }

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }
