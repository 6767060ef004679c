package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// member is the record of one other host.
type member struct {
	Host
	incarnation       model.Incarnation
	version           Version
	state             State
	stateSince        time.Time
	startSeenAt       time.Time // when version.Start last changed in this table
	epoch             model.Epoch
	listed            bool // in the latest host list
	announceInfo      bool // updates carry Info, since other hosts may not know it
	listedLeaving     bool // the latest host list shows the host as leaving
	suspicionDeadline time.Time
	link              link
}

// link holds the results of this host's own heartbeats and probes to another host.
type link struct {
	failures      int   // consecutive failures, counted towards an indirect probe
	refused       bool  // the last failure was a refused connection
	down          bool  // this host cannot reach the other one, but helpers can
	inFlight      Token // zero: none
	nextHeartbeat time.Time
	lastHeartbeat time.Time
	infoSent      bool // the other host knows this host's Info
	probe         probe
}

// probe is an indirect probe in progress.
type probe struct {
	token   Token // zero: none
	pending int   // helpers without a result so far
	failed  int   // helpers that got no answer from the target
	refused int   // helpers whose connection was refused
}

// heldKeySuccessor is a key successor with the time at which its keys expire.
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
	updateQueue       map[model.HostID]int // number of transmissions so far
	keySuccessorQueue map[model.Incarnation]int

	peers      []*member
	peersDirty bool
	suspects   map[model.HostID]*member
	superseded bool
	listReadAt time.Time

	startedAt, lastTick, lastAck     time.Time
	nextHash, nextReprobe, nextSweep time.Time
	token                            Token
	nextHashPeer                     int
	updateBudget                     float64 // number of updates that may be sent now
	updateBudgetAt                   time.Time
	pageCursors                      map[string]string // Page.After of the next exchange, by section
	decisions                        []Decision
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
		updateQueue: map[model.HostID]int{}, keySuccessorQueue: map[model.Incarnation]int{},
		suspects: map[model.HostID]*member{}, pageCursors: map[string]string{},
		startedAt: now, updateBudget: updateBurst, updateBudgetAt: now, lastTick: now, lastAck: now, nextHash: now, nextReprobe: now.Add(reprobeInterval), nextSweep: now.Add(sweepInterval),
	}
	t.updateQueue[cfg.Self.ID] = 0
	return t
}

// takeDecisions returns the decisions collected so far.
func (t *Table) takeDecisions() []Decision {
	decisions := t.decisions
	t.decisions = nil
	return decisions
}

func (t *Table) emit(d Decision) { t.decisions = append(t.decisions, d) }

// ApplyHostList applies the platform's host list. A listed host that is not known
// is taken to be alive until heartbeats show otherwise. A known host that is not
// listed is only removed once it is unreachable.
func (t *Table) ApplyHostList(now time.Time, list []ListedHost) []Decision {
	first := t.listReadAt.IsZero()
	t.listReadAt = now
	named := make(map[model.HostID]bool, len(list))
	for _, x := range list {
		named[x.ID] = true
		if x.ID != t.cfg.Self.ID {
			t.applyListed(now, x)
		}
	}
	for id, m := range t.members {
		m.listed = named[id]
	}
	if first {
		// Every host reads the list itself when it starts, so only later changes
		// need to spread.
		t.dropListedUpdates()
	}
	return t.takeDecisions()
}

// dropListedUpdates dequeues the updates about hosts known from the host list only.
func (t *Table) dropListedUpdates() {
	for id, m := range t.members {
		if m.version.Start == 0 {
			m.announceInfo = false
			delete(t.updateQueue, id)
		}
	}
}

func (t *Table) applyListed(now time.Time, x ListedHost) {
	m, ok := t.members[x.ID]
	if !ok {
		t.apply(now, Update{Host: x.ID, State: Alive, Info: &x.Info})
		m = t.members[x.ID]
		m.listedLeaving = x.Leaving
		if x.Leaving {
			t.setState(now, m, Leaving)
		}
		return
	}
	if m.version.Start == 0 && m.Info != x.Info {
		m.Info = x.Info
		t.emit(StateChanged{Host: m.ID, From: m.state, To: m.state})
	}
	startsLeaving := x.Leaving && !m.listedLeaving
	m.listedLeaving = x.Leaving
	if startsLeaving && m.state < Leaving && now.Sub(m.startSeenAt) > maxListLag {
		t.setState(now, m, Leaving)
	}
}

// Leave announces this host's planned stop to all peers without waiting for the
// heartbeat interval.
func (t *Table) Leave(now time.Time) []Decision {
	if !t.leaving {
		t.leaving = true
		t.self.Counter++
		t.announceSelf(now)
		t.sendDueHeartbeats(now)
	}
	return t.takeDecisions()
}

// SetEpoch sets the configuration epoch that heartbeats carry. It announces a newer
// one to all peers without waiting for the heartbeat interval.
func (t *Table) SetEpoch(now time.Time, e model.Epoch) []Decision {
	if e > t.epoch {
		t.epoch = e
		t.expediteHeartbeats(now)
		t.sendDueHeartbeats(now)
	}
	return t.takeDecisions()
}

// AnnounceSuccessor announces to all hosts that successor now accepts the keys
// of the given incarnations. left is the rest of the keys' lifetime.
func (t *Table) AnnounceSuccessor(now time.Time, issuers []model.Incarnation, successor model.HostID, left time.Duration) []Decision {
	for _, i := range issuers {
		t.applyKeySuccessor(now, KeySuccessor{Issuer: i, Successor: successor, Hops: t.keySuccessors[i].Hops + 1, RemainingMs: left.Milliseconds()})
	}
	t.sendDueHeartbeats(now)
	return t.takeDecisions()
}

// DataPathFailed reports that a request could not be sent to a host. It triggers a
// heartbeat at once, but does not change the host's state by itself.
func (t *Table) DataPathFailed(now time.Time, id model.HostID) []Decision {
	m, ok := t.members[id]
	if ok && m.state <= Suspect && now.Sub(m.link.lastHeartbeat) >= minHeartbeatGap && m.link.inFlight == 0 {
		m.link.failures = max(m.link.failures, failuresBeforeProbe-1)
		t.sendHeartbeat(now, m)
	}
	return t.takeDecisions()
}

// Tick sends due heartbeats, expires suspicions, probes an unreachable host and
// removes expired records, as due.
func (t *Table) Tick(now time.Time) []Decision {
	if gap := now.Sub(t.lastTick); gap > minPause {
		t.resumeAfterPause(now, gap)
	}
	t.lastTick = now
	t.sendDueHeartbeats(now)
	t.expireSuspicions(now)
	if !now.Before(t.nextReprobe) {
		t.nextReprobe = now.Add(reprobeInterval)
		t.reprobe(now)
	}
	if !now.Before(t.nextSweep) {
		t.nextSweep = now.Add(sweepInterval)
		t.sweep(now)
	}
	return t.takeDecisions()
}

// NextWake returns when Tick must be called next.
func (t *Table) NextWake(now time.Time) time.Time {
	next := t.nextSweep
	for _, m := range t.currentPeers() {
		if m.link.inFlight == 0 && m.link.nextHeartbeat.Before(next) {
			next = m.link.nextHeartbeat
		}
	}
	for _, m := range t.suspects {
		if m.suspicionDeadline.Before(next) && !t.isolated(now) {
			next = m.suspicionDeadline
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

// resumeAfterPause resets the links and extends the suspicions after a pause of
// this process, because answers may have been lost and suspects could not refute.
func (t *Table) resumeAfterPause(now time.Time, gap time.Duration) {
	for _, m := range t.members {
		m.link.failures, m.link.refused, m.link.probe = 0, false, probe{}
		m.link.inFlight, m.link.nextHeartbeat = 0, now
	}
	for _, m := range t.suspects {
		m.suspicionDeadline = m.suspicionDeadline.Add(gap)
	}
	t.lastAck = now
}

func (t *Table) expireSuspicions(now time.Time) {
	if len(t.suspects) == 0 || t.isolated(now) {
		return
	}
	for _, m := range t.sortedSuspects() {
		if !now.Before(m.suspicionDeadline) {
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

// isolated reports whether this host is probably the one that is cut off, because
// no peer has answered for some time.
func (t *Table) isolated(now time.Time) bool {
	silent := now.Sub(t.lastAck)
	return len(t.peers) >= minIsolationPeers && silent > FarHeartbeatInterval && silent < maxIsolationHold
}

func (t *Table) sweep(now time.Time) {
	for id, m := range t.members {
		age := now.Sub(m.stateSince)
		switch {
		case m.state == Gone && age > tombstoneRetention:
			delete(t.members, id)
			delete(t.updateQueue, id)
			t.peersDirty = true
		case m.state == Unreachable && !m.listed && age > t.unlistedRetention(now):
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

// unlistedRetention returns how long an unreachable host that is not listed is
// kept. A host that does not read the list leaves its removal to those that do.
func (t *Table) unlistedRetention(now time.Time) time.Duration {
	if now.Sub(t.listReadAt) < goneAfter {
		return goneAfter
	}
	return goneAfterWithoutList
}

// reprobe sends a heartbeat to one unreachable host, chosen at random.
func (t *Table) reprobe(now time.Time) {
	var list []*member
	for _, m := range t.members {
		if m.state == Unreachable && m.link.inFlight == 0 {
			list = append(list, m)
		}
	}
	if len(list) > 0 {
		slices.SortFunc(list, byID)
		t.sendHeartbeat(now, list[t.rand.IntN(len(list))])
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
		v.add(HostView{Host: m.Host, Incarnation: m.incarnation, Version: m.version, State: m.state, Since: m.stateSince, LinkDown: m.link.down, Epoch: m.epoch})
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
