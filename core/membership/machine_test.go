package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/model"
)

// TestMain fixes the seed of rapid and the number of checks unless the command
// line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "2000")
	}
	os.Exit(m.Run())
}

// oracle keeps the newest update about each host, ordered by version and then by
// state, and which hosts may be declared unreachable.
type oracle struct {
	latest map[model.HostID]Update
	// failed holds the hosts with a failed heartbeat since their process was last
	// reached or started.
	failed map[model.HostID]bool
}

func (o *oracle) record(u Update) {
	old, ok := o.latest[u.Host]
	if c := u.Compare(old.Version); !ok || c > 0 || c == 0 && u.State > old.State {
		o.latest[u.Host] = u
		if u.Start != old.Start {
			o.failed[u.Host] = false
		}
	}
}

// machine drives one table with arbitrary events.
type machine struct {
	table      *Table
	oracle     oracle
	now        time.Time
	heartbeats []SendHeartbeat
	probes     []SendProbeRequest
	received   []Update // updates of the message being received
}

var machineHosts = []model.HostID{"self", "h1", "h2", "h3", "h4", "h5", "h6", "h7"}

func newMachine() *machine {
	now := time.Unix(1_700_000_000, 0)
	self := Host{ID: "self", Info: machineInfo("self")}
	return &machine{
		table:  New(Config{Self: self, Incarnation: "self-a", Start: 5}, rand.New(rand.NewPCG(1, 2)), now),
		oracle: oracle{latest: map[model.HostID]Update{}, failed: map[model.HostID]bool{}}, now: now,
	}
}

func machineInfo(id model.HostID) Info {
	return Info{DataCentre: model.DataCentre("dc-" + string(id[len(id)-1]%3+'0')), Region: "r", FleetAddress: string(id) + ":1", PeerAddress: string(id) + ":2"}
}

// collect checks the decisions and records the requested heartbeats and probes.
func (m *machine) collect(t *rapid.T, decisions []Decision) {
	for _, d := range decisions {
		switch x := d.(type) {
		case SendHeartbeat:
			m.checkMessage(t, x.Message)
			m.heartbeats = append(m.heartbeats, x)
		case SendProbeRequest:
			if x.Helper.ID == x.Target.ID || x.Helper.ID == "self" || x.Target.ID == "self" {
				t.Fatalf("probe of %s through %s", x.Target.ID, x.Helper.ID)
			}
			m.probes = append(m.probes, x)
		case StateChanged:
			if x.To == Suspect || x.To == Unreachable || x.To == Gone {
				m.checkStateChange(t, x)
			}
		}
	}
}

// checkStateChange checks that, unless another host reported the state, a host only
// becomes suspect or unreachable after a failure since it last answered, and gone
// after it was unreachable or leaving.
func (m *machine) checkStateChange(t *rapid.T, x StateChanged) {
	for _, u := range m.received {
		if u.Host == x.Host && u.State == x.To {
			return
		}
	}
	if x.To == Gone {
		if x.From != Unreachable && x.From != Leaving {
			t.Fatalf("%s became gone from %s; want from unreachable or leaving", x.Host, x.From)
		}
		return
	}
	latest := m.oracle.latest[x.Host]
	v := m.table.View().Hosts[x.Host]
	if !m.oracle.failed[x.Host] && latest.State < Suspect {
		t.Fatalf("%s became %s without a failure since it was last reached", x.Host, x.To)
	}
	m.oracle.record(Update{Host: x.Host, Version: v.Version, State: x.To})
}

func (m *machine) checkMessage(t *rapid.T, msg Message) {
	if len(msg.Updates) > MaxUpdates+1 || len(msg.KeySuccessors) > MaxKeySuccessors {
		t.Fatalf("digest of %d updates and %d key successors", len(msg.Updates), len(msg.KeySuccessors))
	}
	if msg.From.State != Alive && msg.From.State != Leaving {
		t.Fatalf("the host reports itself as %s; want alive or leaving", msg.From.State)
	}
}

func (m *machine) drawUpdate(t *rapid.T, hosts []model.HostID) Update {
	id := rapid.SampledFrom(hosts).Draw(t, "host")
	start := rapid.Uint64Range(0, 3).Draw(t, "start")
	info := machineInfo(id)
	u := Update{Host: id, Version: Version{Start: start, Counter: rapid.Uint64Range(0, 3).Draw(t, "counter")},
		State: State(rapid.IntRange(0, 6).Draw(t, "state")), Info: &info}
	if start > 0 {
		u.Incarnation = model.Incarnation(fmt.Sprintf("%s-%d", id, start))
	}
	if id == "self" {
		u.Incarnation, u.Start = "self-a", 5
	}
	return u
}

// receive delivers a heartbeat with arbitrary updates.
func (m *machine) receive(t *rapid.T) {
	from := m.drawUpdate(t, machineHosts[1:])
	from.State = Alive
	msg := Message{From: from}
	for range rapid.IntRange(0, 3).Draw(t, "updates") {
		msg.Updates = append(msg.Updates, m.drawUpdate(t, machineHosts))
	}
	for _, u := range append([]Update{from}, msg.Updates...) {
		known := u.Host != "self" && u.State >= Alive && u.State <= Gone
		if _, has := m.oracle.latest[u.Host]; known && (has || u.State != Gone) {
			m.oracle.record(u)
		}
	}
	answer, d := m.table.Receive(m.now, msg)
	m.checkMessage(t, answer)
	m.received = msg.Updates
	m.collect(t, d)
	m.received = nil
}

func (m *machine) fail(t *rapid.T) {
	if len(m.heartbeats) == 0 {
		t.Skip("nothing in flight")
	}
	b := m.heartbeats[0]
	m.heartbeats = m.heartbeats[1:]
	if x := m.table.members[b.To.ID]; x != nil && x.link.inFlight == b.Token {
		m.oracle.failed[b.To.ID] = true
	}
	m.collect(t, m.table.HeartbeatFailed(m.now, b.To.ID, b.Token, rapid.Bool().Draw(t, "refused")))
}

func (m *machine) answer(t *rapid.T) {
	if len(m.heartbeats) == 0 {
		t.Skip("nothing in flight")
	}
	b := m.heartbeats[0]
	m.heartbeats = m.heartbeats[1:]
	m.oracle.failed[b.To.ID] = false
	from := m.oracle.latest[b.To.ID]
	from.Host, from.State, from.Info = b.To.ID, Alive, nil
	m.collect(t, m.table.HeartbeatAnswered(m.now, b.To.ID, b.Token, Message{From: from}))
}

func (m *machine) probe(t *rapid.T) {
	if len(m.probes) == 0 {
		t.Skip("no probe")
	}
	p := m.probes[0]
	m.probes = m.probes[1:]
	r := ProbeResult(rapid.IntRange(0, 3).Draw(t, "result"))
	if r == ProbeReached && m.table.members[p.Target.ID] != nil && m.table.members[p.Target.ID].link.probe.token == p.Token {
		m.oracle.failed[p.Target.ID] = false
	}
	m.collect(t, m.table.IndirectProbeResult(m.now, p.Target.ID, p.Token, r))
}

func (m *machine) list(t *rapid.T) {
	var list []ListedHost
	for _, id := range machineHosts {
		if rapid.Bool().Draw(t, "listed") {
			list = append(list, ListedHost{Host: Host{ID: id, Info: machineInfo(id)}})
			if _, has := m.table.members[id]; !has && id != "self" {
				m.oracle.latest[id] = Update{Host: id, State: Alive}
			}
		}
	}
	m.collect(t, m.table.ApplyHostList(m.now, list))
}

func (m *machine) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1400).Draw(t, "ms")) * time.Millisecond)
	for id, x := range m.table.members {
		if x.state == Gone {
			delete(m.oracle.latest, id)
			m.oracle.latest[id] = m.table.update(x, false)
		}
	}
	m.collect(t, m.table.Tick(m.now))
	for id := range m.oracle.latest {
		if m.table.members[id] == nil {
			delete(m.oracle.latest, id) // removed after tombstoneRetention
		}
	}
}

// invariants checks that the table holds the newest update received or made about
// each host, its own host is alive, no update is sent too often, and the number of
// peers is bounded.
func (m *machine) invariants(t *rapid.T) {
	v := m.table.View()
	for id, x := range v.Hosts {
		if id == "self" {
			if x.State != Alive {
				t.Fatalf("this host is %s; want alive", x.State)
			}
			continue
		}
		latest := m.oracle.latest[id]
		if c := x.Version.Compare(latest.Version); c != 0 || x.State != latest.State && x.State != Gone {
			t.Fatalf("%s is %s at %v, the newest update is %s at %v", id, x.State, x.Version, latest.State, latest.Version)
		}
	}
	for id, n := range m.table.updateQueue {
		if n >= m.table.maxTransmissions()+1 {
			t.Fatalf("the update about %s was sent %d times", id, n)
		}
	}
	if n := len(m.table.currentPeers()); n > DefaultNearPeers+MaxFarPeers {
		t.Fatalf("%d peers", n)
	}
}

// Guards against updates applied out of order, missing refutations, digests or peer
// sets beyond their bounds, and hosts declared suspect or unreachable without a
// failure, over random sequences of events.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"receive": m.receive, "fail": m.fail, "answer": m.answer, "probe": m.probe,
			"list": m.list, "tick": m.tick, "": m.invariants,
		})
	})
}
