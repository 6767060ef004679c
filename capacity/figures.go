package capacity

import (
	"fmt"
	"math"
	"math/bits"
	"strings"
)

// figure is one row of a role's table.
type figure struct {
	role, quantity string
	value          float64
	unit           unit
	// limit is in the unit of value, and zero where none applies.
	limit float64
	// fits are the names of the fits used, and arithmetic says how value is
	// computed from them.
	fits       []string
	arithmetic string
}

type unit string

const (
	unitBytes      unit = "B"
	unitRate       unit = "B/s"
	unitMessages   unit = "messages/s"
	unitCalls      unit = "calls/s"
	unitCore       unit = "% of a core"
	unitCores      unit = "cores"
	unitSeconds    unit = "s"
	unitPlain      unit = ""
	overTheLimit        = "**over**"
	withinLimit         = "within"
	noLimitApplies      = "-"
)

// format returns a value with a suitable multiple of its unit, such as KB or MB.
func (u unit) format(v float64) string {
	switch u {
	case unitBytes, unitRate:
		for _, x := range []struct {
			size float64
			name string
		}{{1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}} {
			if math.Abs(v) >= x.size {
				return number(v/x.size) + " " + x.name + strings.TrimPrefix(string(u), "B")
			}
		}
	case unitCore:
		return number(100*v) + "%"
	}
	return strings.TrimSpace(number(v) + " " + string(u))
}

func number(v float64) string {
	switch a := math.Abs(v); {
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	}
	return strings.TrimSuffix(fmt.Sprintf("%.2g", v), ".0")
}

func (f figure) limitStatus() string {
	switch {
	case f.limit == 0:
		return noLimitApplies
	case f.value > f.limit:
		return overTheLimit
	}
	return withinLimit
}

// costModel computes figures from fits. A fit that was not measured gives NaN,
// which Generate reports as a *MarkerError.
type costModel struct{ Measurements }

func (m costModel) slope(name string) float64 {
	f, ok := m.Fit(name)
	if !ok {
		return math.NaN()
	}
	return f.Slope
}

// valueAt returns the line's value at x. Below the smallest measured size it
// returns the value measured at that size, an upper bound.
func (m costModel) valueAt(name string, x float64) float64 {
	f, ok := m.Fit(name)
	if !ok || len(f.Points) == 0 {
		return math.NaN()
	}
	if x < f.Points[0].X {
		return f.Points[0].Y
	}
	return f.At(x)
}

// valueAtLargest returns the value measured at the largest size.
func (m costModel) valueAtLargest(name string) float64 {
	f, ok := m.Fit(name)
	if !ok || len(f.Points) == 0 {
		return math.NaN()
	}
	return f.Points[len(f.Points)-1].Y
}

// sumOverObjects returns the cost of a part, such as "decoded", for all objects:
// the sum of slope x count over the kinds of objects.
func (m costModel) sumOverObjects(part string, n Sizes) float64 {
	return m.slope(part+".route")*float64(n.Routes) + m.slope(part+".workspace")*float64(n.Workspaces) +
		m.slope(part+".server")*float64(n.Servers) + m.slope(part+".service")*float64(n.Services)
}

func objectFitNames(part string) []string {
	return []string{part + ".route", part + ".workspace", part + ".server", part + ".service"}
}

// retransmissions returns how many times a host sends each change, as in
// core/membership.
func retransmissions(hosts int) float64 { return float64(2 * bits.Len(uint(hosts+1))) }

// churnBytes returns the bytes that each host sends and receives for one change
// of a host's state. The number of retransmissions scales the measured slope.
func (m costModel) churnBytes(s Scale) float64 {
	return m.slope("members.churn") * retransmissions(s.Hosts) / retransmissions(2*churnHosts)
}

// headBytes returns the size of a head that carries as many changes as its limit
// allows.
func (m costModel) headBytes(s Scale) float64 {
	return m.valueAt("change.head", float64(s.objects())) + inlineChangesLimitBytes
}

// stateBytes returns the memory of a daemon's configuration state.
func (m costModel) stateBytes(s Scale) float64 {
	return m.sumOverObjects("decoded", s.Sizes) + m.sumOverObjects("packed", s.Sizes) + m.sumOverObjects("compiled", s.Sizes)
}

// controlBytes returns the control traffic of each daemon in bytes a second, sent
// and received.
func (m costModel) controlBytes(s Scale) float64 {
	return m.valueAtLargest("members.bytes."+s.topology()) + m.churnBytes(s)*s.hostChangeRate() + m.configBytes(s) + m.startBytes(s) + m.flushBytes(s)
}

// startBytes returns the bytes a second for the whole configuration, which
// starting hosts receive and other hosts send, as a mean over all hosts.
func (m costModel) startBytes(s Scale) float64 {
	return 2 * base64Factor * m.sumOverObjects("encoded", s.Sizes) * (s.RestartsPerDay + s.FailuresPerDay) / daySeconds / float64(s.Hosts)
}

// configBytes returns the bytes a second for heads, each received once and sent
// once for each change.
func (m costModel) configBytes(s Scale) float64 {
	return 2 * base64Factor * m.headBytes(s) * s.changeRate()
}

// flushBytes returns the bytes a second for report flushes.
func (m costModel) flushBytes(s Scale) float64 {
	return m.slope("report.bytes") * s.rows() / flushIntervalSeconds
}

// daemonFigures returns the figures that apply to every daemon, whatever its
// roles.
func (m costModel) daemonFigures(s Scale) []figure {
	const role = "every daemon"
	hosts, objects := float64(s.Hosts), float64(s.objects())
	members, reports := m.slope("members.memory")*hosts, m.slope("report.held")*s.rows()
	base, churn := m.valueAtLargest("members.bytes."+s.topology()), m.churnBytes(s)*s.hostChangeRate()
	config, written := m.configBytes(s), m.flushBytes(s)
	cpuMembers := m.valueAt("members.cpu."+s.topology(), hosts) + m.slope("members.view.cpu")*hosts*s.hostChangeRate()
	cpuConfig := (m.valueAt("change.daemon.cpu", objects) + m.valueAt("change.compile.cpu", objects)) * s.changeRate()
	return []figure{
		{role, "configuration objects", m.sumOverObjects("decoded", s.Sizes), unitBytes, 0, objectFitNames("decoded"), "slopes x objects"},
		{role, "chunks kept for peers", m.sumOverObjects("packed", s.Sizes), unitBytes, 0, objectFitNames("packed"), "slopes x objects"},
		{role, "compiled catalogue", m.sumOverObjects("compiled", s.Sizes), unitBytes, 0, objectFitNames("compiled"), "slopes x objects"},
		{role, "membership table and view", members, unitBytes, 0, []string{"members.memory"}, "slope x hosts"},
		{role, "report counters", reports, unitBytes, 0, []string{"report.held"}, "slope x rows of one day, at most 4,096"},
		{role, "memory of control state", m.stateBytes(s) + members + reports, unitBytes, memoryLimitBytes, nil, "sum of the above, live heap"},
		{role, "heap with garbage, GOGC=100", m.valueAt("peak.100", objects) + members + reports, unitBytes, memoryLimitBytes, []string{"peak.100"}, "configuration state while changes are applied + membership + reports; request traffic adds to it"},
		{role, "heap with garbage, GOGC=25", m.valueAt("peak.25", objects) + members + reports, unitBytes, memoryLimitBytes, []string{"peak.25"}, "the same with a collector that runs more often"},
		{role, "membership, no changes", base, unitRate, 0, []string{"members.bytes." + s.topology()}, "value at the largest measured fleet"},
		{role, "membership, host changes", churn, unitRate, 0, []string{"members.churn"}, "slope x host changes/s x retransmissions(hosts)/retransmissions(measured)"},
		{role, "configuration", config, unitRate, 0, []string{"change.head"}, "(head + 8 KB of changes) x 4/3 x changes/s, received once and sent once"},
		{role, "configuration of starting hosts", m.startBytes(s), unitRate, 0, objectFitNames("encoded"), "slopes x objects x 4/3 x starts/s / hosts, received and sent, a mean over all hosts"},
		{role, "report flushes", written, unitRate, 0, []string{"report.bytes"}, "slope x rows / 60 s; rows with a full histogram are larger"},
		{role, "control bytes", m.controlBytes(s), unitRate, controlBytesPerSecondLimit, nil, "sum of the above"},
		{role, "control messages", m.valueAtLargest("members.messages."+s.topology()) + 4*s.changeRate(), unitMessages, 0, []string{"members.messages." + s.topology(), "hosts.messages"}, "value at the largest measured fleet, and a call and answer received and sent for each change"},
		{role, "CPU of membership", cpuMembers, unitCore, 0, []string{"members.cpu." + s.topology(), "members.view.cpu"}, "line at hosts + slope x hosts x host changes/s"},
		{role, "CPU of configuration", cpuConfig, unitCore, 0, []string{"change.daemon.cpu", "change.compile.cpu"}, "CPU of a change x changes/s"},
		{role, "control CPU", cpuMembers + cpuConfig, unitCore, cpuLimitCores, nil, "sum of the above"},
		{role, "report writes", m.slope("report.writes") * s.rows() / flushIntervalSeconds, unitCalls, 0, []string{"report.writes"}, "slope x rows / 60 s"},
	}
}

// requestFigures returns the figures of the roles on the request path. Their CPU
// time serves requests and does not count as control.
func (m costModel) requestFigures(s Scale) []figure {
	perHost, pools := s.requestsPerHost(), s.pools()/float64(s.Hosts)
	keys := perHost * s.KeyedShare
	servers := float64(s.Servers) / float64(s.Hosts)
	return []figure{
		{"entry", "CPU of requests", m.slope("request.entry.cpu") * perHost, unitCore, 0, []string{"request.entry.cpu"}, fmt.Sprintf("slope x %s requests/s of one host", number(perHost))},
		{"pool owner", "CPU of requests", m.slope("request.owner.cpu") * perHost, unitCore, 0, []string{"request.owner.cpu"}, "slope x requests/s of one host"},
		{"pool owner", "state of servers", m.slope("owner.server") * servers, unitBytes, 0, []string{"owner.server"}, fmt.Sprintf("slope x %s servers of one host", number(servers))},
		{"pool owner", "full queues", m.slope("owner.queued") * pools * queueLimit, unitBytes, 0, []string{"owner.queued"}, fmt.Sprintf("slope x 200 waiting requests x %s pools of one host, without bodies", number(pools))},
		{"pool owner", "rate-limited workspaces", m.slope("owner.limited") * min(maxRowsPerDaemon, float64(s.Workspaces)/workspacesPerTunedWorkspace), unitBytes, 0, []string{"owner.limited"}, "slope x one workspace in 50, at most 4,096 active at one owner"},
		{"key issuer", "keys issued and spent", keys, "keys/s", 0, nil, fmt.Sprintf("requests/s of one host x %s", number(s.KeyedShare))},
		{"key issuer", "CPU of keys", (m.slope("key.call.cpu") + m.slope("key.spend.cpu")) * keys, unitCore, 0, []string{"key.call.cpu", "key.spend.cpu"}, "slopes x keys/s"},
		{"key issuer", "ledger", m.slope("key.spent") * keys * keyLifetimeSeconds, unitBytes, 0, []string{"key.spent"}, "slope x keys/s x 900 s, responses of 512 bytes"},
		{"key issuer", "memory with the ledger", m.stateBytes(s) + m.slope("members.memory")*float64(s.Hosts) + m.slope("report.held")*s.rows() + m.slope("key.spent")*keys*keyLifetimeSeconds, unitBytes, memoryLimitBytes, nil, "control state and ledger"},
	}
}

// storeFigures returns the figures of relays, usher-api and the object API.
func (m costModel) storeFigures(s Scale) []figure {
	objects, relays := float64(s.objects()), s.relays()
	farRelays := relays * float64(s.Regions-1) / float64(s.Regions)
	list := m.valueAt("hostlist.bytes", float64(s.Hosts)) / hostListIntervalSeconds
	head := m.headBytes(s)
	peerHeads := m.valueAtLargest("hosts.region") / m.slope("hosts.bytes") / (smallFleetRelaysPerDataCentre * smallFleetDataCentres)
	watch := s.changeRate() + 1.0/watchTimeoutSeconds
	writes := float64(s.Hosts)*math.Ceil(m.slope("report.writes")*s.rows())/flushIntervalSeconds + 2*s.changeRate()
	restarts := (s.RestartsPerDay + s.FailuresPerDay) / daySeconds
	reads := relays*watch + relays/hostListIntervalSeconds + s.changeRate() + restarts*2
	return []figure{
		{"relay", "watch of the head", watch, unitCalls, 0, []string{"rate.calls"}, "one each 30 s and one a change"},
		{"relay", "head received", head * s.changeRate(), unitRate, 0, []string{"change.head"}, "(head + 8 KB of changes) x changes/s"},
		{"relay", "host list received", list, unitRate, 0, []string{"hostlist.bytes"}, fmt.Sprintf("whole list, once in %s s", number(hostListIntervalSeconds))},
		{"relay", "control bytes", list + head*s.changeRate() + m.controlBytes(s), unitRate, controlBytesPerSecondLimit, nil, "sum of the above and those of every daemon"},
		{"usher-api", "CPU of changes", m.valueAt("change.writer.cpu", objects) * s.changeRate(), unitCore, 0, []string{"change.writer.cpu"}, "CPU of a change x changes/s, one process"},
		{"usher-api", "CPU time of one change", m.valueAt("change.writer.cpu", objects), unitSeconds, 9, []string{"change.writer.cpu"}, "against 9 s until a change is in effect"},
		{"usher-api", "memory of the configuration", m.valueAt("writer.memory", objects), unitBytes, 0, []string{"writer.memory"}, "line at the number of objects; usher-api is no daemon"},
		{"usher-api", "store calls", m.valueAtLargest("change.calls") * s.changeRate(), unitCalls, 0, []string{"change.calls"}, "calls of a change x changes/s"},
		{"object API", "writes of reports", float64(s.Hosts) * math.Ceil(m.slope("report.writes")*s.rows()) / flushIntervalSeconds, unitCalls, 0, []string{"report.writes"}, "hosts x parts / 60 s"},
		{"object API", "writes", writes, unitCalls, writesPerSecondLimit, []string{"change.calls"}, "reports, and two a change"},
		{"object API", "reads", reads, unitCalls, readsPerSecondLimit, []string{"rate.calls", "hosts.calls"}, "relays' watches and host lists, the writer, and a head and a host list for each start"},
		{"object API", "largest value", head, unitBytes, valueBytesLimit, []string{"change.head"}, "head; chunks stay under 1 MB by construction"},
		{"object API", "configuration between regions", farRelays * head * s.changeRate(), unitRate, linkBytesPerSecond, []string{"change.head"}, "heads read by the relays of the other regions, against one link of 30 Mbit/s"},
		{"relay", "configuration between regions, from peers", peerHeads * relays * base64Factor * head * s.changeRate(), unitRate, linkBytesPerSecond, []string{"hosts.region", "hosts.bytes", "change.head"}, fmt.Sprintf("%s heads a relay and change (hosts.region / hosts.bytes slope / 8 relays) x relays x head x 4/3 x changes/s, all links together", number(peerHeads))},
		{"object API", "host lists between regions", farRelays * list, unitRate, linkBytesPerSecond, []string{"hostlist.bytes"}, "lists read by the relays of the other regions, against one link of 30 Mbit/s"},
	}
}
