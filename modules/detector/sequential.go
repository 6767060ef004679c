package detector

import (
	core "github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/settings"
)

// SequentialID is the module ID of Sequential.
const SequentialID kernel.ModuleID = "detector.sequential"

// Profile holds the thresholds of one policy. core/detector.Profile documents
// them in full.
type Profile struct {
	// Threshold is the score at which a server is suspected, in nats, at up to
	// 10 requests per second per server.
	Threshold float64 `json:"threshold"`
	// FailureRate is the lowest failure rate at which a server counts as failing,
	// 0 to 1.
	FailureRate float64 `json:"failureRate"`
	// FailureOdds is the lowest ratio of a failing server's odds of failure to
	// those of its peers.
	FailureOdds float64 `json:"failureOdds"`
	// LatencyHazard and StallHazard are the rates at which a slow and a stalled
	// server answer relative to their peers, 0 to 1.
	LatencyHazard float64 `json:"latencyHazard"`
	StallHazard   float64 `json:"stallHazard"`
	// SlowFactor is the tolerated ratio of a server's latency to its peers'.
	SlowFactor float64 `json:"slowFactor"`
	// MinFailures, MinSlow and MinStalled are the lowest numbers of attempts that
	// can bring the failure, latency and stall scores to Threshold.
	MinFailures int `json:"minFailures"`
	MinSlow     int `json:"minSlow"`
	MinStalled  int `json:"minStalled"`
	// PeerMargin is the multiple of the peers' median score that is added to
	// Threshold.
	PeerMargin float64 `json:"peerMargin"`
	// TailIndex is the exponent with which the tail of the peers' latency
	// distribution is extrapolated, as t^-TailIndex.
	TailIndex float64 `json:"tailIndex"`
	// Window is the number of recent attempts of the pool that form the
	// reference.
	Window float64 `json:"window"`
	// MaxGap is the longest time between two calls of the detector that is
	// counted as waiting. A longer gap is taken as a pause of this process.
	MaxGap settings.Duration `json:"maxGap"`
}

func fromCore(p core.Profile) Profile {
	return Profile{
		Threshold: p.Threshold, FailureRate: p.FailureRate, FailureOdds: p.FailureOdds,
		LatencyHazard: p.LatencyHazard, StallHazard: p.StallHazard, SlowFactor: p.SlowFactor,
		MinFailures: p.MinFailures, MinSlow: p.MinSlow, MinStalled: p.MinStalled,
		PeerMargin: p.PeerMargin, TailIndex: p.TailIndex, Window: p.Window,
		MaxGap: settings.Duration(p.MaxGap),
	}
}

func (p Profile) toCore(name snapshot.Policy) core.Profile {
	return core.Profile{
		Name:      string(name),
		Threshold: p.Threshold, FailureRate: p.FailureRate, FailureOdds: p.FailureOdds,
		LatencyHazard: p.LatencyHazard, StallHazard: p.StallHazard, SlowFactor: p.SlowFactor,
		MinFailures: p.MinFailures, MinSlow: p.MinSlow, MinStalled: p.MinStalled,
		PeerMargin: p.PeerMargin, TailIndex: p.TailIndex, Window: p.Window,
		MaxGap: p.MaxGap.Std(),
	}
}

// Sequential is the module that creates core/detector.Sequential detectors.
type Sequential struct {
	Ridemark   Profile `json:"ridemark"`
	Consortium Profile `json:"consortium"`

	profiles map[snapshot.Policy]core.Profile
}

var (
	_ Factory            = (*Sequential)(nil)
	_ kernel.Provisioner = (*Sequential)(nil)
	_ kernel.Validator   = (*Sequential)(nil)
)

func init() { kernel.Register(&Sequential{}) }

// ModuleInfo implements kernel.Module.
func (*Sequential) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: SequentialID, New: func() kernel.Module {
		return &Sequential{Ridemark: fromCore(core.Ridemark()), Consortium: fromCore(core.Consortium())}
	}}
}

// Provision implements kernel.Provisioner.
func (m *Sequential) Provision() error {
	m.profiles = map[snapshot.Policy]core.Profile{
		snapshot.PolicyRidemark:   m.Ridemark.toCore(snapshot.PolicyRidemark),
		snapshot.PolicyConsortium: m.Consortium.toCore(snapshot.PolicyConsortium),
	}
	return nil
}

// Validate implements kernel.Validator. Errors are *SettingError and wrap
// *core/detector.ProfileError.
func (m *Sequential) Validate() error {
	for _, policy := range []snapshot.Policy{snapshot.PolicyRidemark, snapshot.PolicyConsortium} {
		if err := m.profiles[policy].Validate(); err != nil {
			return &SettingError{Setting: string(policy), Err: err}
		}
	}
	return nil
}

// NewDetector implements Factory.
func (m *Sequential) NewDetector(policy snapshot.Policy) (core.Detector, error) {
	p, ok := m.profiles[policy]
	if !ok {
		return nil, &PolicyError{Policy: policy}
	}
	return core.NewSequential(p), nil
}
