package membership

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/agateusher/agateusher/core/model"
)

// sim runs tables in virtual time over a network with loss, cuts and pauses.
// The sizes of messages are those of their JSON-RPC encoding.
type sim struct {
	now    time.Time
	events eventHeap
	seq    int
	rand   *rand.Rand
	loss   float64
	cut    func(from, to model.HostID) bool
	nodes  map[model.HostID]*simNode
	order  []*simNode
	list   []Listed
	// encode is off in tests that do not count bytes.
	encode bool
}

type simNode struct {
	sim     *sim
	host    Host
	table   *Table
	up      bool // the process runs
	silent  bool // the machine is off, so nothing refuses connections
	paused  bool
	backlog []func()
	wake    int
	bytes   int
	msgs    int
	changes []simChange
	down    int
	super   int
}

type simChange struct {
	at time.Time
	StateChanged
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

// newSim starts hosts spread over data centres, two in a region.
func newSim(hosts, dcs int, seed uint64) *sim {
	s := &sim{now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), nodes: map[model.HostID]*simNode{}, cut: func(_, _ model.HostID) bool { return false }}
	for i := range hosts {
		dc := i % dcs
		id := model.HostID(fmt.Sprintf("host-%03d", i))
		s.list = append(s.list, Listed{Host: Host{ID: id, Info: Info{
			DataCentre: model.DataCentre(fmt.Sprintf("lagos-%d", dc)), Region: model.Region(fmt.Sprintf("region-%d", dc/2)),
			FleetAddress: fmt.Sprintf("10.0.%d.%d:7002", dc, i), PeerAddress: fmt.Sprintf("10.0.%d.%d:7003", dc, i),
		}}})
	}
	for _, x := range s.list {
		s.start(x.Host, "a")
	}
	return s
}

// start runs a new process on a host; the relays' reads of the list go on.
func (s *sim) start(h Host, run string) *simNode {
	n := &simNode{sim: s, host: h, up: true}
	n.table = New(Config{Self: h, Incarnation: model.Incarnation(string(h.ID) + run), Start: uint64(s.now.UnixMilli())}, rand.New(rand.NewPCG(s.rand.Uint64(), 2)), s.now)
	s.nodes[h.ID] = n
	s.order = append(s.order, n)
	n.do(func() []Decision { return n.table.HostList(s.now, s.list) })
	n.readList()
	return n
}

func (n *simNode) readList() {
	n.after(time.Second, func() {
		v := n.table.View()
		serving := v.Serving[n.host.DataCentre]
		if len(serving) > 0 && (n.host.ID == serving[0] || n.host.ID == serving[len(serving)-1]) {
			n.do(func() []Decision { return n.table.HostList(n.sim.now, n.sim.list) })
		}
		n.readList()
	})
}

func (s *sim) at(t time.Time, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: f})
}

// after runs f on the node after d; a paused node runs it when it wakes.
func (n *simNode) after(d time.Duration, f func()) {
	n.sim.at(n.sim.now.Add(d), func() {
		switch {
		case !n.up:
		case n.paused:
			n.backlog = append(n.backlog, f)
		default:
			f()
		}
	})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// until runs until ok or the limit, and returns the time taken.
func (s *sim) until(limit time.Duration, ok func() bool) (time.Duration, bool) {
	started := s.now
	for s.now.Sub(started) < limit {
		if ok() {
			return s.now.Sub(started), true
		}
		s.run(10 * time.Millisecond)
	}
	return limit, ok()
}

func (n *simNode) pause() { n.paused = true }

func (n *simNode) resume() {
	n.paused = false
	// The process first notices its timers, then reads what waits.
	n.do(func() []Decision { return n.table.Tick(n.sim.now) })
	for _, f := range n.backlog {
		f()
	}
	n.backlog = nil
}

func (n *simNode) do(f func() []Decision) {
	for _, d := range f() {
		n.execute(d)
	}
	n.wake++
	wake := n.wake
	n.after(max(0, n.table.NextWake(n.sim.now).Sub(n.sim.now)), func() {
		if wake == n.wake {
			n.do(func() []Decision { return n.table.Tick(n.sim.now) })
		}
	})
}

func (n *simNode) execute(d Decision) {
	s := n.sim
	switch x := d.(type) {
	case SendHeartbeat:
		n.rpc(x.To.ID, 400*time.Millisecond, "membership.heartbeat", x.Message, func(to *simNode) any {
			var answer Message
			to.do(func() (d []Decision) {
				answer, d = to.table.Receive(s.now, x.Message)
				return d
			})
			return answer
		}, func(answer any, refused bool) {
			n.do(func() []Decision {
				if answer == nil {
					return n.table.Failed(s.now, x.To.ID, x.Token, refused)
				}
				return n.table.Answered(s.now, x.To.ID, x.Token, answer.(Message))
			})
		})
	case AskIndirect:
		n.ask(x)
	case Sync:
		n.rpc(x.With.ID, 2*time.Second, "membership.exchange", x.Page, func(to *simNode) any {
			var answer Page
			to.do(func() (d []Decision) {
				answer, d = to.table.Exchange(s.now, x.Page)
				return d
			})
			return answer
		}, func(answer any, _ bool) {
			if answer != nil {
				n.do(func() []Decision { return n.table.SyncAnswered(s.now, x.With.ID, answer.(Page)) })
			}
		})
	case StateChanged:
		n.changes = append(n.changes, simChange{s.now, x})
	case LinkChanged:
		if x.Down {
			n.down++
		}
	case Superseded:
		n.super++
	}
}

// ask sends an indirect probe; the helper pings the target and answers.
func (n *simNode) ask(x AskIndirect) {
	report := func(r ProbeResult) {
		n.do(func() []Decision { return n.table.IndirectResult(n.sim.now, x.Target.ID, x.Token, r) })
	}
	answered := false
	n.after(700*time.Millisecond, func() {
		if !answered {
			answered = true
			report(ProbeNoAnswer)
		}
	})
	n.rpc(x.Helper.ID, 700*time.Millisecond, "membership.probe", x.Target.ID, func(helper *simNode) any {
		helper.rpc(x.Target.ID, 400*time.Millisecond, "membership.ping", nil, func(*simNode) any { return struct{}{} }, func(pong any, refused bool) {
			r := ProbeFailed
			if pong != nil {
				r = ProbeReached
			} else if refused {
				r = ProbeRefused
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
func (s *sim) deliver(from, to *simNode, f func()) {
	latency := time.Millisecond
	if from.host.Region != to.host.Region {
		latency = 30 * time.Millisecond
	}
	if s.rand.Float64() >= s.loss && !s.cut(from.host.ID, to.host.ID) {
		to.after(latency, f)
	}
}

func (n *simNode) rpc(id model.HostID, timeout time.Duration, method string, params any, serve func(*simNode) any, done func(answer any, refused bool)) {
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
	to, ok := s.nodes[id]
	if !ok || !to.up {
		if ok && to.silent {
			return
		}
		// The machine answers for the missing process, if the way is free.
		if s.rand.Float64() >= s.loss && !s.cut(n.host.ID, id) {
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

func (n *simNode) count(bytes int) {
	n.bytes += bytes
	n.msgs++
}

// size returns the bytes of a message: JSON-RPC with the length before it.
func (s *sim) size(method string, v any) int {
	if !s.encode {
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

// agree says whether each running, unpaused host sees exactly the given hosts
// as serving.
func (s *sim) agree(serving ...model.HostID) bool {
	slices.Sort(serving)
	for _, n := range s.nodes {
		if n.up && !n.paused && !slices.Equal(serves(n), serving) {
			return false
		}
	}
	return true
}

func serves(n *simNode) []model.HostID {
	var all []model.HostID
	for _, list := range n.table.View().Serving {
		all = append(all, list...)
	}
	slices.Sort(all)
	return all
}

// running returns the hosts whose process runs, but for the given.
func (s *sim) running(except ...model.HostID) []model.HostID {
	var all []model.HostID
	for id, n := range s.nodes {
		if n.up && !slices.Contains(except, id) {
			all = append(all, id)
		}
	}
	return all
}

// verdicts counts the changes to a state that hosts saw since t.
func (s *sim) verdicts(since time.Time, to State) int {
	total := 0
	for _, n := range s.order {
		for _, c := range n.changes {
			if c.To == to && c.at.After(since) {
				total++
			}
		}
	}
	return total
}
