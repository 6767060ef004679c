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

// oracle keeps the greatest statement about each host, in the order of
// versions and then states, and who may be declared unreachable.
type oracle struct {
	said map[model.HostID]Update
	// failed holds the hosts with a failed heartbeat since the process that
	// they run was last reached or has started.
	failed map[model.HostID]bool
}

func (o *oracle) tell(u Update) {
	old, ok := o.said[u.Host]
	if c := u.Compare(old.Version); !ok || c > 0 || c == 0 && u.State > old.State {
		o.said[u.Host] = u
		if u.Start != old.Start {
			o.failed[u.Host] = false
		}
	}
}

// machine drives one table with arbitrary events.
type machine struct {
	table  *Table
	oracle oracle
	now    time.Time
	beats  []SendHeartbeat
	probes []SendProbeRequest
	told   []Update // in the message being received
}

var machineHosts = []model.HostID{"self", "h1", "h2", "h3", "h4", "h5", "h6", "h7"}

func newMachine() *machine {
	now := time.Unix(1_700_000_000, 0)
	self := Host{ID: "self", Info: machineInfo("self")}
	return &machine{
		table:  New(Config{Self: self, Incarnation: "self-a", Start: 5}, rand.New(rand.NewPCG(1, 2)), now),
		oracle: oracle{said: map[model.HostID]Update{}, failed: map[model.HostID]bool{}}, now: now,
	}
}

func machineInfo(id model.HostID) Info {
	return Info{DataCentre: model.DataCentre("dc-" + string(id[len(id)-1]%3+'0')), Region: "r", FleetAddress: string(id) + ":1", PeerAddress: string(id) + ":2"}
}

// take records decisions and checks what must hold for each.
func (m *machine) take(t *rapid.T, decisions []Decision) {
	for _, d := range decisions {
		switch x := d.(type) {
		case SendHeartbeat:
			m.check(t, x.Message)
			m.beats = append(m.beats, x)
		case SendProbeRequest:
			if x.Helper.ID == x.Target.ID || x.Helper.ID == "self" || x.Target.ID == "self" {
				t.Fatalf("probe of %s through %s", x.Target.ID, x.Helper.ID)
			}
			m.probes = append(m.probes, x)
		case StateChanged:
			if x.To == Suspect || x.To == Unreachable || x.To == Gone {
				m.verdict(t, x)
			}
		}
	}
}

// verdict: unless another host said so, a host is only blamed if it has not
// answered since the last failure.
func (m *machine) verdict(t *rapid.T, x StateChanged) {
	for _, u := range m.told {
		if u.Host == x.Host && u.State == x.To {
			return
		}
	}
	if x.To == Gone {
		if x.From != Unreachable && x.From != Leaving {
			t.Fatalf("%s is gone although it was %s", x.Host, x.From)
		}
		return
	}
	said := m.oracle.said[x.Host]
	v := m.table.View().Hosts[x.Host]
	if !m.oracle.failed[x.Host] && said.State < Suspect {
		t.Fatalf("%s became %s without a failure since it was last reached", x.Host, x.To)
	}
	m.oracle.tell(Update{Host: x.Host, Version: v.Version, State: x.To})
}

func (m *machine) check(t *rapid.T, msg Message) {
	if len(msg.Updates) > MaxUpdates+1 || len(msg.KeySuccessors) > MaxKeySuccessors {
		t.Fatalf("digest of %d updates and %d key successors", len(msg.Updates), len(msg.KeySuccessors))
	}
	if msg.From.State != Alive && msg.From.State != Leaving {
		t.Fatalf("the host says of itself that it is %s", msg.From.State)
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

// receive delivers a heartbeat or an answer with arbitrary statements.
func (m *machine) receive(t *rapid.T) {
	from := m.drawUpdate(t, machineHosts[1:])
	from.State = Alive
	msg := Message{From: from}
	for range rapid.IntRange(0, 3).Draw(t, "updates") {
		msg.Updates = append(msg.Updates, m.drawUpdate(t, machineHosts))
	}
	for _, u := range append([]Update{from}, msg.Updates...) {
		known := u.Host != "self" && u.State >= Alive && u.State <= Gone
		if _, has := m.oracle.said[u.Host]; known && (has || u.State != Gone) {
			m.oracle.tell(u)
		}
	}
	answer, d := m.table.Receive(m.now, msg)
	m.check(t, answer)
	m.told = msg.Updates
	m.take(t, d)
	m.told = nil
}

func (m *machine) fail(t *rapid.T) {
	if len(m.beats) == 0 {
		t.Skip("nothing in flight")
	}
	b := m.beats[0]
	m.beats = m.beats[1:]
	if x := m.table.members[b.To.ID]; x != nil && x.link.inFlight == b.Token {
		m.oracle.failed[b.To.ID] = true
	}
	m.take(t, m.table.HeartbeatFailed(m.now, b.To.ID, b.Token, rapid.Bool().Draw(t, "refused")))
}

func (m *machine) answer(t *rapid.T) {
	if len(m.beats) == 0 {
		t.Skip("nothing in flight")
	}
	b := m.beats[0]
	m.beats = m.beats[1:]
	m.oracle.failed[b.To.ID] = false
	from := m.oracle.said[b.To.ID]
	from.Host, from.State, from.Info = b.To.ID, Alive, nil
	m.take(t, m.table.HeartbeatAnswered(m.now, b.To.ID, b.Token, Message{From: from}))
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
	m.take(t, m.table.IndirectProbeResult(m.now, p.Target.ID, p.Token, r))
}

func (m *machine) list(t *rapid.T) {
	var list []ListedHost
	for _, id := range machineHosts {
		if rapid.Bool().Draw(t, "listed") {
			list = append(list, ListedHost{Host: Host{ID: id, Info: machineInfo(id)}})
			if _, has := m.table.members[id]; !has && id != "self" {
				m.oracle.said[id] = Update{Host: id, State: Alive}
			}
		}
	}
	m.take(t, m.table.ApplyHostList(m.now, list))
}

func (m *machine) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1400).Draw(t, "ms")) * time.Millisecond)
	for id, x := range m.table.members {
		if x.state == Gone {
			delete(m.oracle.said, id)
			m.oracle.said[id] = m.table.update(x, false)
		}
	}
	m.take(t, m.table.Tick(m.now))
	for id := range m.oracle.said {
		if m.table.members[id] == nil {
			delete(m.oracle.said, id) // forgotten after its tombstone
		}
	}
}

// invariants: the table holds for each host the greatest statement that it has
// heard or made, its own host serves, and queues end.
func (m *machine) invariants(t *rapid.T) {
	v := m.table.View()
	for id, x := range v.Hosts {
		if id == "self" {
			if x.State != Alive {
				t.Fatalf("the own host is %s", x.State)
			}
			continue
		}
		said := m.oracle.said[id]
		if c := x.Version.Compare(said.Version); c != 0 || x.State != said.State && x.State != Gone {
			t.Fatalf("%s is %s at %v, the greatest statement is %s at %v", id, x.State, x.Version, said.State, said.Version)
		}
	}
	for id, n := range m.table.queue {
		if n >= m.table.retransmissions()+1 {
			t.Fatalf("%s was sent %d times", id, n)
		}
	}
	if n := len(m.table.currentPeers()); n > DefaultNearPeers+MaxFarPeers {
		t.Fatalf("%d peers", n)
	}
}

// Guards the order of statements, the refutation, the bounds of digests and
// peers, and verdicts without evidence, over arbitrary sequences of events.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"receive": m.receive, "fail": m.fail, "answer": m.answer, "probe": m.probe,
			"list": m.list, "tick": m.tick, "": m.invariants,
		})
	})
}
