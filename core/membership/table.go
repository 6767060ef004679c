package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// member is the record of another host.
type member struct {
	Host
	incarnation model.Incarnation
	version     Version
	state       State
	since       time.Time
	started     time.Time // when version.Start last changed here
	epoch       model.Epoch
	listed      bool
	infoNews    bool // others may not know Info
	listLeaving bool
	deadline    time.Time // of a suspicion
	link        link
}

// link is this host's own experience with another one.
type link struct {
	failures int
	refused  bool
	down     bool
	inFlight Token // zero: none
	next     time.Time
	last     time.Time
	infoSent bool
	probe    probe
}

// probe is an indirect probe in progress.
type probe struct {
	token   Token // zero: none
	pending int
	failed  int
	refused int
}

type heldKeySuccessor struct {
	KeySuccessor
	expiry time.Time
}

// Table is one host's view of the fleet. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	rand    *rand.Rand
	self    Version
	leaving bool
	epoch   model.Epoch

	members           map[model.HostID]*member
	keySuccessors     map[model.Incarnation]heldKeySuccessor
	queue             map[model.HostID]int // transmissions so far
	keySuccessorQueue map[model.Incarnation]int

	peers      []*member
	peersDirty bool
	suspects   map[model.HostID]*member
	superseded bool
	listReadAt time.Time

	startedAt, lastTick, lastAck     time.Time
	nextHash, nextReprobe, nextSweep time.Time
	token                            Token
	hashPeer                         int
	allowed                          float64 // updates that may be sent
	allowedAt                        time.Time
	cursors                          map[string]string
	out                              []Decision
}

// New returns a table that knows only its own host. The table owns r.
func New(cfg Config, r *rand.Rand, now time.Time) *Table {
	if cfg.NearPeers == 0 {
		cfg.NearPeers = DefaultNearPeers
	}
	if cfg.FarPeers == 0 {
		cfg.FarPeers = DefaultFarPeers
	}
	if cfg.SuspicionTimeout == 0 {
		cfg.SuspicionTimeout = DefaultSuspicionTimeout
	}
	t := &Table{
		cfg: cfg, rand: r, self: Version{Start: max(cfg.Start, 1)},
		members: map[model.HostID]*member{}, keySuccessors: map[model.Incarnation]heldKeySuccessor{},
		queue: map[model.HostID]int{}, keySuccessorQueue: map[model.Incarnation]int{},
		suspects: map[model.HostID]*member{}, cursors: map[string]string{},
		startedAt: now, allowed: updateBurst, allowedAt: now, lastTick: now, lastAck: now, nextHash: now, nextReprobe: now.Add(reprobeInterval), nextSweep: now.Add(sweepInterval),
	}
	t.queue[cfg.Self.ID] = 0
	return t
}

// take returns the decisions collected so far.
func (t *Table) take() []Decision {
	out := t.out
	t.out = nil
	return out
}

func (t *Table) decide(d Decision) { t.out = append(t.out, d) }

// ApplyHostList takes over the platform's host list. A host that the list names and
// that is unknown is believed alive until heartbeats show otherwise. A host
// that the list lacks is only removed once it is unreachable.
func (t *Table) ApplyHostList(now time.Time, list []ListedHost) []Decision {
	first := t.listReadAt.IsZero()
	t.listReadAt = now
	named := make(map[model.HostID]bool, len(list))
	for _, x := range list {
		named[x.ID] = true
		if x.ID != t.cfg.Self.ID {
			t.listed(now, x)
		}
	}
	for id, m := range t.members {
		m.listed = named[id]
	}
	if first {
		// Every host starts from its own copy of the list, so that only what
		// changes later is news.
		t.forgetNews()
	}
	return t.take()
}

func (t *Table) forgetNews() {
	for id, m := range t.members {
		if m.version.Start == 0 {
			m.infoNews = false
			delete(t.queue, id)
		}
	}
}

func (t *Table) listed(now time.Time, x ListedHost) {
	m, ok := t.members[x.ID]
	if !ok {
		t.apply(now, Update{Host: x.ID, State: Alive, Info: &x.Info})
		m = t.members[x.ID]
		m.listLeaving = x.Leaving
		if x.Leaving {
			t.setState(now, m, Leaving)
		}
		return
	}
	if m.version.Start == 0 && m.Info != x.Info {
		m.Info = x.Info
		t.decide(StateChanged{Host: m.ID, From: m.state, To: m.state})
	}
	edge := x.Leaving && !m.listLeaving
	m.listLeaving = x.Leaving
	if edge && m.state < Leaving && now.Sub(m.started) > listLag {
		t.setState(now, m, Leaving)
	}
}

// Leave announces the planned stop to all peers at once.
func (t *Table) Leave(now time.Time) []Decision {
	if !t.leaving {
		t.leaving = true
		t.self.Counter++
		t.spreadSelf(now)
		t.beat(now)
	}
	return t.take()
}

// SetEpoch makes heartbeats carry a new epoch and notifies all peers at once.
func (t *Table) SetEpoch(now time.Time, e model.Epoch) []Decision {
	if e > t.epoch {
		t.epoch = e
		t.urgent(now)
		t.beat(now)
	}
	return t.take()
}

// AnnounceSuccessor announces to all hosts that successor now accepts the keys
// of the given incarnations. left is the rest of the keys' lifetime.
func (t *Table) AnnounceSuccessor(now time.Time, issuers []model.Incarnation, successor model.HostID, left time.Duration) []Decision {
	for _, i := range issuers {
		t.applyKeySuccessor(now, KeySuccessor{Issuer: i, Successor: successor, Hops: t.keySuccessors[i].Hops + 1, RemainingMs: left.Milliseconds()})
	}
	t.beat(now)
	return t.take()
}

// DataPathFailed reports that a request could not be handed to a host. It
// leads to a heartbeat at once; alone it changes no state.
func (t *Table) DataPathFailed(now time.Time, id model.HostID) []Decision {
	m, ok := t.members[id]
	if ok && m.state <= Suspect && now.Sub(m.link.last) >= urgentGap && m.link.inFlight == 0 {
		m.link.failures = max(m.link.failures, failuresToAsk-1)
		t.send(now, m)
	}
	return t.take()
}

// Tick does what is due.
func (t *Table) Tick(now time.Time) []Decision {
	if gap := now.Sub(t.lastTick); gap > pauseGap {
		t.resume(now, gap)
	}
	t.lastTick = now
	t.beat(now)
	t.verdicts(now)
	if !now.Before(t.nextReprobe) {
		t.nextReprobe = now.Add(reprobeInterval)
		t.reprobe(now)
	}
	if !now.Before(t.nextSweep) {
		t.nextSweep = now.Add(sweepInterval)
		t.sweep(now)
	}
	return t.take()
}

// NextWake returns when Tick is needed next.
func (t *Table) NextWake(now time.Time) time.Time {
	next := t.nextSweep
	for _, m := range t.currentPeers() {
		if m.link.inFlight == 0 && m.link.next.Before(next) {
			next = m.link.next
		}
	}
	for _, m := range t.suspects {
		if m.deadline.Before(next) && !t.isolated(now) {
			next = m.deadline
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

// resume forgets what was measured across a pause of this process: pending
// answers may have been lost, and suspects had no chance to refute.
func (t *Table) resume(now time.Time, gap time.Duration) {
	for _, m := range t.members {
		m.link.failures, m.link.refused, m.link.probe = 0, false, probe{}
		m.link.inFlight, m.link.next = 0, now
	}
	for _, m := range t.suspects {
		m.deadline = m.deadline.Add(gap)
	}
	t.lastAck = now
}

func (t *Table) verdicts(now time.Time) {
	if len(t.suspects) == 0 || t.isolated(now) {
		return
	}
	for _, m := range t.sortedSuspects() {
		if !now.Before(m.deadline) {
			t.setState(now, m, Unreachable)
		}
	}
}

func (t *Table) sortedSuspects() []*member {
	list := make([]*member, 0, len(t.suspects))
	for _, m := range t.suspects {
		list = append(list, m)
	}
	slices.SortFunc(list, byID)
	return list
}

// isolated says whether so little answers that this host is probably the one
// that is cut off.
func (t *Table) isolated(now time.Time) bool {
	silent := now.Sub(t.lastAck)
	return len(t.peers) >= isolationPeers && silent > FarHeartbeatInterval && silent < isolationHold
}

func (t *Table) sweep(now time.Time) {
	for id, m := range t.members {
		age := now.Sub(m.since)
		switch {
		case m.state == Gone && age > tombstone:
			delete(t.members, id)
			delete(t.queue, id)
			t.peersDirty = true
		case m.state == Unreachable && !m.listed && age > t.keepUnlisted(now):
			t.setState(now, m, Gone)
		}
	}
	for i, n := range t.keySuccessors {
		if !now.Before(n.expiry) {
			delete(t.keySuccessors, i)
			delete(t.keySuccessorQueue, i)
		}
	}
}

// keepUnlisted returns how long an unreachable host that is not listed stays.
// A host that does not read the list leaves the verdict to those that do.
func (t *Table) keepUnlisted(now time.Time) time.Duration {
	if now.Sub(t.listReadAt) < goneAfter {
		return goneAfter
	}
	return forgetAfter
}

// reprobe sends a heartbeat to one unreachable host.
func (t *Table) reprobe(now time.Time) {
	var list []*member
	for _, m := range t.members {
		if m.state == Unreachable && m.link.inFlight == 0 {
			list = append(list, m)
		}
	}
	if len(list) > 0 {
		slices.SortFunc(list, byID)
		t.send(now, list[t.rand.IntN(len(list))])
	}
}

// View returns a copy of the table.
func (t *Table) View() View {
	v := View{
		Self: t.cfg.Self.ID, Hosts: make(map[model.HostID]HostView, len(t.members)+1),
		Serving: map[model.DataCentre][]model.HostID{}, Regions: map[model.DataCentre]model.Region{},
		Successors: make(map[model.Incarnation]model.HostID, len(t.keySuccessors)),
	}
	own := t.selfUpdate()
	v.add(HostView{Host: t.cfg.Self, Incarnation: own.Incarnation, Version: own.Version, State: own.State, Since: t.startedAt, Epoch: t.epoch})
	for _, m := range t.members {
		v.add(HostView{Host: m.Host, Incarnation: m.incarnation, Version: m.version, State: m.state, Since: m.since, LinkDown: m.link.down, Epoch: m.epoch})
	}
	for _, list := range v.Serving {
		slices.Sort(list)
	}
	for i, n := range t.keySuccessors {
		v.Successors[i] = n.Successor
	}
	return v
}

func (v *View) add(h HostView) {
	v.Hosts[h.ID] = h
	v.Regions[h.DataCentre] = h.Region
	if h.State <= Suspect {
		v.Serving[h.DataCentre] = append(v.Serving[h.DataCentre], h.ID)
	}
}
