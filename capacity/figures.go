package capacity

import (
	"fmt"
	"math"
	"math/bits"
	"strings"
)

// figure is one line of a table.
type figure struct {
	role, what string
	value      float64
	unit       unit
	// limit is zero where none applies.
	limit float64
	// fits names the slopes, and how the mechanism and arithmetic.
	fits []string
	how  string
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

// format writes a value with a fitting multiple of its unit.
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

func (f figure) verdict() string {
	switch {
	case f.limit == 0:
		return noLimitApplies
	case f.value > f.limit:
		return overTheLimit
	}
	return withinLimit
}

// costModel computes figures from slopes. A name that is not measured gives NaN,
// which Generate reports.
type costModel struct{ Measured }

func (m costModel) slope(name string) float64 {
	f, ok := m.Fit(name)
	if !ok {
		return math.NaN()
	}
	return f.Slope
}

// at returns the line's value at x. Below the smallest measured size it is the
// value measured there, an upper bound.
func (m costModel) at(name string, x float64) float64 {
	f, ok := m.Fit(name)
	if !ok || len(f.Points) == 0 {
		return math.NaN()
	}
	if x < f.Points[0].X {
		return f.Points[0].Y
	}
	return f.At(x)
}

// last returns the value at the largest measured size.
func (m costModel) last(name string) float64 {
	f, ok := m.Fit(name)
	if !ok || len(f.Points) == 0 {
		return math.NaN()
	}
	return f.Points[len(f.Points)-1].Y
}

// perObject sums the slopes of a part over all objects.
func (m costModel) perObject(part string, n Sizes) float64 {
	return m.slope(part+".route")*float64(n.Routes) + m.slope(part+".workspace")*float64(n.Workspaces) +
		m.slope(part+".server")*float64(n.Servers) + m.slope(part+".service")*float64(n.Services)
}

func objectFits(part string) []string {
	return []string{part + ".route", part + ".workspace", part + ".server", part + ".service"}
}

// retransmissions is how often a host sends a change, as in core/membership.
func retransmissions(hosts int) float64 { return float64(2 * bits.Len(uint(hosts+1))) }

// churnBytes is what one change of a host's state costs each host.
func (m costModel) churnBytes(s Scale) float64 {
	return m.slope("members.churn") * retransmissions(s.Hosts) / retransmissions(2*churnHosts)
}

// headBytes is the size of a head with as many changes in it as it may carry.
func (m costModel) headBytes(s Scale) float64 {
	return m.at("change.head", float64(s.objects())) + inlineBytes
}

func (m costModel) state(s Scale) float64 {
	return m.perObject("decoded", s.Sizes) + m.perObject("packed", s.Sizes) + m.perObject("compiled", s.Sizes)
}

// controlBytes are the bytes a second of every daemon, sent and received.
func (m costModel) controlBytes(s Scale) float64 {
	return m.last("members.bytes."+s.wiring()) + m.churnBytes(s)*s.hostChangeRate() + m.configBytes(s) + m.startBytes(s) + m.flushBytes(s)
}

// startBytes are those of the whole configuration that starting hosts receive
// and others send, spread over all hosts.
func (m costModel) startBytes(s Scale) float64 {
	return 2 * base64Factor * m.perObject("encoded", s.Sizes) * (s.Restarts + s.Failures) / daySeconds / float64(s.Hosts)
}

// configBytes are those of heads received once and sent once for each change.
func (m costModel) configBytes(s Scale) float64 {
	return 2 * base64Factor * m.headBytes(s) * s.changeRate()
}

func (m costModel) flushBytes(s Scale) float64 {
	return m.slope("report.bytes") * s.rows() / flushSeconds
}

// daemonFigures are those of every daemon, whatever its roles.
func (m costModel) daemonFigures(s Scale) []figure {
	const role = "every daemon"
	hosts, objects := float64(s.Hosts), float64(s.objects())
	members, reports := m.slope("members.memory")*hosts, m.slope("report.held")*s.rows()
	base, churn := m.last("members.bytes."+s.wiring()), m.churnBytes(s)*s.hostChangeRate()
	config, written := m.configBytes(s), m.flushBytes(s)
	cpuMembers := m.at("members.cpu."+s.wiring(), hosts) + m.slope("members.view.cpu")*hosts*s.hostChangeRate()
	cpuConfig := (m.at("change.daemon.cpu", objects) + m.at("change.compile.cpu", objects)) * s.changeRate()
	return []figure{
		{role, "configuration objects", m.perObject("decoded", s.Sizes), unitBytes, 0, objectFits("decoded"), "slopes x objects"},
		{role, "chunks kept for peers", m.perObject("packed", s.Sizes), unitBytes, 0, objectFits("packed"), "slopes x objects"},
		{role, "compiled catalogue", m.perObject("compiled", s.Sizes), unitBytes, 0, objectFits("compiled"), "slopes x objects"},
		{role, "membership table and view", members, unitBytes, 0, []string{"members.memory"}, "slope x hosts"},
		{role, "report counters", reports, unitBytes, 0, []string{"report.held"}, "slope x rows of one day, at most 4,096"},
		{role, "memory of control state", m.state(s) + members + reports, unitBytes, limitMemory, nil, "sum of the above, live heap"},
		{role, "heap with garbage, GOGC=100", m.at("peak.100", objects) + members + reports, unitBytes, limitMemory, []string{"peak.100"}, "configuration state while changes are applied + membership + reports; request traffic adds to it"},
		{role, "heap with garbage, GOGC=25", m.at("peak.25", objects) + members + reports, unitBytes, limitMemory, []string{"peak.25"}, "the same with a collector that runs more often"},
		{role, "membership, no changes", base, unitRate, 0, []string{"members.bytes." + s.wiring()}, "value at the largest measured fleet"},
		{role, "membership, host changes", churn, unitRate, 0, []string{"members.churn"}, "slope x host changes/s x retransmissions(hosts)/retransmissions(measured)"},
		{role, "configuration", config, unitRate, 0, []string{"change.head"}, "(head + 8 KB of changes) x 4/3 x changes/s, received once and sent once"},
		{role, "configuration of starting hosts", m.startBytes(s), unitRate, 0, objectFits("encoded"), "slopes x objects x 4/3 x starts/s / hosts, received and sent, a mean over all hosts"},
		{role, "report flushes", written, unitRate, 0, []string{"report.bytes"}, "slope x rows / 60 s; rows with a full histogram are larger"},
		{role, "control bytes", m.controlBytes(s), unitRate, limitBytes, nil, "sum of the above"},
		{role, "control messages", m.last("members.messages."+s.wiring()) + 4*s.changeRate(), unitMessages, 0, []string{"members.messages." + s.wiring(), "hosts.messages"}, "value at the largest measured fleet, and a call and answer received and sent for each change"},
		{role, "CPU of membership", cpuMembers, unitCore, 0, []string{"members.cpu." + s.wiring(), "members.view.cpu"}, "line at hosts + slope x hosts x host changes/s"},
		{role, "CPU of configuration", cpuConfig, unitCore, 0, []string{"change.daemon.cpu", "change.compile.cpu"}, "CPU of a change x changes/s"},
		{role, "control CPU", cpuMembers + cpuConfig, unitCore, limitCPU, nil, "sum of the above"},
		{role, "report writes", m.slope("report.writes") * s.rows() / flushSeconds, unitCalls, 0, []string{"report.writes"}, "slope x rows / 60 s"},
	}
}

// requestFigures are those of the roles on the request path. Their CPU serves
// requests and is not counted as control.
func (m costModel) requestFigures(s Scale) []figure {
	perHost, pools := s.requestsPerHost(), s.pools()/float64(s.Hosts)
	keys := perHost * s.Keyed
	servers := float64(s.Servers) / float64(s.Hosts)
	return []figure{
		{"entry", "CPU of requests", m.slope("request.entry.cpu") * perHost, unitCore, 0, []string{"request.entry.cpu"}, fmt.Sprintf("slope x %s requests/s of one host", number(perHost))},
		{"pool owner", "CPU of requests", m.slope("request.owner.cpu") * perHost, unitCore, 0, []string{"request.owner.cpu"}, "slope x requests/s of one host"},
		{"pool owner", "state of servers", m.slope("owner.server") * servers, unitBytes, 0, []string{"owner.server"}, fmt.Sprintf("slope x %s servers of one host", number(servers))},
		{"pool owner", "full queues", m.slope("owner.queued") * pools * queueLimit, unitBytes, 0, []string{"owner.queued"}, fmt.Sprintf("slope x 200 waiting requests x %s pools of one host, without bodies", number(pools))},
		{"pool owner", "rate-limited workspaces", m.slope("owner.limited") * min(rowsPerDaemon, float64(s.Workspaces)/tunedWorkspaces), unitBytes, 0, []string{"owner.limited"}, "slope x one workspace in 50, at most 4,096 active at one owner"},
		{"key issuer", "keys issued and spent", keys, "keys/s", 0, nil, fmt.Sprintf("requests/s of one host x %s", number(s.Keyed))},
		{"key issuer", "CPU of keys", (m.slope("key.call.cpu") + m.slope("key.spend.cpu")) * keys, unitCore, 0, []string{"key.call.cpu", "key.spend.cpu"}, "slopes x keys/s"},
		{"key issuer", "ledger", m.slope("key.spent") * keys * keySeconds, unitBytes, 0, []string{"key.spent"}, "slope x keys/s x 900 s, responses of 512 bytes"},
		{"key issuer", "memory with the ledger", m.state(s) + m.slope("members.memory")*float64(s.Hosts) + m.slope("report.held")*s.rows() + m.slope("key.spent")*keys*keySeconds, unitBytes, limitMemory, nil, "control state and ledger"},
	}
}

// storeFigures are those of relays, usher-api and the object API.
func (m costModel) storeFigures(s Scale) []figure {
	objects, relays := float64(s.objects()), s.relays()
	farRelays := relays * float64(s.Regions-1) / float64(s.Regions)
	list := m.at("hostlist.bytes", float64(s.Hosts)) / hostListSeconds
	head := m.headBytes(s)
	peerHeads := m.last("hosts.region") / m.slope("hosts.bytes") / (lightRelays * lightDataCentres)
	watch := s.changeRate() + 1.0/watchSeconds
	writes := float64(s.Hosts)*math.Ceil(m.slope("report.writes")*s.rows())/flushSeconds + 2*s.changeRate()
	restarts := (s.Restarts + s.Failures) / daySeconds
	reads := relays*watch + relays/hostListSeconds + s.changeRate() + restarts*2
	return []figure{
		{"relay", "watch of the head", watch, unitCalls, 0, []string{"rate.calls"}, "one each 30 s and one a change"},
		{"relay", "head received", head * s.changeRate(), unitRate, 0, []string{"change.head"}, "(head + 8 KB of changes) x changes/s"},
		{"relay", "host list received", list, unitRate, 0, []string{"hostlist.bytes"}, fmt.Sprintf("whole list, once in %s s", number(hostListSeconds))},
		{"relay", "control bytes", list + head*s.changeRate() + m.controlBytes(s), unitRate, limitBytes, nil, "sum of the above and those of every daemon"},
		{"usher-api", "CPU of changes", m.at("change.writer.cpu", objects) * s.changeRate(), unitCore, 0, []string{"change.writer.cpu"}, "CPU of a change x changes/s, one process"},
		{"usher-api", "CPU time of one change", m.at("change.writer.cpu", objects), unitSeconds, 9, []string{"change.writer.cpu"}, "against 9 s until a change is in effect"},
		{"usher-api", "memory of the configuration", m.at("writer.memory", objects), unitBytes, 0, []string{"writer.memory"}, "line at the number of objects; usher-api is no daemon"},
		{"usher-api", "store calls", m.last("change.calls") * s.changeRate(), unitCalls, 0, []string{"change.calls"}, "calls of a change x changes/s"},
		{"object API", "writes of reports", float64(s.Hosts) * math.Ceil(m.slope("report.writes")*s.rows()) / flushSeconds, unitCalls, 0, []string{"report.writes"}, "hosts x parts / 60 s"},
		{"object API", "writes", writes, unitCalls, limitWrites, []string{"change.calls"}, "reports, and two a change"},
		{"object API", "reads", reads, unitCalls, limitReads, []string{"rate.calls", "hosts.calls"}, "relays' watches and host lists, the writer, and a head and a host list for each start"},
		{"object API", "largest value", head, unitBytes, limitValueBytes, []string{"change.head"}, "head; chunks stay under 1 MB by construction"},
		{"object API", "configuration between regions", farRelays * head * s.changeRate(), unitRate, linkBytes, []string{"change.head"}, "heads read by the relays of the other regions, against one link of 30 Mbit/s"},
		{"relay", "configuration between regions, from peers", peerHeads * relays * base64Factor * head * s.changeRate(), unitRate, linkBytes, []string{"hosts.region", "hosts.bytes", "change.head"}, fmt.Sprintf("%s heads a relay and change (hosts.region / hosts.bytes slope / 8 relays) x relays x head x 4/3 x changes/s, all links together", number(peerHeads))},
		{"object API", "host lists between regions", farRelays * list, unitRate, linkBytes, []string{"hostlist.bytes"}, "lists read by the relays of the other regions, against one link of 30 Mbit/s"},
	}
}
