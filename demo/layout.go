package demo

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/daemon"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/settings"
	"github.com/agateusher/agateusher/standin"
)

// The fleet of the demo: two daemons in each data centre of one region.
const (
	region              = model.Region("lagos")
	hostsPerDataCentre  = 2
	portsPerHost        = 4
	daemonStopNotice    = 300 * time.Millisecond
	daemonStopTimeout   = 10 * time.Second
	settingsPermissions = 0o600
)

var dataCentres = []model.DataCentre{"lagos-1", "lagos-2"}

// SetupError reports that the demo's environment could not be prepared.
type SetupError struct {
	Step string
	Err  error
}

// Error implements error.
func (e *SetupError) Error() string { return fmt.Sprintf("%s: %v", e.Step, e.Err) }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Err }

// host is one daemon of the demo.
type host struct {
	objectapi.Host
	admin string
}

// secrets holds the random secrets of one run.
type secrets struct {
	fleet, keys, token string
}

// freeAddresses returns n loopback addresses that are not in use.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		address, err := standin.FreeAddress()
		if err != nil {
			return nil, &SetupError{Step: "choose a port", Err: err}
		}
		addresses[i] = address
	}
	return addresses, nil
}

// layoutHosts returns the hosts with their identifiers and free loopback
// addresses.
func layoutHosts() ([]host, error) {
	count := hostsPerDataCentre * len(dataCentres)
	ports, err := freeAddresses(count * portsPerHost)
	if err != nil {
		return nil, err
	}
	hosts := make([]host, count)
	for i := range hosts {
		dataCentre := dataCentres[i/hostsPerDataCentre]
		p := ports[i*portsPerHost:]
		hosts[i] = host{admin: p[3], Host: objectapi.Host{
			ID:         model.HostID(fmt.Sprintf("%s-host-%d", dataCentre, i%hostsPerDataCentre+1)),
			DataCentre: dataCentre, Region: region,
			CallerAddress: p[0], FleetAddress: p[1], PeerAddress: p[2], State: objectapi.HostLive,
		}}
	}
	return hosts, nil
}

// daemonSettings returns the settings of one usherd.
func daemonSettings(h host, platform string, s secrets, o Options) daemon.Settings {
	d := daemon.DefaultSettings()
	if o.Dispatch != "" {
		d.Dispatch.Module = o.Dispatch
	}
	if o.Detector != "" {
		d.Detector.Module = o.Detector
	}
	d.Host = daemon.HostSettings{ID: h.ID, DataCentre: h.DataCentre, Region: h.Region}
	d.Listeners = daemon.ListenerSettings{Caller: h.CallerAddress, Fleet: h.FleetAddress, Peer: h.PeerAddress, Admin: h.admin}
	d.Platform.URL = "http://" + platform
	d.Fleet.Secrets = []string{s.fleet}
	d.Keys.Secrets = []string{s.keys}
	d.Stop = daemon.StopSettings{Notice: settings.Duration(daemonStopNotice), Timeout: settings.Duration(daemonStopTimeout)}
	return d
}

// writeSettings writes a settings file and returns its path.
func writeSettings(dir, name string, value any) (string, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return "", &SetupError{Step: "settings of " + name, Err: err}
	}
	path := filepath.Join(dir, name+".jsonc")
	if err := os.WriteFile(path, data, settingsPermissions); err != nil {
		return "", &SetupError{Step: "settings of " + name, Err: err}
	}
	return path, nil
}
