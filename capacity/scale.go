package capacity

import (
	"time"

	"github.com/agateusher/agateusher/daemon"
)

// Scale is a size of the fleet and its traffic.
type Scale struct {
	Name string
	Sizes
	Hosts, DataCentres, Regions int
	// PoolDataCentres is the number of data centres that have servers of a
	// service.
	PoolDataCentres int
	// Requests is the peak rate of the fleet in requests a second, and Keyed
	// the share of them that spends a key.
	Requests, Keyed float64
	// Changes, Restarts and Failures are those of a day.
	Changes, Restarts, Failures float64
}

// Scales are the two users today and the target. What the design page does not
// give is an assumption that the page lists.
var Scales = []Scale{
	{
		Name: "Consortium today", Sizes: Sizes{Services: 2, Servers: 35, Routes: 20, Workspaces: 200}, Hosts: 40, DataCentres: 4, Regions: 2,
		PoolDataCentres: 4, Requests: 2_800, Keyed: 0.1, Changes: 100, Restarts: 166, Failures: 3.4,
	},
	{
		Name: "Ridemark today", Sizes: Sizes{Services: 2, Servers: 25, Routes: 20, Workspaces: 200}, Hosts: 40, DataCentres: 4, Regions: 2,
		PoolDataCentres: 4, Requests: 2_000, Keyed: 0.1, Changes: 100, Restarts: 166, Failures: 3.4,
	},
	{
		Name: "Target", Sizes: TargetSizes, Hosts: 7_000, DataCentres: targetDataCentres, Regions: targetRegions,
		PoolDataCentres: dataCentresPerService, Requests: 1_700_000, Keyed: 0.1, Changes: targetChanges, Restarts: 29_000, Failures: 590,
	},
}

// Limits of control for each daemon, of the object API and of links, from the
// design page.
const (
	limitMemory     = 128e6
	limitCPU        = 0.026
	limitBytes      = 16e3
	limitWrites     = 300
	limitReads      = 2_000
	linkBytes       = 30e6 / 8
	limitValueBytes = 1e6
	// base64Factor is the growth of chunks and heads in JSON between daemons.
	base64Factor = 4.0 / 3
	// statesPerRestart: leaving, gone, alive.
	statesPerRestart = 3
	// relaysPerDataCentre as in package daemon.
	relaysPerDataCentre = 2
	// watchSeconds is the platform's limit for a watch.
	watchSeconds = 30
	// flushSeconds is report.DefaultInterval.
	flushSeconds = 60
	// hostListSeconds is the time between a relay's reads of the host list.
	hostListSeconds = float64(daemon.HostListInterval) / float64(time.Second)
	// rowsPerDaemon is report.DefaultMaxRows.
	rowsPerDaemon = 4_096
	// keySeconds is the lifetime of a key, idempotency.DefaultLimits.
	keySeconds = 900
	// queueLimit is the number of waiting requests of a pool in the generated
	// objects.
	queueLimit = 200
	// hotShare is the share of all requests that go to the largest service.
	hotShare = 1.0 / 50
	// inlineBytes is configstore's bound on the changes that a head carries,
	// and the 10 measured ones are part of it.
	inlineBytes = 8 << 10
)

func (s Scale) changeRate() float64 { return s.Changes / daySeconds }

// hostChangeRate is the number of changes of a host's state a second.
func (s Scale) hostChangeRate() float64 {
	return statesPerRestart * (s.Restarts + s.Failures) / daySeconds
}

func (s Scale) requestsPerHost() float64 { return s.Requests / float64(s.Hosts) }
func (s Scale) relays() float64          { return float64(relaysPerDataCentre * s.DataCentres) }
func (s Scale) pools() float64           { return float64(s.Services * s.PoolDataCentres) }

// rows is the number of report rows of one daemon: every pair of service and
// workspace reaches it, up to the bound.
func (s Scale) rows() float64 { return min(rowsPerDaemon, float64(s.Services*s.Workspaces)) }

// wiring names the membership fits with this scale's heartbeat peers: measured
// in 4 and in 15 data centres.
func (s Scale) wiring() string {
	if s.DataCentres <= lightDataCentres {
		return "4"
	}
	return "15"
}
