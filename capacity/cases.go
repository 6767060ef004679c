package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Limits and assumptions of the failure and load cases. Some repeat constants of
// other packages.
const (
	// pullTimeoutSeconds is configstore's pullTimeout, which covers a head and
	// all its chunks.
	pullTimeoutSeconds = 2
	// meanConfirmPauseSeconds is the mean retry interval of a host that starts
	// while the object API is unavailable: configstore's maxConfirmBackoff of
	// 30 s with jitter.
	meanConfirmPauseSeconds = 22.5
	hourSeconds             = 3_600
	outageHours             = 3
	// maxCoresPerShard is the share of one core that a shard may use.
	maxCoresPerShard = 0.5
	// maxUpdatesPerSecond limits the changes that a host sends, as in
	// core/membership.
	maxUpdatesPerSecond = 36
)

type caseLine struct {
	name, quantity string
	value          float64
	unit           unit
	arithmetic     string
}

func (m costModel) caseTable() string {
	s := Scales[len(Scales)-1]
	var rows [][]string
	for _, lines := range [][]caseLine{m.hostStartCase(s), m.dataCentreLossCase(s), m.regionPartitionCase(s), m.rollingReplacementCase(s), m.storeOutageCase(s), m.hotServiceCase(s), m.idleWorkspacesCase(s)} {
		for _, l := range lines {
			rows = append(rows, []string{l.name, l.quantity, l.unit.format(l.value), l.arithmetic})
		}
	}
	return table([]string{"case", "figure", "value", "arithmetic"}, rows)
}

func (m costModel) hostStartCase(s Scale) []caseLine {
	const name = "start"
	wire, packed := m.TargetState.Encoded*base64Factor, m.TargetState.Follower-m.TargetState.Objects
	first := m.slope("packed.route")*float64(s.Routes) + m.slope("packed.server")*float64(s.Servers) + m.slope("packed.service")*float64(s.Services)
	own := m.slope("packed.server") * float64(s.Servers) / float64(s.DataCentres)
	return []caseLine{
		{name, "chunks", m.TargetState.Chunks, unitPlain, "at the target"},
		{name, "bytes on the wire today", wire, unitBytes, "encoded chunks x 4/3"},
		{name, "time at 16 KB/s today", wire / controlBytesPerSecondLimit, unitSeconds, "bytes / 16 KB/s"},
		{name, "rate that today's pull needs", wire / pullTimeoutSeconds, unitRate, "bytes / 2 s, the time limit of a pull; below it the pull fails and starts again from nothing"},
		{name, "CPU", m.valueAt("start.cpu", float64(s.objects())), unitSeconds, "`start.cpu` at the target"},
		{name, "bytes if compressed chunks were sent", packed, unitBytes, "follower minus objects"},
		{name, "time at 16 KB/s then", packed / controlBytesPerSecondLimit, unitSeconds, "bytes / 16 KB/s"},
		{name, "bytes needed to route (services, routes, servers)", first, unitBytes, "`packed` slopes x objects"},
		{name, "time at 16 KB/s for them", first / controlBytesPerSecondLimit, unitSeconds, "bytes / 16 KB/s"},
		{name, "bytes of one data centre's servers", own, unitBytes, "`packed.server` x servers / data centres, if chunks were per data centre"},
		{name, "time at 16 KB/s for them", own / controlBytesPerSecondLimit, unitSeconds, "bytes / 16 KB/s"},
		{name, "share of the fleet that starts at one time then", (s.RestartsPerDay + s.FailuresPerDay) / daySeconds * packed / controlBytesPerSecondLimit / float64(s.Hosts), unitCore, "starts/s x time / hosts, as a share"},
	}
}

func (m costModel) dataCentreLossCase(s Scale) []caseLine {
	const name = "data centre lost"
	lost := float64(s.Hosts) / float64(s.DataCentres)
	after := s.RequestsPerSecond / (float64(s.Hosts) - lost)
	cpu := m.slope("request.entry.cpu") + m.slope("request.owner.cpu")
	bytes := 2 * lost * m.churnBytes(s)
	return []caseLine{
		{name, "hosts lost", lost, unitPlain, "hosts / data centres"},
		{name, "requests/s of each other host", after, "requests/s", "requests / hosts left"},
		{name, "CPU of entry and owner", cpu * after, unitCore, "slopes x requests/s"},
		{name, "control bytes at each other host", bytes, unitBytes, "2 state changes x hosts lost x bytes of a change"},
		{name, "time at 16 KB/s", bytes / controlBytesPerSecondLimit, unitSeconds, "bytes / 16 KB/s"},
		{name, "time to send all changes", 2 * lost * retransmissions(s.Hosts) / maxUpdatesPerSecond, unitSeconds, "2 x hosts lost x retransmissions / 36 a second, the bound of core/membership"},
		{name, "CPU for views at each other host", m.slope("members.view.cpu") * float64(s.Hosts) * 2 * lost, unitSeconds, "`members.view.cpu` x hosts x state changes, one view for each change"},
	}
}

func (m costModel) regionPartitionCase(s Scale) []caseLine {
	const name = "regions apart"
	changes := s.changeRate() * hourSeconds
	perChunk := m.TargetState.Encoded / m.TargetState.Chunks
	chunks := m.TargetState.Chunks * (1 - math.Pow(1-1/m.TargetState.Chunks, changes))
	bytes := chunks * perChunk * base64Factor
	relays := s.relays() / float64(s.Regions)
	return []caseLine{
		{name, "changes missed in an hour", changes, unitPlain, "changes/s x 3,600"},
		{name, "changes that a head carries", math.Floor(inlineChangesLimitBytes / m.slope("change.inline")), unitPlain, "8 KB / `change.inline`; after more, chunks are read"},
		{name, "chunks that differ", chunks, unitPlain, "chunks x (1 - (1 - 1/chunks)^changes), changes at random"},
		{name, "bytes for one host", bytes, unitBytes, "chunks x mean chunk x 4/3"},
		{name, "time for one relay over 30 Mbit/s", bytes / linkBytesPerSecond, unitSeconds, "bytes / 3.75 MB/s, alone on the link"},
		{name, "time if all relays of a region read at once", relays * bytes / linkBytesPerSecond, unitSeconds, "x relays of the region"},
		{name, "time for the other hosts at 16 KB/s", bytes / controlBytesPerSecondLimit, unitSeconds, "inside the data centre"},
		{name, "bytes of the changes alone", changes * m.slope("change.inline"), unitBytes, "`change.inline` x changes, what a delta would carry"},
		{name, "time for them at 16 KB/s", changes * m.slope("change.inline") / controlBytesPerSecondLimit, unitSeconds, "bytes / 16 KB/s"},
	}
}

func (m costModel) rollingReplacementCase(s Scale) []caseLine {
	const name = "rolling replacement"
	rate := (s.RestartsPerDay + s.FailuresPerDay) / daySeconds
	packed := m.TargetState.Follower - m.TargetState.Objects
	return []caseLine{
		{name, "hosts replaced a second at the daily rate", rate, "hosts/s", "29,590 / 86,400"},
		{name, "time for all hosts", float64(s.Hosts) / rate / hourSeconds, "h", "hosts / rate"},
		{name, "configuration bytes of all starts today", rate * m.TargetState.Encoded * base64Factor, unitRate, "rate x bytes on the wire, over the whole fleet"},
		{name, "the same, for each host that serves them", rate * m.TargetState.Encoded * base64Factor / float64(s.Hosts), unitRate, "/ hosts, if evenly spread"},
		{name, "the same with compressed chunks", rate * packed / float64(s.Hosts), unitRate, "rate x compressed bytes / hosts"},
		{name, "store reads if peers had no chunk", rate * m.TargetState.Chunks, unitCalls, "rate x chunks"},
		{name, "keys that one stop hands over", s.requestsPerHost() * s.KeyedShare * keyLifetimeSeconds, "keys", "spent keys/s x 900 s"},
		{name, "their bytes in memory", m.slope("key.spent") * s.requestsPerHost() * s.KeyedShare * keyLifetimeSeconds, unitBytes, "`key.spent` x keys"},
	}
}

func (m costModel) storeOutageCase(s Scale) []caseLine {
	const name = "store away for 3 h"
	started := (s.RestartsPerDay + s.FailuresPerDay) / daySeconds * outageHours * hourSeconds
	return []caseLine{
		{name, "hosts started meanwhile, unconfirmed", started, "hosts", "starts/s x 3 h"},
		{name, "calls/s of these to the store that is away", started / meanConfirmPauseSeconds, unitCalls, "hosts / 22.5 s"},
		{name, "calls/s of the relays", s.relays() * (1 / 3.75), unitCalls, "relays / mean pause of 3.75 s (5 s with jitter)"},
		{name, "report counters kept by one host", m.slope("report.held") * s.rows(), unitBytes, "slope x rows; they do not grow within a day"},
		{name, "writes when it is back", float64(s.Hosts) * math.Ceil(m.slope("report.writes")*s.rows()), "writes", "hosts x parts: the counters of all hosts"},
		{name, "time for them at 300 writes/s", float64(s.Hosts) * math.Ceil(m.slope("report.writes")*s.rows()) / writesPerSecondLimit / hourSeconds, "h", "writes / 300 / 3,600"},
	}
}

func (m costModel) hotServiceCase(s Scale) []caseLine {
	const name = "hot service"
	rate := s.RequestsPerSecond * largestServiceShare
	owner := m.slope("request.owner.cpu")
	shards := math.Ceil(rate / float64(s.PoolDataCentres) * owner / maxCoresPerShard)
	return []caseLine{
		{name, "requests/s", rate, unitPlain, "1.7 M / 50"},
		{name, "CPU of its owners", rate * owner, unitCores, "`request.owner.cpu` x requests/s"},
		{name, "shards in each of 4 data centres", shards, unitPlain, "requests/s / 4 x CPU / half a core, rounded up"},
		{name, "requests/s of a shard", rate / float64(s.PoolDataCentres) / shards, unitPlain, "requests/s / shards"},
		{name, "slots that a shard needs", rate / float64(s.PoolDataCentres) / shards * 0.02 / 0.8, unitPlain, "requests/s x 20 ms / 80%; a shard with few slots queues longer"},
	}
}

func (m costModel) idleWorkspacesCase(s Scale) []caseLine {
	const name = "few active workspaces"
	active := 1_000.0
	return []caseLine{
		{name, "configuration of all workspaces, decoded", m.slope("decoded.workspace") * float64(s.Workspaces), unitBytes, "`decoded.workspace` x 710,000: only the tuned ones"},
		{name, "their compressed chunks", m.slope("packed.workspace") * float64(s.Workspaces), unitBytes, "`packed.workspace` x 710,000"},
		{name, "at an owner, of a workspace without requests", m.slope("owner.workspace"), unitBytes, "`owner.workspace`: nothing stays"},
		{name, "at an owner, 1,000 workspaces that wait", m.slope("owner.queued") * active, unitBytes, "`owner.queued` x 1,000"},
		{name, "at an owner, 1,000 rate-limited ones", m.slope("owner.limited") * active, unitBytes, "`owner.limited` x 1,000"},
		{name, "report rows at the bound", m.slope("report.held") * maxRowsPerDaemon, unitBytes, "`report.held` x 4,096; more pairs share one row"},
	}
}

// bottleneck is a part of the system that reaches a limit as the fleet grows.
type bottleneck struct {
	name, limit, reachedAt string
	// targetRatio is the value at the target scale divided by the limit.
	targetRatio float64
}

// bottleneckTable lists the size at which each part reaches its limit, ordered by
// targetRatio, largest first.
func (m costModel) bottleneckTable() string {
	s := Scales[len(Scales)-1]
	parts := append(m.hostBottlenecks(s), m.objectBottlenecks(s)...)
	slices.SortStableFunc(parts, func(a, b bottleneck) int { return cmp.Compare(b.targetRatio, a.targetRatio) })
	var rows [][]string
	for _, p := range parts {
		rows = append(rows, []string{p.name, p.limit, p.reachedAt, fmt.Sprintf("%.2f", p.targetRatio)})
	}
	return table([]string{"part", "limit", "reached at", "target / limit"}, rows)
}

// hostBottlenecks returns the bottlenecks that grow with the number of hosts.
func (m costModel) hostBottlenecks(s Scale) []bottleneck {
	hosts, flushed := float64(s.Hosts), math.Ceil(m.slope("report.writes")*maxRowsPerDaemon)
	list, base := m.slope("hostlist.bytes")/hostListIntervalSeconds, m.valueAtLargest("members.bytes."+s.topology())
	far := s.relays() * float64(s.Regions-1) / float64(s.Regions)
	atLimit := func(limit, each float64) string { return fmt.Sprintf("%.0f hosts", limit/each) }
	return []bottleneck{
		{"report flushes", "300 writes/s to the object API", atLimit(writesPerSecondLimit*flushIntervalSeconds, flushed) + fmt.Sprintf(" with %.0f parts each", flushed), hosts * flushed / flushIntervalSeconds / writesPerSecondLimit},
		{"host list, read whole by relays", "16 KB/s at a relay", atLimit(controlBytesPerSecondLimit, list), list * hosts / controlBytesPerSecondLimit},
		{"host lists to the relays of other regions", "30 Mbit/s between regions", atLimit(linkBytesPerSecond, list*far), far * list * hosts / linkBytesPerSecond},
		{"heartbeats and spread of host changes", "16 KB/s", m.churnLimit(s), (base + m.churnBytes(s)*s.hostChangeRate()) / controlBytesPerSecondLimit},
	}
}

// objectBottlenecks returns the bottlenecks that grow with the number of
// configuration objects, in the target's mix.
func (m costModel) objectBottlenecks(s Scale) []bottleneck {
	n := float64(s.objects())
	encoded, base := m.TargetState.Encoded*base64Factor/n, m.valueAtLargest("members.bytes."+s.topology())
	objects := func(x float64) string { return fmt.Sprintf("%.3f million objects", max(x, 0)/1e6) }
	headRate := 2 * base64Factor * s.changeRate()
	head, _ := m.Fit("change.head")
	return []bottleneck{
		{"pull of a starting host within 2 s", "30 Mbit/s between regions", objects(linkBytesPerSecond * pullTimeoutSeconds / encoded), encoded * n / pullTimeoutSeconds / linkBytesPerSecond},
		{"heartbeats and heads, at the target's changes", "16 KB/s", objects(((controlBytesPerSecondLimit-base)/headRate - inlineChangesLimitBytes - head.Intercept) / head.Slope), (base + headRate*m.headBytes(s)) / controlBytesPerSecondLimit},
		{"CPU time of one change at usher-api", "9 s until in effect", objects(9 / m.slope("change.writer.cpu")), m.valueAt("change.writer.cpu", n) / 9},
		{"configuration state of a daemon", "128 MB", objects(memoryLimitBytes / m.TargetState.Total() * n), m.TargetState.Total() / memoryLimitBytes},
	}
}

// churnLimit returns the number of hosts at which heartbeats and host changes
// alone reach the limit of control bytes. Restarts per host are the target's.
func (m costModel) churnLimit(s Scale) string {
	x, share := s, 1/float64(s.Hosts)
	for x.Hosts = 100; x.Hosts < 100_000; x.Hosts += 100 {
		x.RestartsPerDay, x.FailuresPerDay = s.RestartsPerDay*share*float64(x.Hosts), s.FailuresPerDay*share*float64(x.Hosts)
		if m.valueAtLargest("members.bytes."+s.topology())+m.churnBytes(x)*x.hostChangeRate() > controlBytesPerSecondLimit {
			break
		}
	}
	return fmt.Sprintf("%d hosts", x.Hosts)
}
