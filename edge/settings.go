package edge

import (
	"fmt"
	"maps"
	"time"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/gossip"
	"github.com/agateusher/agateusher/settings"
)

// Settings is the settings file of usher-edge.
type Settings struct {
	Host      HostSettings     `json:"host"`
	Listeners ListenerSettings `json:"listeners"`
	// Store is the address of the platform's store, "ip:port".
	Store string `json:"store" validate:"hostname_port"`
	// Seeds are admin addresses of some daemons, for a start while the store is
	// away.
	Seeds []string `json:"seeds,omitempty" validate:"dive,hostname_port"`
	// Regions maps each data centre to its region.
	Regions map[model.DataCentre]model.Region `json:"regions" validate:"min=1"`
	Retries RetrySettings                     `json:"retries"`
	Stop    StopSettings                      `json:"stop"`
	// MemoryMiB is the memory that the process may use.
	MemoryMiB int         `json:"memoryMiB" validate:"min=32"`
	Log       LogSettings `json:"log"`
}

// HostSettings say who and where this daemon is.
type HostSettings struct {
	ID         model.HostID     `json:"id" validate:"required,max=255"`
	DataCentre model.DataCentre `json:"dataCentre" validate:"required"`
	Region     model.Region     `json:"region" validate:"required"`
	// Cores and LinkMbps are the host's processor, in cores, and its link, in
	// Mbit/s. Larger hosts are relays first. Zero: not known.
	Cores    float64 `json:"cores,omitempty" validate:"gte=0"`
	LinkMbps float64 `json:"linkMbps,omitempty" validate:"gte=0"`
}

// weight is the host's weight as a relay: its processor and its link count alike.
func (h HostSettings) weight() uint32 { return uint32(100 * h.Cores * h.LinkMbps) }

// ListenerSettings are addresses, "ip:port".
type ListenerSettings struct {
	// Caller serves callers, through the platform's balancer.
	Caller string `json:"caller" validate:"hostname_port"`
	// Ready answers the balancer's question whether this daemon takes requests.
	Ready string `json:"ready" validate:"hostname_port"`
	// Admin serves metrics and daemons that start.
	Admin string `json:"admin" validate:"hostname_port"`
	// Fleet serves the other daemons, over UDP and TCP.
	Fleet string `json:"fleet" validate:"hostname_port"`
}

// RetrySettings bound arrivals at backend servers beyond the first of each
// request, over the whole fleet.
type RetrySettings struct {
	// Ratio is the share of a service's requests that may be repeated.
	Ratio float64 `json:"ratio" validate:"gte=0,lte=1"`
	// Slack is added to that for each service, in requests per window.
	Slack float64 `json:"slack" validate:"gte=0"`
	// Window is the span that both are counted over.
	Window settings.Duration `json:"window" validate:"gt=0"`
}

// StopSettings configure the planned stop.
type StopSettings struct {
	// Grace is the time from the signal to the forced end.
	Grace settings.Duration `json:"grace" validate:"gt=0"`
	// Notice is how long new requests are taken after the signal, so that the
	// balancer has stopped sending them; at most half of Grace is used.
	Notice settings.Duration `json:"notice" validate:"gte=0"`
}

// LogSettings configure the log.
type LogSettings struct {
	// Level is error, warn, info or debug.
	Level string `json:"level" validate:"oneof=error warn info debug"`
	// RequestsPerSecond bounds the lines about requests; the rest is counted.
	RequestsPerSecond float64 `json:"requestsPerSecond" validate:"gte=0"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Retries:   RetrySettings{Ratio: 0.2, Slack: 10, Window: settings.Duration(10 * time.Second)},
		Stop:      StopSettings{Grace: settings.Duration(6 * time.Second), Notice: settings.Duration(2600 * time.Millisecond)},
		MemoryMiB: 256,
		Log:       LogSettings{Level: "info", RequestsPerSecond: 40},
	}
}

// LoadSettings reads a settings file over the defaults. Errors are those of
// settings.Load.
func LoadSettings(path string) (Settings, error) {
	s := DefaultSettings()
	err := settings.Load(path, &s)
	return s, err
}

// beliefModel describes how backend servers fail: grey failures of several
// seconds during which most requests fail.
var beliefModel = balance.Model{FailWhenServing: 0.015, FailWhenFailing: 0.75, OnsetRate: 0.04, RecoveryRate: 0.25}

// costs weigh transfers at the platform's prices against a request's worth.
var costs = balance.Costs{
	CrossDataCentreByte:  2e-5 / requestWorth,
	CrossRegionByte:      1.5e-4 / requestWorth,
	IdempotentFailure:    1,
	NonIdempotentFailure: 2,
	RetriableFailure:     0.3,
	LateResponse:         0.4,
	UnreachablePath:      0.6,
	SheddingServer:       0.3,
}

// requestWorth is the mean worth of a request in the units of the prices.
const requestWorth = 1.5

// RestartError reports a change of the settings that a running daemon cannot
// apply.
type RestartError struct{ Key string }

// Error implements error.
func (e *RestartError) Error() string {
	return fmt.Sprintf("settings: a change of %s needs a restart", e.Key)
}

// self describes this daemon to the others.
func (s Settings) self() gossip.Host {
	return gossip.Host{
		ID: s.Host.ID, DataCentre: s.Host.DataCentre, Region: s.Host.Region,
		Address: s.Listeners.Fleet, Weight: s.Host.weight(),
	}
}

// checkReload returns a *RestartError if next differs from s in a key that is
// fixed at the start.
func (s Settings) checkReload(next Settings) error {
	for _, x := range []struct {
		key     string
		changed bool
	}{
		{"host", s.Host != next.Host},
		{"listeners", s.Listeners != next.Listeners},
		{"store", s.Store != next.Store},
		{"regions", !maps.Equal(s.Regions, next.Regions)},
	} {
		if x.changed {
			return &RestartError{Key: x.key}
		}
	}
	return nil
}
