package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

var (
	began = time.Unix(1_000, 0)
	rule  = Rule{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
)

var (
	dcs     = []model.DataCentre{"a1", "a2", "b1", "b2"}
	regions = map[model.DataCentre]model.Region{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
)

// heartbeat is the time between heartbeats, silence how long after its last one a host
// counts as live.
const (
	heartbeat = 200 * time.Millisecond
	silence   = 700 * time.Millisecond
)

// node is one host of a fleet.
type node struct {
	*Host
	store  *Store
	id     model.HostID
	dc     model.DataCentre
	group  int // hosts reach each other if they are in the same group
	down   bool
	frozen bool
	lost   time.Time // when the preferred issuer became unreachable
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet is hosts in four data centres that exchange messages in virtual time.
type fleet struct {
	now    time.Time
	queue  events
	nodes  []*node
	byDC   map[model.DataCentre][]*node
	byID   map[model.HostID]*node
	limits map[string]Limit
	loss   float64
	random *rand.Rand

	ran               []time.Time
	asked, refused    int
	asks, remoteAsks  int
	reports, crossing int // messages between data centres, and those between regions
}

func newFleet(hosts int, l Limit, seed uint64) *fleet {
	f := &fleet{now: began, byDC: map[model.DataCentre][]*node{}, byID: map[model.HostID]*node{}, limits: map[string]Limit{"w": l}, random: rand.New(rand.NewPCG(seed, 0))}
	for i := range hosts {
		n := &node{id: model.HostID(fmt.Sprintf("h%03d", i)), dc: dcs[i%len(dcs)]}
		f.nodes = append(f.nodes, n)
		f.byDC[n.dc] = append(f.byDC[n.dc], n)
		f.byID[n.id] = n
		f.every(heartbeat, func() { f.beat(n) })
		f.every(TickInterval, func() { f.tick(n) })
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

func (f *fleet) start(n *node) {
	n.Host, n.store, n.down = NewHost(f.now, n.id, n.dc, regions, rule), NewStore(), false
	n.SetFleet(len(f.nodes))
	n.SetLimits(f.now, f.limits)
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.queue, event{f.now.Add(d), do}) }

func (f *fleet) every(interval time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		f.after(interval, next)
	}
	f.after(time.Duration(f.random.Int64N(int64(interval))), next)
}

func (f *fleet) run(d time.Duration) {
	for until := f.now.Add(d); len(f.queue) > 0 && f.queue[0].at.Before(until); {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
}

func (n *node) running() bool { return !n.down && !n.frozen }

func reaches(a, b *node) bool { return a.running() && b.running() && a.group == b.group }

// send delivers a message unless it is lost.
func (f *fleet) send(from, to *node, deliver func()) {
	delay := 300 * time.Microsecond
	switch {
	case from.dc[0] != to.dc[0]:
		delay, f.reports, f.crossing = 30*time.Millisecond, f.reports+1, f.crossing+1
	case from.dc != to.dc:
		f.reports++
	}
	if f.random.Float64() < f.loss || !reaches(from, to) {
		return
	}
	f.after(delay, func() {
		if reaches(from, to) {
			deliver()
		}
	})
}

// issuer returns the first host of a data centre that a host reaches.
func (f *fleet) issuer(n *node, dc model.DataCentre) *node {
	for _, x := range f.byDC[dc] {
		if x == n || reaches(n, x) {
			return x
		}
	}
	return nil
}

func (f *fleet) beat(n *node) {
	if !n.running() {
		return
	}
	first := f.issuer(n, n.dc)
	if n.Preferred() == first.id || n.Preferred() == "" || (!n.lost.IsZero() && f.now.Sub(n.lost) >= silence) {
		n.lost = time.Time{}
		n.Prefer(first.id)
	} else if n.lost.IsZero() {
		n.lost = f.now
	}
	alone := true
	for _, x := range f.byDC[n.dc] {
		alone = alone && (x == n || x == first || (reaches(n, x) && !x.HoldsVotes(f.now)))
	}
	if alone && n.Preferred() == first.id {
		n.EarlierVote(first.id)
	}
	s := n.Stamp(f.now)
	for _, x := range f.byDC[n.dc] {
		if x != n && x.Preferred() == n.id {
			f.send(n, x, func() { x.HearStamp(f.now, n.id, s) })
		}
	}
	if v := n.Vote(f.now); v.Issuer != "" && v.Issuer != n.id {
		to := f.byID[v.Issuer]
		f.send(n, to, func() { to.HearVote(f.now, n.id, v) })
	}
}

func (f *fleet) tick(n *node) {
	if !n.running() {
		return
	}
	n.Tick(f.now)
	reports, solicits := n.Reports(f.now), n.Solicit(f.now)
	for _, dc := range dcs {
		to := f.issuer(n, dc)
		if to == nil {
			continue
		}
		if r, ok := reports[dc]; ok {
			f.send(n, to, func() {
				lease := to.HandleReport(f.now, n.id, n.dc, r)
				f.send(to, n, func() { n.HandleLease(f.now, to.id, to.dc, lease) })
			})
		}
		for _, k := range solicits[dc] {
			f.send(n, to, func() { to.Solicited(f.now, k) })
		}
	}
}

// request handles a request of the workspace at a host. Round trips take no time. While no
// issuer of the data centre can answer, the request is held, as edge does.
func (f *fleet) request(n *node) {
	f.asked++
	n.store.Arrive(f.now, KeyOf("w"))
	f.decide(n, n.Host, f.now.Add(2500*time.Millisecond))
}

func (f *fleet) decide(n *node, process *Host, until time.Time) {
	k := KeyOf("w")
	if !n.running() || n.Host != process {
		return
	}
	if _, ok := n.store.Take(f.now, k); ok {
		f.admit()
		return
	}
	own := f.byID[n.Issuer(f.now)]
	over := false
	if own != nil && (own == n || reaches(n, own)) {
		granted, starting := f.ask(n, own, n.store.Ask(f.now, k, 1, n.AdmissionLifetime()))
		if granted {
			return
		}
		over = !starting
	}
	for _, dc := range n.Others(f.now, k) {
		if to := f.issuer(n, dc); to != nil {
			if granted, _ := f.ask(n, to, Ask{Workspace: k, Need: 1}); granted {
				return
			}
		}
		n.Denied(f.now, k, dc, 0)
	}
	if over || !f.now.Before(until) {
		f.refused++
		return
	}
	f.after(50*time.Millisecond, func() { f.decide(n, process, until) })
}

// ask asks an issuer up to twice, until the reply is not lost.
func (f *fleet) ask(n, to *node, q Ask) (granted, starting bool) {
	for range 2 {
		f.asks++
		if to.dc != n.dc {
			f.remoteAsks++
		}
		if to != n && f.random.Float64() < 2*f.loss {
			continue
		}
		r := to.Issue(f.now, q)
		if r.Granted == 0 {
			return false, r.Starting
		}
		n.store.Add(f.now, q.Workspace, r.Granted-1, f.now.Add(n.AdmissionLifetime()))
		f.admit()
		return true, false
	}
	return false, true
}

func (f *fleet) admit() { f.ran = append(f.ran, f.now) }

// load sends requests at a rate, at random times, to the hosts that pick returns.
func (f *fleet) load(perSecond float64, d time.Duration, pick func() *node) {
	for t := 0.0; ; {
		t += f.random.ExpFloat64() / perSecond
		if t >= d.Seconds() {
			break
		}
		f.after(time.Duration(t*float64(time.Second)), func() {
			if n := pick(); n.running() {
				f.request(n)
			}
		})
	}
	f.run(d)
}

func (f *fleet) anyHost() *node { return f.nodes[f.random.IntN(len(f.nodes))] }

// most returns the largest number of requests that ran in a window, from a time on.
func (f *fleet) most(from time.Time) (most int) {
	first := 0
	for i, t := range f.ran {
		if t.Before(from) {
			first = i + 1
			continue
		}
		for t.Sub(f.ran[first]) >= rule.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// parts returns the sum of the parts of the limit that hosts may issue.
func (f *fleet) parts() (sum float64) {
	for _, n := range f.nodes {
		if !n.down {
			sum += n.accounts[KeyOf("w")].usable(f.now, n.own(f.now, n.accounts[KeyOf("w")]))
		}
	}
	return sum
}

// scaleLimit changes the limit, at one host after the other within a second.
func (f *fleet) scaleLimit(factor float64) {
	l := f.limits["w"]
	f.limits = map[string]Limit{"w": limit(l.PerSecond * factor)}
	for _, n := range f.nodes {
		f.after(time.Duration(f.random.Int64N(int64(time.Second))), func() { n.SetLimits(f.now, f.limits) })
	}
}

// reset forgets what was counted.
func (f *fleet) reset() {
	f.ran, f.asked, f.refused, f.asks, f.remoteAsks, f.reports, f.crossing = nil, 0, 0, 0, 0, 0, 0
}
