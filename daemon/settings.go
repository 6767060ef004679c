package daemon

import (
	"encoding/json"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/settings"
)

// Settings is the settings file of usherd. DefaultSettings returns the defaults.
// Settings without a default are required.
type Settings struct {
	Host      HostSettings     `json:"host"`
	Listeners ListenerSettings `json:"listeners"`
	Platform  PlatformSettings `json:"platform"`
	Fleet     FleetSettings    `json:"fleet"`
	Keys      KeySettings      `json:"keys"`
	Limits    LimitSettings    `json:"limits"`
	Stop      StopSettings     `json:"stop"`
	Log       LogSettings      `json:"log"`
	Trace     ModuleSettings   `json:"trace"`
	Detector  ModuleSettings   `json:"detector"`
	Dispatch  ModuleSettings   `json:"dispatch"`
}

// HostSettings identify this daemon's host and its location.
type HostSettings struct {
	ID         model.HostID     `json:"id" validate:"required,max=255"`
	DataCentre model.DataCentre `json:"dataCentre" validate:"required"`
	Region     model.Region     `json:"region" validate:"required"`
}

// ListenerSettings are the listeners' addresses, each "ip:port".
type ListenerSettings struct {
	// Caller serves requests of callers, which arrive through the platform's
	// load balancer.
	Caller string `json:"caller" validate:"hostname_port"`
	// Fleet serves requests that other daemons forward.
	Fleet string `json:"fleet" validate:"hostname_port"`
	// Peer serves JSON-RPC 2.0 calls of other daemons.
	Peer string `json:"peer" validate:"hostname_port"`
	// Admin serves health checks, metrics, the log level and the state.
	Admin string `json:"admin" validate:"hostname_port"`
}

// PlatformSettings configure access to the platform's object API.
type PlatformSettings struct {
	// URL of the object API, "http://ip:port".
	URL string `json:"url" validate:"url"`
	// Timeout bounds a call; default 2s.
	Timeout settings.Duration `json:"timeout" validate:"gt=0"`
}

// FleetSettings configure communication between daemons.
type FleetSettings struct {
	// Secrets authenticate daemons to each other: the first signs, all verify.
	// At least 16 bytes each.
	Secrets []string `json:"secrets" validate:"min=1,max=2,dive,min=16" sensitive:"true"`
	// Seeds are some hosts of the fleet, used at start while the platform's host
	// list is unavailable. The other hosts are learned from them.
	Seeds []SeedSettings `json:"seeds,omitempty" validate:"dive"`
}

// SeedSettings identify another host and the addresses of its listeners.
type SeedSettings struct {
	ID         model.HostID     `json:"id" validate:"required,max=255"`
	DataCentre model.DataCentre `json:"dataCentre" validate:"required"`
	Region     model.Region     `json:"region" validate:"required"`
	Fleet      string           `json:"fleet" validate:"hostname_port"`
	Peer       string           `json:"peer" validate:"hostname_port"`
}

// KeySettings configure idempotency keys.
type KeySettings struct {
	// Secrets sign keys: the first signs, all verify. At least 16 bytes each.
	Secrets []string `json:"secrets" validate:"min=1,max=2,dive,min=16" sensitive:"true"`
	// Lifetime of a key; default 15m.
	Lifetime settings.Duration `json:"lifetime" validate:"gt=0"`
	// MaxKeys bounds the number of unexpired keys; default 200000.
	MaxKeys int `json:"maxKeys" validate:"min=1"`
	// MaxBytes bounds the total size of stored responses; default 64 MiB.
	MaxBytes int `json:"maxBytes" validate:"min=1"`
	// MaxRecordBytes bounds one stored response; default 64 KiB.
	MaxRecordBytes int `json:"maxRecordBytes" validate:"min=1"`
}

// LimitSettings bound what callers and backend servers may send.
type LimitSettings struct {
	// MaxHeaderBytes bounds a request's headers; default 32 KiB.
	MaxHeaderBytes int `json:"maxHeaderBytes" validate:"min=1024"`
	// MaxRequestBytes bounds a request's body; default 1 MiB.
	MaxRequestBytes int64 `json:"maxRequestBytes" validate:"min=1"`
	// MaxResponseBytes bounds a response's body; default 8 MiB.
	MaxResponseBytes int64 `json:"maxResponseBytes" validate:"min=1"`
	// HeaderTimeout bounds reading a request's headers; default 5s.
	HeaderTimeout settings.Duration `json:"headerTimeout" validate:"gt=0"`
	// ReadTimeout bounds reading a whole request; default 30s.
	ReadTimeout settings.Duration `json:"readTimeout" validate:"gt=0"`
	// IdleTimeout closes idle connections of callers; default 60s.
	IdleTimeout settings.Duration `json:"idleTimeout" validate:"gt=0"`
	// ServerConnections bounds the connections to one backend server; default 64.
	ServerConnections int `json:"serverConnections" validate:"min=1"`
}

// StopSettings configure graceful shutdown.
type StopSettings struct {
	// Notice is how long the daemon goes on serving after it has announced that
	// it is leaving, so that the load balancer and the fleet stop sending
	// requests to it; default 3s.
	Notice settings.Duration `json:"notice" validate:"gte=0"`
	// Timeout bounds the wait for requests in progress and for the handover of
	// the idempotency keys; default 60s.
	Timeout settings.Duration `json:"timeout" validate:"gt=0"`
}

// LogSettings configure the log.
type LogSettings struct {
	// Level is error, warn, info or debug; default info.
	Level string `json:"level" validate:"oneof=error warn info debug"`
}

// ModuleSettings select a module and configure it.
type ModuleSettings struct {
	// Module is the dotted ID of the module.
	Module string `json:"module" validate:"required"`
	// Options are the settings of the module.
	Options json.RawMessage `json:"options,omitempty"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Platform: PlatformSettings{Timeout: settings.Duration(2 * time.Second)},
		Keys: KeySettings{
			Lifetime: settings.Duration(15 * time.Minute), MaxKeys: 200_000,
			MaxBytes: 64 << 20, MaxRecordBytes: 64 << 10,
		},
		Limits: LimitSettings{
			MaxHeaderBytes: 32 << 10, MaxRequestBytes: 1 << 20, MaxResponseBytes: 8 << 20,
			HeaderTimeout: settings.Duration(5 * time.Second), ReadTimeout: settings.Duration(30 * time.Second),
			IdleTimeout: settings.Duration(time.Minute), ServerConnections: 64,
		},
		Stop:     StopSettings{Notice: settings.Duration(3 * time.Second), Timeout: settings.Duration(time.Minute)},
		Log:      LogSettings{Level: "info"},
		Trace:    ModuleSettings{Module: "exporter.none"},
		Detector: ModuleSettings{Module: "detector.sequential"},
		Dispatch: ModuleSettings{Module: "dispatch.owner"},
	}
}

// LoadSettings reads a settings file. Settings that it does not contain have
// their defaults. Errors are those of settings.Load.
func LoadSettings(path string) (Settings, error) {
	s := DefaultSettings()
	err := settings.Load(path, &s)
	return s, err
}

func secretBytes(list []string) [][]byte {
	out := make([][]byte, len(list))
	for i, s := range list {
		out[i] = []byte(s)
	}
	return out
}
