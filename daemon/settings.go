package daemon

import (
	"encoding/json"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/settings"
)

// Settings is the settings file of usherd. DefaultSettings returns the defaults; what
// has none is required.
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

// HostSettings says who and where this daemon is.
type HostSettings struct {
	ID         model.HostID     `json:"id" validate:"required,max=255"`
	DataCentre model.DataCentre `json:"dataCentre" validate:"required"`
	Region     model.Region     `json:"region" validate:"required"`
}

// ListenerSettings are addresses, "ip:port".
type ListenerSettings struct {
	// Caller serves callers, through the platform's balancer.
	Caller string `json:"caller" validate:"hostname_port"`
	// Fleet serves forwarded requests of other daemons.
	Fleet string `json:"fleet" validate:"hostname_port"`
	// Peer serves jsonrpc2 of other daemons.
	Peer string `json:"peer" validate:"hostname_port"`
	// Admin serves health, metrics, log level and state.
	Admin string `json:"admin" validate:"hostname_port"`
}

// PlatformSettings say where the platform's object API is.
type PlatformSettings struct {
	// URL of the object API, "http://ip:port".
	URL string `json:"url" validate:"url"`
	// Timeout bounds a call; default 2s.
	Timeout settings.Duration `json:"timeout" validate:"gt=0"`
}

// FleetSettings secure and bound what daemons say to each other.
type FleetSettings struct {
	// Secrets authenticate daemons; the first signs, all verify.
	Secrets []string `json:"secrets" validate:"min=1,max=2,dive,min=16" sensitive:"true"`
	// Seeds are some hosts of the fleet, for a start while the platform's host
	// list is away; all others are learned from them.
	Seeds []SeedSettings `json:"seeds,omitempty" validate:"dive"`
}

// SeedSettings name another host and its listeners.
type SeedSettings struct {
	ID         model.HostID     `json:"id" validate:"required,max=255"`
	DataCentre model.DataCentre `json:"dataCentre" validate:"required"`
	Region     model.Region     `json:"region" validate:"required"`
	Fleet      string           `json:"fleet" validate:"hostname_port"`
	Peer       string           `json:"peer" validate:"hostname_port"`
}

// KeySettings configure idempotency keys.
type KeySettings struct {
	// Secrets sign keys; the first signs, all verify.
	Secrets []string `json:"secrets" validate:"min=1,max=2,dive,min=16" sensitive:"true"`
	// Lifetime of a key; default 15m.
	Lifetime settings.Duration `json:"lifetime" validate:"gt=0"`
	// MaxKeys bounds the unexpired keys; default 200000.
	MaxKeys int `json:"maxKeys" validate:"min=1"`
	// MaxBytes bounds the kept responses; default 64 MiB.
	MaxBytes int `json:"maxBytes" validate:"min=1"`
	// MaxRecordBytes bounds one kept response; default 64 KiB.
	MaxRecordBytes int `json:"maxRecordBytes" validate:"min=1"`
}

// LimitSettings bound what callers and backend servers may send.
type LimitSettings struct {
	// MaxHeaderBytes of a request; default 32 KiB.
	MaxHeaderBytes int `json:"maxHeaderBytes" validate:"min=1024"`
	// MaxRequestBytes of a body; default 1 MiB.
	MaxRequestBytes int64 `json:"maxRequestBytes" validate:"min=1"`
	// MaxResponseBytes of a body; default 8 MiB.
	MaxResponseBytes int64 `json:"maxResponseBytes" validate:"min=1"`
	// HeaderTimeout bounds the reading of a request's headers; default 5s.
	HeaderTimeout settings.Duration `json:"headerTimeout" validate:"gt=0"`
	// ReadTimeout bounds the reading of a whole request; default 30s.
	ReadTimeout settings.Duration `json:"readTimeout" validate:"gt=0"`
	// IdleTimeout closes idle connections of callers; default 60s.
	IdleTimeout settings.Duration `json:"idleTimeout" validate:"gt=0"`
	// ServerConnections bounds connections to one backend server; default 64.
	ServerConnections int `json:"serverConnections" validate:"min=1"`
}

// StopSettings configure the planned stop.
type StopSettings struct {
	// Notice is how long the daemon goes on serving after it says that it is
	// leaving, so that the balancer and the fleet stop sending; default 3s.
	Notice settings.Duration `json:"notice" validate:"gte=0"`
	// Timeout bounds the wait for the last request; default 60s.
	Timeout settings.Duration `json:"timeout" validate:"gt=0"`
}

// LogSettings configure the log.
type LogSettings struct {
	// Level is error, warn, info or debug; default info.
	Level string `json:"level" validate:"oneof=error warn info debug"`
}

// ModuleSettings choose a plug-in and its settings.
type ModuleSettings struct {
	// Module is the plug-in's dotted ID.
	Module string `json:"module" validate:"required"`
	// Options are the plug-in's own settings.
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

// LoadSettings reads a settings file over the defaults. Errors are those of
// settings.Load.
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
