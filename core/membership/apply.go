package membership

import (
	"strings"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

func byID(a, b *member) int { return strings.Compare(string(a.ID), string(b.ID)) }

func (t *Table) selfUpdate() Update {
	u := Update{Host: t.cfg.Self.ID, Incarnation: t.cfg.Incarnation, Version: t.self, State: Alive}
	if t.leaving {
		u.State = Leaving
	}
	return u
}

func (t *Table) announceSelf(now time.Time) {
	t.updateQueue[t.cfg.Self.ID] = 0
	t.expediteHeartbeats(now)
}

// apply stores an update if it is newer than the member's record.
func (t *Table) apply(now time.Time, u Update) {
	if u.State < Alive || u.State > Gone {
		return
	}
	if u.Host == t.cfg.Self.ID {
		t.applyToSelf(now, u)
		return
	}
	m, ok := t.members[u.Host]
	if !ok {
		if u.Info == nil || u.State == Gone {
			return // a later comparison of hashes adds hosts that are missing here
		}
		m = &member{Host: Host{ID: u.Host, Info: *u.Info}, stateSince: now, startSeenAt: now, listed: u.Start == 0, announceInfo: true}
		t.members[u.Host] = m
		t.peersDirty = true
	}
	c := u.Compare(m.version)
	if c < 0 || c == 0 && u.State <= m.state {
		return
	}
	if u.Info != nil && m.Info != *u.Info {
		m.Info, m.announceInfo = *u.Info, true
	}
	if u.Start != m.version.Start {
		// A different process: drop the state and link of the previous one.
		m.startSeenAt = now
		m.state = 0
		m.link = link{nextHeartbeat: now}
	}
	m.version, m.incarnation = u.Version, u.Incarnation
	t.setState(now, m, u.State)
}

// setState sets the state at the member's current version and queues it for the
// heartbeats.
func (t *Table) setState(now time.Time, m *member, s State) {
	if s == Unreachable && m.state == Leaving {
		s = Gone
	}
	from := m.state
	m.state = s
	t.updateQueue[m.ID] = 0
	delete(t.suspects, m.ID)
	if s == Suspect {
		t.suspects[m.ID] = m
		m.suspicionDeadline = now.Add(t.suspicionTimeout(m))
		if at := now.Add(minHeartbeatGap); at.Before(m.link.nextHeartbeat) {
			m.link.nextHeartbeat = at
		}
	}
	if s == from {
		return
	}
	m.stateSince = now
	t.peersDirty = true
	if s > Suspect || from > Suspect {
		t.expediteHeartbeats(now)
	}
	t.emit(StateChanged{Host: m.ID, Incarnation: m.incarnation, From: from, To: s})
}

// suspicionTimeout is longer for a suspicion reported by other hosts without a
// failed heartbeat of this host, so that their decision or the refutation arrives
// first even while many other changes spread.
func (t *Table) suspicionTimeout(m *member) time.Duration {
	if m.link.failures > 0 {
		return t.cfg.SuspicionTimeout
	}
	return remoteSuspicionFactor * t.cfg.SuspicionTimeout
}

// applyToSelf handles an update about this host. It refutes a wrong state with a
// higher version and detects another process with this host's ID.
func (t *Table) applyToSelf(now time.Time, u Update) {
	switch {
	case u.Incarnation == t.cfg.Incarnation:
		wrong := u.State == Suspect || u.State == Unreachable || u.State == Gone
		if wrong && u.Compare(t.self) >= 0 {
			t.self.Counter = u.Counter + 1
			t.announceSelf(now)
		}
	case u.Incarnation == "" || u.Start < t.self.Start:
	case now.Sub(t.startedAt) < joinPeriod:
		t.self = Version{Start: u.Start + 1}
		t.announceSelf(now)
	case !t.superseded:
		t.superseded = true
		t.emit(Superseded{By: u.Incarnation})
	}
}

func (t *Table) applyKeySuccessor(now time.Time, n KeySuccessor) {
	if n.RemainingMs <= 0 || n.Hops <= t.keySuccessors[n.Issuer].Hops {
		return
	}
	t.keySuccessors[n.Issuer] = heldKeySuccessor{KeySuccessor: n, expiry: now.Add(time.Duration(n.RemainingMs) * time.Millisecond)}
	t.keySuccessorQueue[n.Issuer] = 0
	t.expediteHeartbeats(now)
	t.emit(StateChanged{Host: n.Successor, Incarnation: n.Issuer})
}

// Receive applies a received heartbeat and returns the answer to send.
func (t *Table) Receive(now time.Time, m Message) (Message, []Decision) {
	from := t.merge(now, m)
	answer := t.message(now, from, m.WantInfo)
	answer.WantInfo = from == nil
	if from != nil && from.version.Start > m.From.Start {
		// Tell an older process with the same ID that it was replaced.
		answer.Updates = append([]Update{t.update(from, false)}, answer.Updates...)
	}
	if from != nil && len(m.Hashes) > 0 {
		t.compareHashes(from, m.Hashes)
	}
	return answer, t.takeDecisions()
}

// merge applies the content of a message and returns the sender's record, or nil
// if the sender is unknown.
func (t *Table) merge(now time.Time, m Message) *member {
	t.apply(now, m.From)
	for _, u := range m.Updates {
		t.apply(now, u)
	}
	for _, n := range m.KeySuccessors {
		t.applyKeySuccessor(now, n)
	}
	from := t.members[m.From.Host]
	if from == nil || from.version.Start != m.From.Start {
		return from
	}
	from.epoch = m.Epoch
	if m.Epoch > t.epoch {
		t.emit(EpochSeen{Host: from.Host, Epoch: m.Epoch})
	}
	return from
}

// HeartbeatAnswered applies the answer to a heartbeat.
func (t *Table) HeartbeatAnswered(now time.Time, to model.HostID, token Token, answer Message) []Decision {
	t.lastAck = now
	m, ok := t.members[to]
	if !ok {
		t.merge(now, answer)
		return t.takeDecisions()
	}
	if m.link.inFlight == token {
		m.link.inFlight = 0
	}
	m.link.failures, m.link.refused, m.link.probe = 0, false, probe{}
	if m.link.down {
		m.link.down = false
		t.emit(LinkChanged{Host: to})
	}
	m.link.infoSent = !answer.WantInfo
	t.merge(now, answer)
	return t.takeDecisions()
}
