package membership

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
)

// HeartbeatFailed reports a heartbeat without an answer. refused means that the
// target's host refused the connection.
func (t *Table) HeartbeatFailed(now time.Time, to model.HostID, token Token, refused bool) []Decision {
	m, ok := t.members[to]
	if !ok || m.link.inFlight != token {
		return t.takeDecisions()
	}
	m.link.inFlight = 0
	m.link.failures++
	m.link.refused = refused
	m.link.infoSent = false
	if m.state > Suspect && m.state != Leaving {
		return t.takeDecisions()
	}
	if refused || m.link.failures >= failuresBeforeProbe {
		t.startIndirectProbe(now, m)
	} else {
		m.link.nextHeartbeat = now.Add(minHeartbeatGap)
	}
	return t.takeDecisions()
}

// startIndirectProbe asks helpers to probe m, unless a probe is in progress. Without
// helpers this host's own result decides.
func (t *Table) startIndirectProbe(now time.Time, m *member) {
	if m.link.probe.token != 0 {
		return
	}
	helpers := t.chooseHelpers(m)
	if len(helpers) == 0 {
		t.applyUnreached(now, m, m.link.refused)
		return
	}
	m.link.probe = probe{token: t.nextToken(), pending: len(helpers)}
	for _, h := range helpers {
		t.emit(SendProbeRequest{Helper: h.Host, Target: m.Host, Token: m.link.probe.token})
	}
}

// chooseHelpers chooses hosts to probe m, in turn from m's data centre, from this
// host's and from others, so that the result does not depend on a single path.
func (t *Table) chooseHelpers(m *member) []*member {
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

// nearness ranks a data centre for the choice of helpers; lower is better.
func (t *Table) nearness(m *member, dc model.DataCentre) int {
	switch dc {
	case m.DataCentre:
		return 0
	case t.cfg.Self.DataCentre:
		return 1
	}
	return 2
}

// IndirectProbeResult reports the result of a helper's probe.
func (t *Table) IndirectProbeResult(now time.Time, target model.HostID, token Token, r ProbeResult) []Decision {
	m, ok := t.members[target]
	if !ok || m.link.probe.token != token || token == 0 {
		return t.takeDecisions()
	}
	p := &m.link.probe
	p.pending--
	switch r {
	case ProbeReached:
		t.markLinkDown(now, m)
		return t.takeDecisions()
	case ProbeFailed:
		p.failed++
	case ProbeRefused:
		p.refused++
	}
	if p.pending == 0 {
		allRefused := m.link.refused && p.failed == 0 && p.refused > 0
		silent := p.failed+p.refused == 0
		m.link.probe = probe{}
		// If no helper answered, the fault may be on this host's side. The next
		// failed heartbeats ask other helpers.
		if !silent || m.link.failures >= 2*failuresBeforeProbe {
			t.applyUnreached(now, m, allRefused)
		}
	}
	return t.takeDecisions()
}

// markLinkDown records that this host cannot reach a host that others reach. Its
// state in the fleet does not change.
func (t *Table) markLinkDown(now time.Time, m *member) {
	t.lastAck = now
	m.link.probe = probe{}
	m.link.failures = failuresBeforeProbe - 1
	m.link.nextHeartbeat = now.Add(FarHeartbeatInterval)
	if !m.link.down {
		m.link.down = true
		t.emit(LinkChanged{Host: m.ID, Down: true})
	}
}

// applyUnreached changes the state of a host that neither this host nor a helper
// reached. If its connections were refused, no process listens there that could
// refute a suspicion, so the host becomes unreachable at once.
func (t *Table) applyUnreached(now time.Time, m *member, refused bool) {
	switch {
	case m.state > Suspect && m.state != Leaving:
	case refused, m.state == Leaving && m.link.failures > 2*failuresBeforeProbe:
		t.setState(now, m, Unreachable)
	case m.state == Alive:
		t.setState(now, m, Suspect)
	}
}

func (t *Table) nextToken() Token {
	t.token++
	return t.token
}

// currentPeers returns the hosts that heartbeats are sent to. On each of several
// hash rings a host monitors its successor. Each host is thus monitored by as many
// hosts as it monitors, and a change crosses a fleet of n hosts in about log n
// steps.
func (t *Table) currentPeers() []*member {
	if !t.peersDirty {
		return t.peers
	}
	t.peersDirty = false
	byDC := map[model.DataCentre][]*member{}
	var dcs []model.HostID // names of the other data centres, in the type that ranking.Rank takes
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
	// Each host has its own order of data centres, so that the bound on far peers
	// does not exclude the same data centre on all hosts.
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

// successors adds up to n hosts, one from each of the rings in turn.
func (t *Table) successors(chosen, from []*member, n int) []*member {
	for slot := 1; slot <= n; slot++ {
		chosen = t.successor(chosen, from, slot)
	}
	return chosen
}

// ringKeys holds the hash keys of the rings.
var ringKeys = [...]string{"ring/0", "ring/1", "ring/2", "ring/3", "ring/4", "ring/5", "ring/6", "ring/7"}

// successor adds the next host after this one on a ring that is not yet chosen.
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
