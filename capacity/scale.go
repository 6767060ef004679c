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
	// RequestsPerSecond is the fleet's peak rate, and KeyedShare the share of
	// requests that spend an idempotency key.
	RequestsPerSecond, KeyedShare                 float64
	ChangesPerDay, RestartsPerDay, FailuresPerDay float64
}

// Scales are the two users' present fleets and the target. Values that the design
// page does not give are assumptions that the page lists.
var Scales = []Scale{
	{
		Name: "Consortium today", Sizes: Sizes{Services: 2, Servers: 35, Routes: 20, Workspaces: 200}, Hosts: 40, DataCentres: 4, Regions: 2,
		PoolDataCentres: 4, RequestsPerSecond: 2_800, KeyedShare: 0.1, ChangesPerDay: 100, RestartsPerDay: 166, FailuresPerDay: 3.4,
	},
	{
		Name: "Ridemark today", Sizes: Sizes{Services: 2, Servers: 25, Routes: 20, Workspaces: 200}, Hosts: 40, DataCentres: 4, Regions: 2,
		PoolDataCentres: 4, RequestsPerSecond: 2_000, KeyedShare: 0.1, ChangesPerDay: 100, RestartsPerDay: 166, FailuresPerDay: 3.4,
	},
	{
		Name: "Target", Sizes: TargetSizes, Hosts: 7_000, DataCentres: targetDataCentres, Regions: targetRegions,
		PoolDataCentres: dataCentresPerService, RequestsPerSecond: 1_700_000, KeyedShare: 0.1, ChangesPerDay: targetChanges, RestartsPerDay: 29_000, FailuresPerDay: 590,
	},
}

// Limits of the control traffic and state of each daemon, of the object API and of
// links, from the design page.
const (
	memoryLimitBytes           = 128e6
	cpuLimitCores              = 0.026
	controlBytesPerSecondLimit = 16e3
	writesPerSecondLimit       = 300
	readsPerSecondLimit        = 2_000
	linkBytesPerSecond         = 30e6 / 8
	valueBytesLimit            = 1e6
	// base64Factor is the growth of chunks and heads between daemons, which send
	// them as base64 in JSON.
	base64Factor = 4.0 / 3
	// statesPerRestart counts the states that a restart passes through: leaving,
	// gone, alive.
	statesPerRestart = 3
	// relaysPerDataCentre is that of package daemon.
	relaysPerDataCentre = 2
	// watchTimeoutSeconds is the platform's time limit for a watch.
	watchTimeoutSeconds = 30
	// flushIntervalSeconds is report.DefaultInterval.
	flushIntervalSeconds = 60
	// hostListIntervalSeconds is the time between a relay's reads of the host list.
	hostListIntervalSeconds = float64(daemon.HostListInterval) / float64(time.Second)
	// maxRowsPerDaemon is report.DefaultMaxRows.
	maxRowsPerDaemon = 4_096
	// keyLifetimeSeconds is the lifetime of a key, idempotency.DefaultLimits.
	keyLifetimeSeconds = 900
	// queueLimit is the number of waiting requests of a pool in the generated
	// objects.
	queueLimit = 200
	// largestServiceShare is the share of all requests that go to the largest service.
	largestServiceShare = 1.0 / 50
	// inlineChangesLimitBytes is configstore's limit for the changes that a head
	// carries. The 10 changes in the measured heads count towards it.
	inlineChangesLimitBytes = 8 << 10
)

func (s Scale) changeRate() float64 { return s.ChangesPerDay / daySeconds }

// hostChangeRate returns the number of host state changes a second in the fleet.
func (s Scale) hostChangeRate() float64 {
	return statesPerRestart * (s.RestartsPerDay + s.FailuresPerDay) / daySeconds
}

func (s Scale) requestsPerHost() float64 { return s.RequestsPerSecond / float64(s.Hosts) }
func (s Scale) relays() float64          { return float64(relaysPerDataCentre * s.DataCentres) }
func (s Scale) pools() float64           { return float64(s.Services * s.PoolDataCentres) }

// rows returns the number of report rows of one daemon. It assumes that requests
// of every pair of service and workspace reach the daemon, up to
// maxRowsPerDaemon rows.
func (s Scale) rows() float64 { return min(maxRowsPerDaemon, float64(s.Services*s.Workspaces)) }

// topology returns the suffix of the membership fits whose heartbeat peers match
// this scale's. Membership was measured in 4 and in 15 data centres.
func (s Scale) topology() string {
	if s.DataCentres <= smallFleetDataCentres {
		return "4"
	}
	return "15"
}
