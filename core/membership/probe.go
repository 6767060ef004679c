package membership

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
)

// HeartbeatFailed reports a heartbeat without an answer. Refused means that the target's
// host refused the connection.
func (t *Table) HeartbeatFailed(now time.Time, to model.HostID, token Token, refused bool) []Decision {
	m, ok := t.members[to]
	if !ok || m.link.inFlight != token {
		return t.take()
	}
	m.link.inFlight = 0
	m.link.failures++
	m.link.refused = refused
	m.link.infoSent = false
	if m.state > Suspect && m.state != Leaving {
		return t.take()
	}
	if refused || m.link.failures >= failuresToAsk {
		t.askHelpers(now, m)
	} else {
		m.link.next = now.Add(urgentGap)
	}
	return t.take()
}

// askHelpers starts an indirect probe unless one is in progress.
func (t *Table) askHelpers(now time.Time, m *member) {
	if m.link.probe.token != 0 {
		return
	}
	helpers := t.helpers(m)
	if len(helpers) == 0 {
		t.unreached(now, m, m.link.refused)
		return
	}
	m.link.probe = probe{token: t.nextToken(), pending: len(helpers)}
	for _, h := range helpers {
		t.decide(SendProbeRequest{Helper: h.Host, Target: m.Host, Token: m.link.probe.token})
	}
}

// helpers chooses hosts to probe m: from its own data centre, from this one
// and from others in turn, so that one broken path does not decide.
func (t *Table) helpers(m *member) []*member {
	groups := map[model.DataCentre][]*member{}
	var order []model.DataCentre
	for _, h := range t.members {
		if h != m && h.state == Alive && !h.link.down && h.link.failures == 0 {
			if len(groups[h.DataCentre]) == 0 {
				order = append(order, h.DataCentre)
			}
			groups[h.DataCentre] = append(groups[h.DataCentre], h)
		}
	}
	for _, g := range groups {
		slices.SortFunc(g, byID)
	}
	slices.Sort(order)
	slices.SortStableFunc(order, func(a, b model.DataCentre) int { return t.nearness(m, a) - t.nearness(m, b) })
	var chosen []*member
	for len(chosen) < ProbeHelpers && len(order) > 0 {
		dc := order[0]
		i := t.rand.IntN(len(groups[dc]))
		chosen = append(chosen, groups[dc][i])
		groups[dc] = slices.Delete(groups[dc], i, i+1)
		order = order[1:]
		if len(groups[dc]) > 0 {
			order = append(order, dc)
		}
	}
	return chosen
}

func (t *Table) nearness(m *member, dc model.DataCentre) int {
	switch dc {
	case m.DataCentre:
		return 0
	case t.cfg.Self.DataCentre:
		return 1
	}
	return 2
}

// IndirectProbeResult reports what a helper found.
func (t *Table) IndirectProbeResult(now time.Time, target model.HostID, token Token, r ProbeResult) []Decision {
	m, ok := t.members[target]
	if !ok || m.link.probe.token != token || token == 0 {
		return t.take()
	}
	p := &m.link.probe
	p.pending--
	switch r {
	case ProbeReached:
		t.reachedByOthers(now, m)
		return t.take()
	case ProbeFailed:
		p.failed++
	case ProbeRefused:
		p.refused++
	}
	if p.pending == 0 {
		allRefused := m.link.refused && p.failed == 0 && p.refused > 0
		silent := p.failed+p.refused == 0
		m.link.probe = probe{}
		// If no helper answered, the fault may be on this side; the next
		// failed heartbeats ask others.
		if !silent || m.link.failures >= 2*failuresToAsk {
			t.unreached(now, m, allRefused)
		}
	}
	return t.take()
}

// reachedByOthers records a link that fails although its host is up. The host
// stays alive for the fleet.
func (t *Table) reachedByOthers(now time.Time, m *member) {
	t.lastAck = now
	m.link.probe = probe{}
	m.link.failures = failuresToAsk - 1
	m.link.next = now.Add(FarHeartbeatInterval)
	if !m.link.down {
		m.link.down = true
		t.decide(LinkChanged{Host: m.ID, Down: true})
	}
}

// unreached records that nobody reached a host. Refused connections mean that
// no process listens, so nothing is left that could refute.
func (t *Table) unreached(now time.Time, m *member, refused bool) {
	switch {
	case m.state > Suspect && m.state != Leaving:
	case refused, m.state == Leaving && m.link.failures > 2*failuresToAsk:
		t.setState(now, m, Unreachable)
	case m.state == Alive:
		t.setState(now, m, Suspect)
	}
}

func (t *Table) nextToken() Token {
	t.token++
	return t.token
}

// currentPeers returns the hosts that get heartbeats. On each of several rings
// of hashes a host watches its successor, so each host is watched by as many
// as it watches, and news crosses the fleet in about log n steps.
func (t *Table) currentPeers() []*member {
	if !t.peersDirty {
		return t.peers
	}
	t.peersDirty = false
	byDC := map[model.DataCentre][]*member{}
	var dcs []model.HostID
	for _, m := range t.members {
		if m.state == Unreachable || m.state == Gone {
			continue
		}
		if len(byDC[m.DataCentre]) == 0 && m.DataCentre != t.cfg.Self.DataCentre {
			dcs = append(dcs, model.HostID(m.DataCentre))
		}
		byDC[m.DataCentre] = append(byDC[m.DataCentre], m)
	}
	peers := t.successors(nil, byDC[t.cfg.Self.DataCentre], t.cfg.NearPeers)
	limit := len(peers) + MaxFarPeers
	// Each host has its own order of data centres, so that the bound on far
	// peers leaves none of them out for all.
	dcs = ranking.Rank(string(t.cfg.Self.ID), dcs)
	for slot := 1; slot <= t.cfg.FarPeers; slot++ {
		for _, dc := range dcs {
			if len(peers) < limit {
				peers = t.successor(peers, byDC[model.DataCentre(dc)], slot)
			}
		}
	}
	t.peers = peers
	return peers
}

func (t *Table) successors(chosen, from []*member, n int) []*member {
	for slot := 1; slot <= n; slot++ {
		chosen = t.successor(chosen, from, slot)
	}
	return chosen
}

// ringKeys names the rings.
var ringKeys = [...]string{"ring/0", "ring/1", "ring/2", "ring/3", "ring/4", "ring/5", "ring/6", "ring/7"}

// successor adds the host that follows this one on a ring and is not chosen.
func (t *Table) successor(chosen, from []*member, slot int) []*member {
	key := ringKeys[slot%len(ringKeys)]
	own := ranking.Score(key, t.cfg.Self.ID)
	var best *member
	var distance uint64
	for _, m := range from {
		// Unsigned subtraction wraps around the ring.
		d := ranking.Score(key, m.ID) - own
		if (best == nil || d < distance) && !slices.Contains(chosen, m) {
			best, distance = m, d
		}
	}
	if best == nil {
		return chosen
	}
	return append(chosen, best)
}
