package detector

import (
	core "github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/settings"
)

// SequentialID is the ID of the plug-in Sequential.
const SequentialID kernel.ModuleID = "detector.sequential"

// Profile holds the thresholds of one policy; core/detector.Profile describes
// each.
type Profile struct {
	// Threshold is the score at which a server is suspected, in nats.
	Threshold float64 `json:"threshold"`
	// FailureRate is the least failure rate that counts as sick, 0 to 1.
	FailureRate float64 `json:"failureRate"`
	// FailureOdds is the least odds ratio of failures to the peers' odds.
	FailureOdds float64 `json:"failureOdds"`
	// LatencyHazard and StallHazard describe slow and stalled servers, 0 to 1.
	LatencyHazard float64 `json:"latencyHazard"`
	StallHazard   float64 `json:"stallHazard"`
	// MinFailures, MinSlow and MinStalled are least numbers of attempts.
	MinFailures int `json:"minFailures"`
	MinSlow     int `json:"minSlow"`
	MinStalled  int `json:"minStalled"`
	// PeerMargin multiplies the peers' median score in the threshold.
	PeerMargin float64 `json:"peerMargin"`
	// TailIndex extrapolates the latency tail as t^-tailIndex.
	TailIndex float64 `json:"tailIndex"`
	// Window is the reference's length in attempts of the pool.
	Window float64 `json:"window"`
	// MaxGap is the longest time between calls that is no pause.
	MaxGap settings.Duration `json:"maxGap"`
}

func fromCore(p core.Profile) Profile {
	return Profile{
		Threshold: p.Threshold, FailureRate: p.FailureRate, FailureOdds: p.FailureOdds,
		LatencyHazard: p.LatencyHazard, StallHazard: p.StallHazard,
		MinFailures: p.MinFailures, MinSlow: p.MinSlow, MinStalled: p.MinStalled,
		PeerMargin: p.PeerMargin, TailIndex: p.TailIndex, Window: p.Window,
		MaxGap: settings.Duration(p.MaxGap),
	}
}

func (p Profile) toCore(name snapshot.Policy) core.Profile {
	return core.Profile{
		Name:      string(name),
		Threshold: p.Threshold, FailureRate: p.FailureRate, FailureOdds: p.FailureOdds,
		LatencyHazard: p.LatencyHazard, StallHazard: p.StallHazard,
		MinFailures: p.MinFailures, MinSlow: p.MinSlow, MinStalled: p.MinStalled,
		PeerMargin: p.PeerMargin, TailIndex: p.TailIndex, Window: p.Window,
		MaxGap: p.MaxGap.Std(),
	}
}

// Sequential is the plug-in for core/detector.Sequential.
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
