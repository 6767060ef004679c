package edge

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
	"github.com/agateusher/agateusher/gossip"
	"github.com/agateusher/agateusher/settings"
)

// Settings is the settings file of usher-edge.
type Settings struct {
	Host      HostSettings     `json:"host"`
	Listeners ListenerSettings `json:"listeners"`
	// Store is the address of the platform's store, "ip:port".
	Store string `json:"store" validate:"hostname_port"`
	// Seeds are admin addresses of some daemons. A starting daemon asks them for the
	// configuration and the servers, and for the list of hosts while the store is
	// unavailable.
	Seeds []string `json:"seeds,omitempty" validate:"dive,hostname_port"`
	// Regions maps each data centre to its region.
	Regions map[model.DataCentre]model.Region `json:"regions" validate:"min=1"`
	Retries RetrySettings                     `json:"retries"`
	Stop    StopSettings                      `json:"stop"`
	// MemoryMiB is the memory that the process may use, in MiB.
	MemoryMiB  int               `json:"memoryMiB" validate:"min=32"`
	Log        LogSettings       `json:"log"`
	Workspaces WorkspaceSettings `json:"workspaces"`
}

// HostSettings identify this daemon and its location.
type HostSettings struct {
	ID         model.HostID     `json:"id" validate:"required,max=255"`
	DataCentre model.DataCentre `json:"dataCentre" validate:"required"`
	Region     model.Region     `json:"region" validate:"required"`
	// Cores is the number of processor cores of the host and LinkMbps the capacity
	// of its network link, in Mbit/s. Larger hosts are preferred as relays. Zero:
	// not known.
	Cores    float64 `json:"cores,omitempty" validate:"gte=0"`
	LinkMbps float64 `json:"linkMbps,omitempty" validate:"gte=0"`
}

// relayWeight returns the host's weight in the choice of relays. The processor and
// the link count equally.
func (h HostSettings) relayWeight() uint32 { return uint32(100 * h.Cores * h.LinkMbps) }

// ListenerSettings are the listen addresses, "ip:port".
type ListenerSettings struct {
	// Caller serves callers, through the platform's load balancer.
	Caller string `json:"caller" validate:"hostname_port"`
	// Ready serves the readiness check of the load balancer.
	Ready string `json:"ready" validate:"hostname_port"`
	// Admin serves metrics, and hosts and catalogue to starting daemons.
	Admin string `json:"admin" validate:"hostname_port"`
	// Fleet serves the other daemons over UDP and TCP.
	Fleet string `json:"fleet" validate:"hostname_port"`
}

// RetrySettings bound the retries at backend servers, summed over the whole fleet. A
// retry is any arrival of a request at a server after the first.
type RetrySettings struct {
	// Ratio is the share of a service's requests that may be retried.
	Ratio float64 `json:"ratio" validate:"gte=0,lte=1"`
	// Slack is the number of retries per window that each service may use in
	// addition.
	Slack float64 `json:"slack" validate:"gte=0"`
	// Window is the period over which requests and retries are counted.
	Window settings.Duration `json:"window" validate:"gt=0"`
}

// StopSettings configure the graceful shutdown.
type StopSettings struct {
	// Grace is the time from the signal to the forced exit.
	Grace settings.Duration `json:"grace" validate:"gt=0"`
	// Notice is how long new requests are accepted after the signal, until the
	// load balancer has stopped sending them. At most half of Grace is used.
	Notice settings.Duration `json:"notice" validate:"gte=0"`
}

// LogSettings configure the log.
type LogSettings struct {
	// Level is error, warn, info or debug.
	Level string `json:"level" validate:"oneof=error warn info debug"`
	// RequestsPerSecond limits the log lines about requests. The lines left out
	// are counted.
	RequestsPerSecond float64 `json:"requestsPerSecond" validate:"gte=0"`
}

// WorkspaceSettings apply where the configuration has workspaces.
type WorkspaceSettings struct {
	Revocation RevocationSettings `json:"revocation"`
	Quota      QuotaSettings      `json:"quota"`
}

// RevocationSettings bound the time for which a revoked key is accepted.
type RevocationSettings struct {
	// Within is the time in which a revoked key stops working on every host; zero: the
	// deployment has no workspaces.
	Within settings.Duration `json:"within" validate:"gte=0"`
	// FailClosed makes a host refuse requests that need a key once the store has not
	// confirmed its configuration for Within. Otherwise the host continues with the
	// configuration that it has.
	FailClosed bool `json:"failClosed"`
}

// QuotaSettings bound the requests of a workspace that run in a window, over all
// hosts: (rate x window + burst) x (1 + overage) + slack.
type QuotaSettings struct {
	Window  settings.Duration `json:"window" validate:"gt=0"`
	Overage float64           `json:"overage" validate:"gte=0"`
	Slack   float64           `json:"slack" validate:"gte=0"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Retries:   RetrySettings{Ratio: 0.2, Slack: 10, Window: settings.Duration(10 * time.Second)},
		Stop:      StopSettings{Grace: settings.Duration(6 * time.Second), Notice: settings.Duration(2600 * time.Millisecond)},
		MemoryMiB: 256,
		Log:       LogSettings{Level: "info", RequestsPerSecond: 40},
		Workspaces: WorkspaceSettings{
			Quota: QuotaSettings{Window: settings.Duration(5 * time.Second), Overage: 0.1, Slack: 20},
		},
	}
}

// LoadSettings reads a settings file; keys that it leaves out keep their defaults.
// Errors are those of settings.Load.
func LoadSettings(path string) (Settings, error) {
	s := DefaultSettings()
	err := settings.Load(path, &s)
	return s, err
}

// failureModel describes how backend servers fail: partially, for several seconds
// during which most requests fail.
var failureModel = balance.Model{FailWhenServing: 0.015, FailWhenFailing: 0.75, OnsetRate: 0.04, RecoveryRate: 0.25}

// choiceCosts express transfers, at the platform's prices, and failures in units of
// the value of a request.
var choiceCosts = balance.Costs{
	CrossDataCentreByte:  2e-5 / requestValue,
	CrossRegionByte:      1.5e-4 / requestValue,
	IdempotentFailure:    1,
	NonIdempotentFailure: 2,
	RetriableFailure:     0.3,
	LateResponse:         0.4,
	UnreachablePath:      0.6,
	SheddingServer:       0.3,
	NewConnection:        0.02,
}

// requestValue is the mean value of a request, in the currency of the platform's
// prices.
const requestValue = 1.5

// RestartError reports a changed setting that takes effect only after a restart.
type RestartError struct{ Key string }

// Error implements error.
func (e *RestartError) Error() string {
	return fmt.Sprintf("settings: a change of %s needs a restart", e.Key)
}

const (
	// A daemon without content reads the store between bootstrapDelayMin and
	// bootstrapDelayMax after its start, if no other daemon has the content or reads it.
	bootstrapDelayMin = 300 * time.Millisecond
	bootstrapDelayMax = 700 * time.Millisecond
	// A seed waits for seedDelay, so that it hears the heartbeats of daemons that have
	// the content, and for seedStagger for each seed before it.
	seedDelay   = 200 * time.Millisecond
	seedStagger = 250 * time.Millisecond
)

// isSeed reports whether this daemon is one of the seeds.
func (s Settings) isSeed() bool { return slices.Contains(s.Seeds, s.Listeners.Admin) }

// memoryBytes returns the memory that the process may use.
func (s Settings) memoryBytes() int64 { return int64(s.MemoryMiB) << 20 }

// heapShare is the share of the process's memory to which the garbage collector limits
// the heap; the rest is for stacks and unread bytes.
const heapShare = 0.6

// HeapLimit returns the limit of the heap, in bytes.
func (s Settings) HeapLimit() int64 { return int64(heapShare * float64(s.memoryBytes())) }

// bootstrapDelay returns how long after its start this daemon waits for the content
// of another one before it calls the store. The delays of daemons differ, so that the
// first to call can pass its content on.
func (s Settings) bootstrapDelay() time.Duration {
	if len(s.Seeds) == 0 {
		return 0
	}
	if i := slices.Index(s.Seeds, s.Listeners.Admin); i >= 0 {
		return seedDelay + time.Duration(i)*seedStagger
	}
	spread := uint64(bootstrapDelayMax - bootstrapDelayMin)
	return bootstrapDelayMin + time.Duration(ranking.Score("bootstrap", s.Host.ID)%spread)
}

// localHost returns this daemon's entry in the registry.
func (s Settings) localHost() gossip.Host {
	return gossip.Host{
		ID: s.Host.ID, DataCentre: s.Host.DataCentre, Region: s.Host.Region,
		Address: s.Listeners.Fleet, Weight: s.Host.relayWeight(),
	}
}

// checkReload returns a *RestartError if next differs from s in a key that cannot be
// changed without a restart.
func (s Settings) checkReload(next Settings) error {
	for _, x := range []struct {
		key     string
		changed bool
	}{
		{"host", s.Host != next.Host},
		{"listeners", s.Listeners != next.Listeners},
		{"store", s.Store != next.Store},
		{"regions", !maps.Equal(s.Regions, next.Regions)},
		{"workspaces.quota", s.Workspaces.Quota != next.Workspaces.Quota},
	} {
		if x.changed {
			return &RestartError{Key: x.key}
		}
	}
	return nil
}
