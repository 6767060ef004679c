package apiserver

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/operator"
	"github.com/agateusher/agateusher/settings"
)

// Settings is the settings file of usher-api. Default returns the default values;
// settings without one are required.
type Settings struct {
	// Listener is the address on which operators are served, "ip:port".
	Listener string           `json:"listener" validate:"tcp_addr"`
	Platform PlatformSettings `json:"platform"`
	Hosts    HostSettings     `json:"hosts"`
	// Tokens authenticate operators. A name may have several tokens, so that a
	// token can be replaced without an interruption.
	Tokens []operator.Token `json:"tokens" validate:"min=1,unique=Secret,dive"`
	Limits LimitSettings    `json:"limits"`
	Report ReportSettings   `json:"report"`
	Stop   StopSettings     `json:"stop"`
	Log    LogSettings      `json:"log"`
}

// PlatformSettings configure the access to the platform's object API.
type PlatformSettings struct {
	// URL of the object API, "http://ip:port".
	URL string `json:"url" validate:"http_url"`
	// Timeout applies to each call of the object API; default 2s.
	Timeout settings.Duration `json:"timeout" validate:"gt=0"`
}

// HostSettings configure how the fleet's hosts are found and queried.
type HostSettings struct {
	// List replaces the platform's host list, which is used if List is empty.
	List []ListedHost `json:"list" validate:"unique=ID,dive"`
	// AdminTimeout applies to the request to one host; default 2s.
	AdminTimeout settings.Duration `json:"adminTimeout" validate:"gt=0"`
}

// ListedHost is an entry of HostSettings.List.
type ListedHost struct {
	ID         model.HostID     `json:"id" validate:"required"`
	DataCentre model.DataCentre `json:"dataCentre" validate:"required"`
	// AdminAddress is "ip:port" of the daemon's admin listener.
	AdminAddress string `json:"adminAddress" validate:"hostname_port"`
}

// LimitSettings limit the size of requests and the duration of calls.
type LimitSettings struct {
	// MaxRequestBytes limits the size of a request; default 8 MiB.
	MaxRequestBytes int `json:"maxRequestBytes" validate:"min=1024"`
	// CallTimeout applies to all calls except reports; default 30s.
	CallTimeout settings.Duration `json:"callTimeout" validate:"gt=0"`
	// ReportTimeout applies to reports; default 10m.
	ReportTimeout settings.Duration `json:"reportTimeout" validate:"gt=0"`
	// HeaderTimeout limits the time to read a request's headers; default 5s.
	HeaderTimeout settings.Duration `json:"headerTimeout" validate:"gt=0"`
	// ReadTimeout limits the time to read a whole request; default 30s.
	ReadTimeout settings.Duration `json:"readTimeout" validate:"gt=0"`
	// IdleTimeout is how long an idle connection stays open; default 60s.
	IdleTimeout settings.Duration `json:"idleTimeout" validate:"gt=0"`
}

// ReportSettings configure daily reports.
type ReportSettings struct {
	// ReadsPerSecond limits the object API reads for reports; default 200, a
	// tenth of what the object API sustains.
	ReadsPerSecond int `json:"readsPerSecond" validate:"min=1"`
	// TimeZone determines when a day begins. It must be the daemons' time zone;
	// default UTC.
	TimeZone string `json:"timeZone" validate:"timezone"`
}

// StopSettings configure the graceful shutdown.
type StopSettings struct {
	// Notice is how long the server continues to accept calls after it reports
	// that it is not ready; default 1s.
	Notice settings.Duration `json:"notice" validate:"gte=0"`
	// Timeout limits the wait for running calls to end; default 30s.
	Timeout settings.Duration `json:"timeout" validate:"gt=0"`
}

// LogSettings configure the log.
type LogSettings struct {
	// Level is error, warn, info or debug; default info.
	Level string `json:"level" validate:"oneof=error warn info debug"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Platform: PlatformSettings{Timeout: settings.Duration(objectapi.DefaultTimeout)},
		Hosts:    HostSettings{AdminTimeout: settings.Duration(operator.DefaultAdminTimeout)},
		Limits: LimitSettings{
			MaxRequestBytes: operator.DefaultMaxRequestBytes,
			CallTimeout:     settings.Duration(operator.DefaultCallTimeout),
			ReportTimeout:   settings.Duration(operator.DefaultReportTimeout),
			HeaderTimeout:   settings.Duration(5 * time.Second),
			ReadTimeout:     settings.Duration(30 * time.Second),
			IdleTimeout:     settings.Duration(time.Minute),
		},
		Report: ReportSettings{ReadsPerSecond: 200, TimeZone: "UTC"},
		Stop:   StopSettings{Notice: settings.Duration(time.Second), Timeout: settings.Duration(30 * time.Second)},
		Log:    LogSettings{Level: "info"},
	}
}

// LoadSettings reads a settings file; settings that it omits keep their defaults.
// Errors are those of settings.Load.
func LoadSettings(path string) (Settings, error) {
	s := Default()
	err := settings.Load(path, &s)
	return s, err
}
