package membersim

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
)

// Fleet is a set of hosts and the network between them. Events run in the order
// of virtual time; one seed gives one history.
type Fleet struct {
	// Now is the virtual time.
	Now time.Time
	// Loss is the share of messages that are lost, 0 to 1.
	Loss float64
	// Cut says whether messages from one host to another are dropped.
	Cut func(from, to model.HostID) bool
	// Nodes holds the newest process of each host, Order all in order of start.
	Nodes map[model.HostID]*Node
	Order []*Node
	// List is the platform's host list.
	List []membership.ListedHost
	// Encode makes the fleet count the bytes of messages.
	Encode bool

	events eventHeap
	seq    int
	rand   *rand.Rand
}

// Node is one process on a host.
type Node struct {
	Host  membership.Host
	Table *membership.Table
	// Up is false once the process has ended.
	Up bool
	// Silent means that the machine is off, so that nothing refuses connections.
	Silent bool
	// Bytes and Messages were sent and received so far.
	Bytes, Messages int
	// Changes are the state changes that the process saw.
	Changes []Change
	// Heartbeats counts those sent to each host.
	Heartbeats map[model.HostID]int
	// Superseded counts the reports of a newer process with the same ID.
	Superseded int

	sim     *Fleet
	paused  bool
	backlog []func()
	wake    int
}

// Change is a state change with its time.
type Change struct {
	At time.Time
	membership.StateChanged
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// NewFleet starts hosts spread over data centres, two in a region.
func NewFleet(hosts, dcs int, seed uint64) *Fleet {
	s := &Fleet{Now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), Nodes: map[model.HostID]*Node{}, Cut: func(_, _ model.HostID) bool { return false }}
	for i := range hosts {
		dc := i % dcs
		id := model.HostID(fmt.Sprintf("host-%03d", i))
		s.List = append(s.List, membership.ListedHost{Host: membership.Host{ID: id, Info: membership.Info{
			DataCentre: model.DataCentre(fmt.Sprintf("lagos-%d", dc)), Region: model.Region(fmt.Sprintf("region-%d", dc/2)),
			FleetAddress: fmt.Sprintf("10.0.%d.%d:7002", dc, i), PeerAddress: fmt.Sprintf("10.0.%d.%d:7003", dc, i),
		}}})
	}
	for _, x := range s.List {
		s.Start(x.Host, "a")
	}
	return s
}

// Start runs a new process on a host, with the start time of the current time.
func (s *Fleet) Start(h membership.Host, run string) *Node {
	return s.StartAt(h, run, s.Now)
}

// StartAt is Start for a host whose clock shows another time.
func (s *Fleet) StartAt(h membership.Host, run string, clock time.Time) *Node {
	n := &Node{sim: s, Host: h, Up: true, Heartbeats: map[model.HostID]int{}}
	n.Table = membership.New(membership.Config{Self: h, Incarnation: model.Incarnation(string(h.ID) + run), Start: uint64(clock.UnixMilli())}, rand.New(rand.NewPCG(s.rand.Uint64(), 2)), s.Now)
	s.Nodes[h.ID] = n
	s.Order = append(s.Order, n)
	n.Do(func() []membership.Decision { return n.Table.ApplyHostList(s.Now, s.List) })
	n.readList()
	return n
}

func (n *Node) readList() {
	n.after(time.Second, func() {
		v := n.Table.View()
		serving := v.Serving[n.Host.DataCentre]
		if len(serving) > 0 && (n.Host.ID == serving[0] || n.Host.ID == serving[len(serving)-1]) {
			n.Do(func() []membership.Decision { return n.Table.ApplyHostList(n.sim.Now, n.sim.List) })
		}
		n.readList()
	})
}

func (s *Fleet) at(t time.Time, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: f})
}

// after runs f on the node after d; a paused node runs it when it wakes.
func (n *Node) after(d time.Duration, f func()) {
	n.sim.at(n.sim.Now.Add(d), func() {
		switch {
		case !n.Up:
		case n.paused:
			n.backlog = append(n.backlog, f)
		default:
			f()
		}
	})
}

// Run lets the time pass.
func (s *Fleet) Run(d time.Duration) {
	end := s.Now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.Now = e.at
		e.run()
	}
	s.Now = end
}

// Until runs until ok or the limit, and returns the time taken.
func (s *Fleet) Until(limit time.Duration, ok func() bool) (time.Duration, bool) {
	started := s.Now
	for s.Now.Sub(started) < limit {
		if ok() {
			return s.Now.Sub(started), true
		}
		s.Run(10 * time.Millisecond)
	}
	return limit, ok()
}

// Pause stops the process; what arrives waits.
func (n *Node) Pause() { n.paused = true }

// Resume lets the process go on.
func (n *Node) Resume() {
	n.paused = false
	// The process first notices its timers, then reads what waits.
	n.Do(func() []membership.Decision { return n.Table.Tick(n.sim.Now) })
	for _, f := range n.backlog {
		f()
	}
	n.backlog = nil
}

// Do passes an event to the table and executes its decisions.
func (n *Node) Do(f func() []membership.Decision) {
	for _, d := range f() {
		n.execute(d)
	}
	n.wake++
	wake := n.wake
	n.after(max(0, n.Table.NextWake(n.sim.Now).Sub(n.sim.Now)), func() {
		if wake == n.wake {
			n.Do(func() []membership.Decision { return n.Table.Tick(n.sim.Now) })
		}
	})
}

func (n *Node) execute(d membership.Decision) {
	s := n.sim
	switch x := d.(type) {
	case membership.SendHeartbeat:
		n.Heartbeats[x.To.ID]++
		n.rpc(x.To.ID, 400*time.Millisecond, "membership.heartbeat", x.Message, func(to *Node) any {
			var answer membership.Message
			to.Do(func() (d []membership.Decision) {
				answer, d = to.Table.Receive(s.Now, x.Message)
				return d
			})
			return answer
		}, func(answer any, refused bool) {
			n.Do(func() []membership.Decision {
				if answer == nil {
					return n.Table.HeartbeatFailed(s.Now, x.To.ID, x.Token, refused)
				}
				return n.Table.HeartbeatAnswered(s.Now, x.To.ID, x.Token, answer.(membership.Message))
			})
		})
	case membership.SendProbeRequest:
		n.ask(x)
	case membership.Sync:
		n.rpc(x.With.ID, 2*time.Second, "membership.exchange", x.Page, func(to *Node) any {
			var answer membership.Page
			to.Do(func() (d []membership.Decision) {
				answer, d = to.Table.Exchange(s.Now, x.Page)
				return d
			})
			return answer
		}, func(answer any, _ bool) {
			if answer != nil {
				n.Do(func() []membership.Decision { return n.Table.SyncAnswered(s.Now, x.With.ID, answer.(membership.Page)) })
			}
		})
	case membership.StateChanged:
		n.Changes = append(n.Changes, Change{s.Now, x})
	case membership.Superseded:
		n.Superseded++
	}
}

// ask sends an indirect probe; the helper pings the target and answers.
func (n *Node) ask(x membership.SendProbeRequest) {
	report := func(r membership.ProbeResult) {
		n.Do(func() []membership.Decision { return n.Table.IndirectProbeResult(n.sim.Now, x.Target.ID, x.Token, r) })
	}
	answered := false
	n.after(700*time.Millisecond, func() {
		if !answered {
			answered = true
			report(membership.ProbeNoAnswer)
		}
	})
	n.rpc(x.Helper.ID, 700*time.Millisecond, "membership.probe", x.Target.ID, func(helper *Node) any {
		helper.rpc(x.Target.ID, 400*time.Millisecond, "membership.ping", nil, func(*Node) any { return struct{}{} }, func(pong any, refused bool) {
			r := membership.ProbeFailed
			if pong != nil {
				r = membership.ProbeReached
			} else if refused {
				r = membership.ProbeRefused
			}
			n.sim.deliver(helper, n, func() {
				if !answered {
					answered = true
					report(r)
				}
			})
		})
		return struct{}{}
	}, func(any, bool) {})
}

// deliver runs f on the receiver unless the message is lost.
func (s *Fleet) deliver(from, to *Node, f func()) {
	latency := time.Millisecond
	if from.Host.Region != to.Host.Region {
		latency = 30 * time.Millisecond
	}
	if s.rand.Float64() >= s.Loss && !s.Cut(from.Host.ID, to.Host.ID) {
		to.after(latency, f)
	}
}

func (n *Node) rpc(id model.HostID, timeout time.Duration, method string, params any, serve func(*Node) any, done func(answer any, refused bool)) {
	s := n.sim
	ended := false
	end := func(answer any, refused bool) {
		if !ended {
			ended = true
			done(answer, refused)
		}
	}
	n.after(timeout, func() { end(nil, false) })
	n.count(s.size(method, params))
	to, ok := s.Nodes[id]
	if !ok || !to.Up {
		if ok && to.Silent {
			return
		}
		// The machine answers for the missing process, if the way is free.
		if s.rand.Float64() >= s.Loss && !s.Cut(n.Host.ID, id) {
			n.after(2*time.Millisecond, func() { end(nil, true) })
		}
		return
	}
	s.deliver(n, to, func() {
		to.count(s.size(method, params))
		answer := serve(to)
		to.count(s.size("", answer))
		s.deliver(to, n, func() {
			n.count(s.size("", answer))
			end(answer, false)
		})
	})
}

func (n *Node) count(bytes int) {
	n.Bytes += bytes
	n.Messages++
}

// size returns the bytes of a message: JSON-RPC with the length before it.
func (s *Fleet) size(method string, v any) int {
	if !s.Encode {
		return 0
	}
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	body := json.RawMessage(raw)
	var message any = &jsonrpc2.Response{ID: jsonrpc2.ID{Num: 100_000}, Result: &body}
	if method != "" {
		message = &jsonrpc2.Request{Method: method, Params: &body, ID: jsonrpc2.ID{Num: 100_000}}
	}
	out, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return len(out) + 2
}

// Agree says whether each running, unpaused host sees exactly the given hosts
// as serving.
func (s *Fleet) Agree(serving ...model.HostID) bool {
	slices.Sort(serving)
	for _, n := range s.Nodes {
		if n.Up && !n.paused && !slices.Equal(n.Serves(), serving) {
			return false
		}
	}
	return true
}

// Serves returns the hosts that the process sees as serving, by name.
func (n *Node) Serves() []model.HostID {
	var all []model.HostID
	for _, list := range n.Table.View().Serving {
		all = append(all, list...)
	}
	slices.Sort(all)
	return all
}

// Running returns the hosts whose process runs, but for the given.
func (s *Fleet) Running(except ...model.HostID) []model.HostID {
	var all []model.HostID
	for id, n := range s.Nodes {
		if n.Up && !slices.Contains(except, id) {
			all = append(all, id)
		}
	}
	return all
}

// Verdicts counts the changes to a state that hosts saw since t.
func (s *Fleet) Verdicts(since time.Time, to membership.State) int {
	total := 0
	for _, n := range s.Order {
		for _, c := range n.Changes {
			if c.To == to && c.At.After(since) {
				total++
			}
		}
	}
	return total
}
