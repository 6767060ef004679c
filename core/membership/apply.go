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

func (t *Table) spreadSelf(now time.Time) {
	t.queue[t.cfg.Self.ID] = 0
	t.urgent(now)
}

// apply takes over an update if it is newer than what is known.
func (t *Table) apply(now time.Time, u Update) {
	if u.State < Alive || u.State > Gone {
		return
	}
	if u.Host == t.cfg.Self.ID {
		t.aboutSelf(now, u)
		return
	}
	m, ok := t.members[u.Host]
	if !ok {
		if u.Info == nil || u.State == Gone {
			return // the comparison of hashes brings the rest
		}
		m = &member{Host: Host{ID: u.Host, Info: *u.Info}, since: now, started: now, listed: u.Start == 0, infoNews: true}
		t.members[u.Host] = m
		t.peersDirty = true
	}
	c := u.Compare(m.version)
	if c < 0 || c == 0 && u.State <= m.state {
		return
	}
	if u.Info != nil && m.Info != *u.Info {
		m.Info, m.infoNews = *u.Info, true
	}
	if u.Start != m.version.Start {
		// Another process: what was known of the one before does not count.
		m.started = now
		m.state = 0
		m.link = link{next: now}
	}
	m.version, m.incarnation = u.Version, u.Incarnation
	t.setState(now, m, u.State)
}

// setState records a state at the member's version and spreads it.
func (t *Table) setState(now time.Time, m *member, s State) {
	if s == Unreachable && m.state == Leaving {
		s = Gone
	}
	from := m.state
	m.state = s
	t.queue[m.ID] = 0
	delete(t.suspects, m.ID)
	if s == Suspect {
		t.suspects[m.ID] = m
		m.deadline = now.Add(t.suspicionTime(m))
		if at := now.Add(urgentGap); at.Before(m.link.next) {
			m.link.next = at
		}
	}
	if s == from {
		return
	}
	m.since = now
	t.peersDirty = true
	if s > Suspect || from > Suspect {
		t.urgent(now)
	}
	t.decide(StateChanged{Host: m.ID, Incarnation: m.incarnation, From: from, To: s})
}

// suspicionTime is longer for a suspicion that only others have evidence for, so
// that their verdict or the refutation arrives first even while much else is
// spread.
func (t *Table) suspicionTime(m *member) time.Duration {
	if m.link.failures > 0 {
		return t.cfg.SuspicionTimeout
	}
	return hearsayFactor * t.cfg.SuspicionTimeout
}

// aboutSelf refutes a wrong statement about this host by a higher version.
func (t *Table) aboutSelf(now time.Time, u Update) {
	switch {
	case u.Incarnation == t.cfg.Incarnation:
		wrong := u.State == Suspect || u.State == Unreachable || u.State == Gone
		if wrong && u.Compare(t.self) >= 0 {
			t.self.Counter = u.Counter + 1
			t.spreadSelf(now)
		}
	case u.Incarnation == "" || u.Start < t.self.Start:
	case now.Sub(t.startedAt) < joinPeriod:
		t.self = Version{Start: u.Start + 1}
		t.spreadSelf(now)
	case !t.superseded:
		t.superseded = true
		t.decide(Superseded{By: u.Incarnation})
	}
}

func (t *Table) applyKeySuccessor(now time.Time, n KeySuccessor) {
	if n.RemainingMs <= 0 || n.Hops <= t.keySuccessors[n.Issuer].Hops {
		return
	}
	t.keySuccessors[n.Issuer] = heldKeySuccessor{KeySuccessor: n, expiry: now.Add(time.Duration(n.RemainingMs) * time.Millisecond)}
	t.keySuccessorQueue[n.Issuer] = 0
	t.urgent(now)
	t.decide(StateChanged{Host: n.Successor, Incarnation: n.Issuer})
}

// Receive takes over a heartbeat and returns the answer.
func (t *Table) Receive(now time.Time, m Message) (Message, []Decision) {
	from := t.merge(now, m)
	answer := t.message(now, from, m.WantInfo)
	answer.WantInfo = from == nil
	if from != nil && from.version.Start > m.From.Start {
		// An older process with the same ID must learn that it was replaced.
		answer.Updates = append([]Update{t.update(from, false)}, answer.Updates...)
	}
	if from != nil && len(m.Hashes) > 0 {
		t.compare(from, m.Hashes)
	}
	return answer, t.take()
}

// merge takes over the content of a message and returns the sender's record,
// nil if the sender is unknown.
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
		t.decide(EpochSeen{Host: from.Host, Epoch: m.Epoch})
	}
	return from
}

// HeartbeatAnswered takes over the answer to a heartbeat.
func (t *Table) HeartbeatAnswered(now time.Time, to model.HostID, token Token, answer Message) []Decision {
	t.lastAck = now
	m, ok := t.members[to]
	if !ok {
		t.merge(now, answer)
		return t.take()
	}
	if m.link.inFlight == token {
		m.link.inFlight = 0
	}
	m.link.failures, m.link.refused, m.link.probe = 0, false, probe{}
	if m.link.down {
		m.link.down = false
		t.decide(LinkChanged{Host: to})
	}
	m.link.infoSent = !answer.WantInfo
	t.merge(now, answer)
	return t.take()
}
