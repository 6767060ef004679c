package detector

import (
	"errors"

	core "github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/kernel"
)

// ConsecutiveID is the module ID of Consecutive.
const ConsecutiveID kernel.ModuleID = "detector.consecutive"

// ErrTooFewFailures is wrapped by SettingError for a limit below 1.
var ErrTooFewFailures = errors.New("expected at least 1")

// Consecutive is the module that creates core/detector.Consecutive detectors.
type Consecutive struct {
	// Failures is the number of failures in a row after which a server is
	// suspected.
	Failures int `json:"failures"`
}

var (
	_ Factory          = (*Consecutive)(nil)
	_ kernel.Validator = (*Consecutive)(nil)
)

func init() { kernel.Register(&Consecutive{}) }

// ModuleInfo implements kernel.Module.
func (*Consecutive) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: ConsecutiveID, New: func() kernel.Module {
		return &Consecutive{Failures: core.DefaultConsecutiveFailures}
	}}
}

// Validate implements kernel.Validator.
func (m *Consecutive) Validate() error {
	if m.Failures < 1 {
		return &SettingError{Setting: "failures", Err: ErrTooFewFailures}
	}
	return nil
}

// NewDetector implements Factory. It ignores the policy.
func (m *Consecutive) NewDetector(snapshot.Policy) (core.Detector, error) {
	return core.NewConsecutive(m.Failures), nil
}
