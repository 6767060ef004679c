package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Bounds of today's code that the hard cases meet.
const (
	// pullSeconds is configstore's pullTimeout, for a head and all its chunks.
	pullSeconds = 2
	// meanConfirmSeconds is the mean pause of a host that starts while the
	// object API is away: configstore's maxConfirmBackoff of 30 s with jitter.
	meanConfirmSeconds = 22.5
	hourSeconds        = 3_600
	outageHours        = 3
	// shardCores is the share of one core that a shard may use.
	shardCores = 0.5
	// updatesPerSecond bounds the changes that a host sends, as in
	// core/membership.
	updatesPerSecond = 36
)

type caseLine struct {
	name, what string
	value      float64
	unit       unit
	how        string
}

func (m costModel) caseTable() string {
	s := Scales[len(Scales)-1]
	var rows [][]string
	for _, lines := range [][]caseLine{m.startCase(s), m.lossCase(s), m.partitionCase(s), m.rollingCase(s), m.outageCase(s), m.hotCase(s), m.workspaceCase(s)} {
		for _, l := range lines {
			rows = append(rows, []string{l.name, l.what, l.unit.format(l.value), l.how})
		}
	}
	return table([]string{"case", "figure", "value", "arithmetic"}, rows)
}

func (m costModel) startCase(s Scale) []caseLine {
	const name = "start"
	wire, packed := m.After.Encoded*base64Factor, m.After.Follower-m.After.Objects
	first := m.slope("packed.route")*float64(s.Routes) + m.slope("packed.server")*float64(s.Servers) + m.slope("packed.service")*float64(s.Services)
	own := m.slope("packed.server") * float64(s.Servers) / float64(s.DataCentres)
	return []caseLine{
		{name, "chunks", m.After.Chunks, unitPlain, "at the target"},
		{name, "bytes on the wire today", wire, unitBytes, "encoded chunks x 4/3"},
		{name, "time at 16 KB/s today", wire / limitBytes, unitSeconds, "bytes / 16 KB/s"},
		{name, "rate that today's pull needs", wire / pullSeconds, unitRate, "bytes / 2 s, the time limit of a pull; below it the pull fails and starts again from nothing"},
		{name, "CPU", m.at("start.cpu", float64(s.objects())), unitSeconds, "`start.cpu` at the target"},
		{name, "bytes if compressed chunks were sent", packed, unitBytes, "follower minus objects"},
		{name, "time at 16 KB/s then", packed / limitBytes, unitSeconds, "bytes / 16 KB/s"},
		{name, "bytes needed to route (services, routes, servers)", first, unitBytes, "`packed` slopes x objects"},
		{name, "time at 16 KB/s for them", first / limitBytes, unitSeconds, "bytes / 16 KB/s"},
		{name, "bytes of one data centre's servers", own, unitBytes, "`packed.server` x servers / data centres, if chunks were per data centre"},
		{name, "time at 16 KB/s for them", own / limitBytes, unitSeconds, "bytes / 16 KB/s"},
		{name, "share of the fleet that starts at one time then", (s.Restarts + s.Failures) / daySeconds * packed / limitBytes / float64(s.Hosts), unitCore, "starts/s x time / hosts, as a share"},
	}
}

func (m costModel) lossCase(s Scale) []caseLine {
	const name = "data centre lost"
	lost := float64(s.Hosts) / float64(s.DataCentres)
	after := s.Requests / (float64(s.Hosts) - lost)
	cpu := m.slope("request.entry.cpu") + m.slope("request.owner.cpu")
	bytes := 2 * lost * m.churnBytes(s)
	return []caseLine{
		{name, "hosts lost", lost, unitPlain, "hosts / data centres"},
		{name, "requests/s of each other host", after, "requests/s", "requests / hosts left"},
		{name, "CPU of entry and owner", cpu * after, unitCore, "slopes x requests/s"},
		{name, "control bytes at each other host", bytes, unitBytes, "2 state changes x hosts lost x bytes of a change"},
		{name, "time at 16 KB/s", bytes / limitBytes, unitSeconds, "bytes / 16 KB/s"},
		{name, "time to send all changes", 2 * lost * retransmissions(s.Hosts) / updatesPerSecond, unitSeconds, "2 x hosts lost x retransmissions / 36 a second, the bound of core/membership"},
		{name, "CPU for views at each other host", m.slope("members.view.cpu") * float64(s.Hosts) * 2 * lost, unitSeconds, "`members.view.cpu` x hosts x state changes, one view for each change"},
	}
}

func (m costModel) partitionCase(s Scale) []caseLine {
	const name = "regions apart"
	changes := s.changeRate() * hourSeconds
	perChunk := m.After.Encoded / m.After.Chunks
	chunks := m.After.Chunks * (1 - math.Pow(1-1/m.After.Chunks, changes))
	bytes := chunks * perChunk * base64Factor
	relays := s.relays() / float64(s.Regions)
	return []caseLine{
		{name, "changes missed in an hour", changes, unitPlain, "changes/s x 3,600"},
		{name, "changes that a head carries", math.Floor(inlineBytes / m.slope("change.inline")), unitPlain, "8 KB / `change.inline`; after more, chunks are read"},
		{name, "chunks that differ", chunks, unitPlain, "chunks x (1 - (1 - 1/chunks)^changes), changes at random"},
		{name, "bytes for one host", bytes, unitBytes, "chunks x mean chunk x 4/3"},
		{name, "time for one relay over 30 Mbit/s", bytes / linkBytes, unitSeconds, "bytes / 3.75 MB/s, alone on the link"},
		{name, "time if all relays of a region read at once", relays * bytes / linkBytes, unitSeconds, "x relays of the region"},
		{name, "time for the other hosts at 16 KB/s", bytes / limitBytes, unitSeconds, "inside the data centre"},
		{name, "bytes of the changes alone", changes * m.slope("change.inline"), unitBytes, "`change.inline` x changes, what a delta would carry"},
		{name, "time for them at 16 KB/s", changes * m.slope("change.inline") / limitBytes, unitSeconds, "bytes / 16 KB/s"},
	}
}

func (m costModel) rollingCase(s Scale) []caseLine {
	const name = "rolling replacement"
	rate := (s.Restarts + s.Failures) / daySeconds
	packed := m.After.Follower - m.After.Objects
	return []caseLine{
		{name, "hosts replaced a second at the daily rate", rate, "hosts/s", "29,590 / 86,400"},
		{name, "time for all hosts", float64(s.Hosts) / rate / hourSeconds, "h", "hosts / rate"},
		{name, "configuration bytes of all starts today", rate * m.After.Encoded * base64Factor, unitRate, "rate x bytes on the wire, over the whole fleet"},
		{name, "the same, for each host that serves them", rate * m.After.Encoded * base64Factor / float64(s.Hosts), unitRate, "/ hosts, if evenly spread"},
		{name, "the same with compressed chunks", rate * packed / float64(s.Hosts), unitRate, "rate x compressed bytes / hosts"},
		{name, "store reads if peers had no chunk", rate * m.After.Chunks, unitCalls, "rate x chunks"},
		{name, "keys that one stop hands over", s.requestsPerHost() * s.Keyed * keySeconds, "keys", "spent keys/s x 900 s"},
		{name, "their bytes in memory", m.slope("key.spent") * s.requestsPerHost() * s.Keyed * keySeconds, unitBytes, "`key.spent` x keys"},
	}
}

func (m costModel) outageCase(s Scale) []caseLine {
	const name = "store away for 3 h"
	started := (s.Restarts + s.Failures) / daySeconds * outageHours * hourSeconds
	return []caseLine{
		{name, "hosts started meanwhile, unconfirmed", started, "hosts", "starts/s x 3 h"},
		{name, "calls/s of these to the store that is away", started / meanConfirmSeconds, unitCalls, "hosts / 22.5 s"},
		{name, "calls/s of the relays", s.relays() * (1 / 3.75), unitCalls, "relays / mean pause of 3.75 s (5 s with jitter)"},
		{name, "report counters kept by one host", m.slope("report.held") * s.rows(), unitBytes, "slope x rows; they do not grow within a day"},
		{name, "writes when it is back", float64(s.Hosts) * math.Ceil(m.slope("report.writes")*s.rows()), "writes", "hosts x parts: the counters of all hosts"},
		{name, "time for them at 300 writes/s", float64(s.Hosts) * math.Ceil(m.slope("report.writes")*s.rows()) / limitWrites / hourSeconds, "h", "writes / 300 / 3,600"},
	}
}

func (m costModel) hotCase(s Scale) []caseLine {
	const name = "hot service"
	rate := s.Requests * hotShare
	owner := m.slope("request.owner.cpu")
	shards := math.Ceil(rate / float64(s.PoolDataCentres) * owner / shardCores)
	return []caseLine{
		{name, "requests/s", rate, unitPlain, "1.7 M / 50"},
		{name, "CPU of its owners", rate * owner, unitCores, "`request.owner.cpu` x requests/s"},
		{name, "shards in each of 4 data centres", shards, unitPlain, "requests/s / 4 x CPU / half a core, rounded up"},
		{name, "requests/s of a shard", rate / float64(s.PoolDataCentres) / shards, unitPlain, "requests/s / shards"},
		{name, "slots that a shard needs", rate / float64(s.PoolDataCentres) / shards * 0.02 / 0.8, unitPlain, "requests/s x 20 ms / 80%; a shard with few slots queues longer"},
	}
}

func (m costModel) workspaceCase(s Scale) []caseLine {
	const name = "few active workspaces"
	active := 1_000.0
	return []caseLine{
		{name, "configuration of all workspaces, decoded", m.slope("decoded.workspace") * float64(s.Workspaces), unitBytes, "`decoded.workspace` x 710,000: only the tuned ones"},
		{name, "their compressed chunks", m.slope("packed.workspace") * float64(s.Workspaces), unitBytes, "`packed.workspace` x 710,000"},
		{name, "at an owner, of a workspace without requests", m.slope("owner.workspace"), unitBytes, "`owner.workspace`: nothing stays"},
		{name, "at an owner, 1,000 workspaces that wait", m.slope("owner.queued") * active, unitBytes, "`owner.queued` x 1,000"},
		{name, "at an owner, 1,000 rate-limited ones", m.slope("owner.limited") * active, unitBytes, "`owner.limited` x 1,000"},
		{name, "report rows at the bound", m.slope("report.held") * rowsPerDaemon, unitBytes, "`report.held` x 4,096; more pairs share one row"},
	}
}

// part is something that reaches a limit as the fleet grows.
type part struct {
	name, limit, reached string
	// ratio is the value at the target in units of the limit.
	ratio float64
}

// breakTable says at which size each part reaches its limit, ordered by the
// ratio at the target.
func (m costModel) breakTable() string {
	s := Scales[len(Scales)-1]
	parts := append(m.hostParts(s), m.objectParts(s)...)
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.ratio, a.ratio) })
	var rows [][]string
	for _, p := range parts {
		rows = append(rows, []string{p.name, p.limit, p.reached, fmt.Sprintf("%.2f", p.ratio)})
	}
	return table([]string{"part", "limit", "reached at", "target / limit"}, rows)
}

// hostParts are those that grow with the number of hosts.
func (m costModel) hostParts(s Scale) []part {
	hosts, flushed := float64(s.Hosts), math.Ceil(m.slope("report.writes")*rowsPerDaemon)
	list, base := m.slope("hostlist.bytes")/hostListSeconds, m.last("members.bytes."+s.wiring())
	far := s.relays() * float64(s.Regions-1) / float64(s.Regions)
	atLimit := func(limit, each float64) string { return fmt.Sprintf("%.0f hosts", limit/each) }
	return []part{
		{"report flushes", "300 writes/s to the object API", atLimit(limitWrites*flushSeconds, flushed) + fmt.Sprintf(" with %.0f parts each", flushed), hosts * flushed / flushSeconds / limitWrites},
		{"host list, read whole by relays", "16 KB/s at a relay", atLimit(limitBytes, list), list * hosts / limitBytes},
		{"host lists to the relays of other regions", "30 Mbit/s between regions", atLimit(linkBytes, list*far), far * list * hosts / linkBytes},
		{"heartbeats and spread of host changes", "16 KB/s", m.churnLimit(s), (base + m.churnBytes(s)*s.hostChangeRate()) / limitBytes},
	}
}

// objectParts are those that grow with the number of configuration objects, in
// the target's mix.
func (m costModel) objectParts(s Scale) []part {
	n := float64(s.objects())
	encoded, base := m.After.Encoded*base64Factor/n, m.last("members.bytes."+s.wiring())
	objects := func(x float64) string { return fmt.Sprintf("%.3f million objects", max(x, 0)/1e6) }
	headRate := 2 * base64Factor * s.changeRate()
	head, _ := m.Fit("change.head")
	return []part{
		{"pull of a starting host within 2 s", "30 Mbit/s between regions", objects(linkBytes * pullSeconds / encoded), encoded * n / pullSeconds / linkBytes},
		{"heartbeats and heads, at the target's changes", "16 KB/s", objects(((limitBytes-base)/headRate - inlineBytes - head.Intercept) / head.Slope), (base + headRate*m.headBytes(s)) / limitBytes},
		{"CPU time of one change at usher-api", "9 s until in effect", objects(9 / m.slope("change.writer.cpu")), m.at("change.writer.cpu", n) / 9},
		{"configuration state of a daemon", "128 MB", objects(limitMemory / m.After.Total() * n), m.After.Total() / limitMemory},
	}
}

// churnLimit returns the number of hosts, with the target's restarts for each,
// at which heartbeats and host changes alone reach the limit.
func (m costModel) churnLimit(s Scale) string {
	x, share := s, 1/float64(s.Hosts)
	for x.Hosts = 100; x.Hosts < 100_000; x.Hosts += 100 {
		x.Restarts, x.Failures = s.Restarts*share*float64(x.Hosts), s.Failures*share*float64(x.Hosts)
		if m.last("members.bytes."+s.wiring())+m.churnBytes(x)*x.hostChangeRate() > limitBytes {
			break
		}
	}
	return fmt.Sprintf("%d hosts", x.Hosts)
}
