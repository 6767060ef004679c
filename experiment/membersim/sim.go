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

// Fleet simulates a set of hosts and the network between them. Events run in
// order of virtual time; a run is reproducible from its seed.
type Fleet struct {
	// Now is the virtual time.
	Now time.Time
	// Loss is the probability, 0 to 1, that a message is lost.
	Loss float64
	// Cut reports whether messages from one host to another are dropped.
	Cut func(from, to model.HostID) bool
	// Nodes holds the newest process of each host.
	Nodes map[model.HostID]*Node
	// StartOrder holds all processes, in the order in which they started.
	StartOrder []*Node
	// HostList is the platform's host list. The first and last serving host of
	// each data centre read it every second.
	HostList []membership.ListedHost
	// Encode enables the byte counts of messages. Without it messages are not
	// encoded and count as 0 bytes.
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
	// PoweredOff means that the machine is off, so that connections time out
	// instead of being refused.
	PoweredOff bool
	// Bytes and Messages count what the process has sent and received.
	Bytes, Messages int
	// Changes are the state changes that the process has observed.
	Changes []Change
	// Heartbeats counts the heartbeats sent to each host.
	Heartbeats map[model.HostID]int
	// Superseded counts the notices that a newer process has the same host ID.
	Superseded int

	fleet          *Fleet
	paused         bool
	backlog        []func()
	wakeGeneration int
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

// NewFleet starts hosts that are spread evenly over data centres. Each region
// has two data centres.
func NewFleet(hosts, dcs int, seed uint64) *Fleet {
	s := &Fleet{Now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), Nodes: map[model.HostID]*Node{}, Cut: func(_, _ model.HostID) bool { return false }}
	for i := range hosts {
		dc := i % dcs
		id := model.HostID(fmt.Sprintf("host-%03d", i))
		s.HostList = append(s.HostList, membership.ListedHost{Host: membership.Host{ID: id, Info: membership.Info{
			DataCentre: model.DataCentre(fmt.Sprintf("lagos-%d", dc)), Region: model.Region(fmt.Sprintf("region-%d", dc/2)),
			FleetAddress: fmt.Sprintf("10.0.%d.%d:7002", dc, i), PeerAddress: fmt.Sprintf("10.0.%d.%d:7003", dc, i),
		}}})
	}
	for _, x := range s.HostList {
		s.Start(x.Host, "a")
	}
	return s
}

// Start starts a new process on a host. The virtual time is its start time.
func (s *Fleet) Start(h membership.Host, incarnationSuffix string) *Node {
	return s.StartAt(h, incarnationSuffix, s.Now)
}

// StartAt is like Start, for a host whose clock differs from the virtual time.
func (s *Fleet) StartAt(h membership.Host, incarnationSuffix string, clock time.Time) *Node {
	n := &Node{fleet: s, Host: h, Up: true, Heartbeats: map[model.HostID]int{}}
	n.Table = membership.New(membership.Config{Self: h, Incarnation: model.Incarnation(string(h.ID) + incarnationSuffix), Start: uint64(clock.UnixMilli())}, rand.New(rand.NewPCG(s.rand.Uint64(), 2)), s.Now)
	s.Nodes[h.ID] = n
	s.StartOrder = append(s.StartOrder, n)
	n.Do(func() []membership.Decision { return n.Table.ApplyHostList(s.Now, s.HostList) })
	n.pollHostList()
	return n
}

func (n *Node) pollHostList() {
	n.after(time.Second, func() {
		v := n.Table.View()
		serving := v.Serving[n.Host.DataCentre]
		if len(serving) > 0 && (n.Host.ID == serving[0] || n.Host.ID == serving[len(serving)-1]) {
			n.Do(func() []membership.Decision { return n.Table.ApplyHostList(n.fleet.Now, n.fleet.HostList) })
		}
		n.pollHostList()
	})
}

func (s *Fleet) schedule(t time.Time, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: f})
}

// after runs f on the node after d, or when the node resumes if it is paused
// then. It drops f if the process has ended.
func (n *Node) after(d time.Duration, f func()) {
	n.fleet.schedule(n.fleet.Now.Add(d), func() {
		switch {
		case !n.Up:
		case n.paused:
			n.backlog = append(n.backlog, f)
		default:
			f()
		}
	})
}

// Run advances the virtual time by d and runs all events until then.
func (s *Fleet) Run(d time.Duration) {
	end := s.Now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.Now = e.at
		e.run()
	}
	s.Now = end
}

// RunUntil advances the virtual time in steps of 10 ms until ok returns true or
// the limit is reached. It returns the time taken and whether ok was true.
func (s *Fleet) RunUntil(limit time.Duration, ok func() bool) (time.Duration, bool) {
	started := s.Now
	for s.Now.Sub(started) < limit {
		if ok() {
			return s.Now.Sub(started), true
		}
		s.Run(10 * time.Millisecond)
	}
	return limit, ok()
}

// Pause stops the process. Its timers and messages wait until Resume.
func (n *Node) Pause() { n.paused = true }

// Resume continues a paused process.
func (n *Node) Resume() {
	n.paused = false
	// The process handles its expired timers before the waiting messages.
	n.Do(func() []membership.Decision { return n.Table.Tick(n.fleet.Now) })
	for _, f := range n.backlog {
		f()
	}
	n.backlog = nil
}

// Do runs f, which passes an event to the table, and executes the returned
// decisions.
func (n *Node) Do(f func() []membership.Decision) {
	for _, d := range f() {
		n.execute(d)
	}
	n.wakeGeneration++
	generation := n.wakeGeneration
	n.after(max(0, n.Table.NextWake(n.fleet.Now).Sub(n.fleet.Now)), func() {
		if generation == n.wakeGeneration {
			n.Do(func() []membership.Decision { return n.Table.Tick(n.fleet.Now) })
		}
	})
}

func (n *Node) execute(d membership.Decision) {
	s := n.fleet
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
		n.sendProbeRequest(x)
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

// sendProbeRequest asks a helper to ping the target and passes the result to
// the table.
func (n *Node) sendProbeRequest(x membership.SendProbeRequest) {
	report := func(r membership.ProbeResult) {
		n.Do(func() []membership.Decision { return n.Table.IndirectProbeResult(n.fleet.Now, x.Target.ID, x.Token, r) })
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
			n.fleet.deliver(helper, n, func() {
				if !answered {
					answered = true
					report(r)
				}
			})
		})
		return struct{}{}
	}, func(any, bool) {})
}

// deliver runs f on the receiver after the network latency, unless the message
// is lost.
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
	s := n.fleet
	finished := false
	finish := func(answer any, refused bool) {
		if !finished {
			finished = true
			done(answer, refused)
		}
	}
	n.after(timeout, func() { finish(nil, false) })
	n.countMessage(s.messageSize(method, params))
	to, ok := s.Nodes[id]
	if !ok || !to.Up {
		if ok && to.PoweredOff {
			return
		}
		// The machine refuses the connection on behalf of the missing process,
		// if the network delivers the message.
		if s.rand.Float64() >= s.Loss && !s.Cut(n.Host.ID, id) {
			n.after(2*time.Millisecond, func() { finish(nil, true) })
		}
		return
	}
	s.deliver(n, to, func() {
		to.countMessage(s.messageSize(method, params))
		answer := serve(to)
		to.countMessage(s.messageSize("", answer))
		s.deliver(to, n, func() {
			n.countMessage(s.messageSize("", answer))
			finish(answer, false)
		})
	})
}

func (n *Node) countMessage(bytes int) {
	n.Bytes += bytes
	n.Messages++
}

// messageSize returns the size in bytes of a JSON-RPC message with its length
// prefix, or 0 if Encode is off. An empty method means a response.
func (s *Fleet) messageSize(method string, v any) int {
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

// ViewsAgree reports whether each running, unpaused host sees exactly the given
// hosts as serving.
func (s *Fleet) ViewsAgree(serving ...model.HostID) bool {
	slices.Sort(serving)
	for _, n := range s.Nodes {
		if n.Up && !n.paused && !slices.Equal(n.ServingHosts(), serving) {
			return false
		}
	}
	return true
}

// ServingHosts returns the hosts that the process sees as serving, sorted by ID.
func (n *Node) ServingHosts() []model.HostID {
	var all []model.HostID
	for _, list := range n.Table.View().Serving {
		all = append(all, list...)
	}
	slices.Sort(all)
	return all
}

// RunningHosts returns the hosts whose process runs, except the given ones.
func (s *Fleet) RunningHosts(except ...model.HostID) []model.HostID {
	var all []model.HostID
	for id, n := range s.Nodes {
		if n.Up && !slices.Contains(except, id) {
			all = append(all, id)
		}
	}
	return all
}

// CountStateChanges counts the changes to a state that hosts observed after a
// time.
func (s *Fleet) CountStateChanges(since time.Time, to membership.State) int {
	total := 0
	for _, n := range s.StartOrder {
		for _, c := range n.Changes {
			if c.To == to && c.At.After(since) {
				total++
			}
		}
	}
	return total
}
