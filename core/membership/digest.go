package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateusher/agateusher/core/model"
)

// expediteHeartbeats brings the next heartbeat to each peer forward to now, or to
// minHeartbeatGap after the last one if that is later.
func (t *Table) expediteHeartbeats(now time.Time) {
	for _, m := range t.currentPeers() {
		if at := maxTime(now, m.link.lastHeartbeat.Add(minHeartbeatGap)); at.Before(m.link.nextHeartbeat) {
			m.link.nextHeartbeat = at
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *Table) sendDueHeartbeats(now time.Time) {
	for _, m := range t.currentPeers() {
		if m.link.inFlight == 0 && !now.Before(m.link.nextHeartbeat) {
			t.sendHeartbeat(now, m)
		}
	}
}

func (t *Table) sendHeartbeat(now time.Time, m *member) {
	m.link.inFlight = t.nextToken()
	m.link.lastHeartbeat = now
	m.link.nextHeartbeat = now.Add(t.heartbeatInterval(m))
	msg := t.message(now, m, !m.link.infoSent)
	if t.hashDue(now, m) {
		msg.Hashes = t.hashes()
	}
	t.emit(SendHeartbeat{To: m.Host, Token: m.link.inFlight, Message: msg})
}

// heartbeatInterval returns the time to the next heartbeat to a host. A jitter of
// 5% either way keeps hosts that started together from sending at the same time.
func (t *Table) heartbeatInterval(m *member) time.Duration {
	d := NearHeartbeatInterval
	if m.state == Suspect {
		return d // also to a far host, so that a suspect can refute in time
	}
	if m.DataCentre != t.cfg.Self.DataCentre || m.link.down {
		d = FarHeartbeatInterval
	}
	return d - d/20 + time.Duration(t.rand.Int64N(int64(d/10)))
}

// message builds a heartbeat or answer. to is nil if the receiver is unknown.
func (t *Table) message(now time.Time, to *member, info bool) Message {
	m := Message{From: t.selfUpdate(), Epoch: t.epoch}
	if info || to == nil {
		m.From.Info = &t.cfg.Self.Info
	}
	// Always tell a host that it is suspect or unreachable, so that it can refute.
	if to != nil && (to.state == Suspect || to.state == Unreachable) {
		m.Updates = append(m.Updates, t.update(to, false))
	}
	m.Updates = t.queuedUpdates(now, m.Updates, to)
	m.KeySuccessors = t.queuedKeySuccessors(now)
	return m
}

// maxTransmissions returns how often one change is sent: about twice the binary
// logarithm of the number of hosts, as usual for epidemic broadcast.
func (t *Table) maxTransmissions() int { return 2 * bits.Len(uint(len(t.members)+1)) }

func (t *Table) queuedUpdates(now time.Time, list []Update, to *member) []Update {
	for _, id := range leastSent(t.updateQueue, min(MaxUpdates-len(list), t.refillUpdateBudget(now))) {
		if to != nil && id == to.ID {
			continue
		}
		t.updateBudget--
		if id != t.cfg.Self.ID {
			m := t.members[id]
			list = append(list, t.update(m, m.announceInfo && now.Sub(m.startSeenAt) < maxListLag))
		}
		countSent(t.updateQueue, id, t.maxTransmissions())
	}
	return list
}

// refillUpdateBudget adds the budget earned since the last call and returns how
// many updates may be sent now. Hosts of other data centres choose their peers
// independently, so some hosts exchange more heartbeats than others. The rate
// bounds their bytes while many hosts change at once.
func (t *Table) refillUpdateBudget(now time.Time) int {
	t.updateBudget = min(updateBurst, t.updateBudget+updateRate*now.Sub(t.updateBudgetAt).Seconds())
	t.updateBudgetAt = now
	return int(t.updateBudget)
}

func (t *Table) queuedKeySuccessors(now time.Time) []KeySuccessor {
	var list []KeySuccessor
	for _, i := range leastSent(t.keySuccessorQueue, MaxKeySuccessors) {
		list = append(list, t.keySuccessors[i].withRemaining(now))
		countSent(t.keySuccessorQueue, i, t.maxTransmissions())
	}
	return list
}

// withRemaining returns the key successor with the lifetime that remains at now.
func (n heldKeySuccessor) withRemaining(now time.Time) KeySuccessor {
	x := n.KeySuccessor
	x.RemainingMs = n.expiry.Sub(now).Milliseconds()
	return x
}

func (t *Table) update(m *member, info bool) Update {
	u := Update{Host: m.ID, Incarnation: m.incarnation, Version: m.version, State: m.state}
	if info {
		copied := m.Info
		u.Info = &copied
	}
	return u
}

// leastSent returns up to n keys of a queue, those with the fewest transmissions
// first.
func leastSent[K cmp.Ordered](queue map[K]int, n int) []K {
	keys := make([]K, 0, len(queue))
	for k := range queue {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int { return cmp.Or(cmp.Compare(queue[a], queue[b]), cmp.Compare(a, b)) })
	return keys[:min(n, len(keys))]
}

// countSent counts a transmission and drops the key from the queue at the limit.
func countSent[K cmp.Ordered](queue map[K]int, k K, limit int) {
	queue[k]++
	if queue[k] >= limit {
		delete(queue, k)
	}
}

// hashDue reports whether a heartbeat to m carries the hashes. One heartbeat per
// hashInterval does, to each peer in turn.
func (t *Table) hashDue(now time.Time, m *member) bool {
	peers := t.currentPeers()
	if now.Before(t.nextHash) || len(peers) == 0 || peers[t.nextHashPeer%len(peers)] != m {
		return false
	}
	t.nextHashPeer++
	t.nextHash = now.Add(hashInterval)
	return true
}

// hashes returns one hash per section. Gone hosts are left out, because hosts
// drop them at different times.
func (t *Table) hashes() map[string]uint64 {
	h := map[string]uint64{string(t.cfg.Self.DataCentre): hashOf(t.selfUpdate())}
	for _, m := range t.members {
		if m.state != Gone {
			h[string(m.DataCentre)] ^= hashOf(t.update(m, false))
		}
	}
	for i, n := range t.keySuccessors {
		h[KeySuccessorsSection] ^= xxhash.Sum64String(string(i) + "/" + string(n.Successor))
	}
	return h
}

func hashOf(u Update) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(u.Host))
	for _, x := range []uint64{u.Start, u.Counter, uint64(u.State)} {
		for range 8 {
			_, _ = d.Write([]byte{byte(x)})
			x >>= 8
		}
	}
	return d.Sum64()
}

// compareHashes requests a page of a section whose hash differs from the sender's.
// The section is chosen at random, so that one that keeps differing does not block
// the others.
func (t *Table) compareHashes(from *member, remote map[string]uint64) {
	local := t.hashes()
	var differ []string
	for s, h := range remote {
		if local[s] != h {
			differ = append(differ, s)
		}
	}
	for s := range local {
		if _, ok := remote[s]; !ok {
			differ = append(differ, s)
		}
	}
	if len(differ) > 0 {
		slices.Sort(differ)
		t.syncSection(from, differ[t.rand.IntN(len(differ))])
	}
}

func (t *Table) syncSection(with *member, section string) {
	t.emit(Sync{With: with.Host, Page: t.page(t.lastTick, section, t.pageCursors[section])})
}

// Exchange applies a page received from another host and returns this host's page
// of the same section.
func (t *Table) Exchange(now time.Time, p Page) (Page, []Decision) {
	answer := t.page(now, p.Section, p.After)
	t.mergePage(now, p)
	return answer, t.takeDecisions()
}

// SyncAnswered applies the page received in answer to a Sync. During the join
// period it requests the next page at once.
func (t *Table) SyncAnswered(now time.Time, with model.HostID, p Page) []Decision {
	t.mergePage(now, p)
	t.pageCursors[p.Section] = p.Next
	if m, ok := t.members[with]; ok && p.Next != "" && now.Sub(t.startedAt) < joinPeriod {
		t.syncSection(m, p.Section)
	}
	return t.takeDecisions()
}

func (t *Table) mergePage(now time.Time, p Page) {
	for _, u := range p.Updates[:min(len(p.Updates), PageSize)] {
		t.apply(now, u)
	}
	for _, n := range p.KeySuccessors[:min(len(p.KeySuccessors), PageSize)] {
		t.applyKeySuccessor(now, n)
	}
}

func (t *Table) page(now time.Time, section, after string) Page {
	p := Page{Section: section, After: after}
	if section == KeySuccessorsSection {
		keys, more := pageOf(t.keySuccessors, after, func(heldKeySuccessor) bool { return true })
		for _, i := range keys {
			p.KeySuccessors = append(p.KeySuccessors, t.keySuccessors[i].withRemaining(now))
		}
		if more {
			p.Next = string(keys[len(keys)-1])
		}
		return p
	}
	keys, more := pageOf(t.members, after, func(m *member) bool { return string(m.DataCentre) == section })
	for _, id := range keys {
		p.Updates = append(p.Updates, t.update(t.members[id], t.members[id].announceInfo))
	}
	if more {
		p.Next = string(keys[len(keys)-1])
	}
	return p
}

// pageOf returns the first PageSize matching keys after the given one, in order,
// and whether more follow.
func pageOf[K ~string, V any](all map[K]V, after string, want func(V) bool) (keys []K, more bool) {
	for k, v := range all {
		if string(k) > after && want(v) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	if len(keys) > PageSize {
		return keys[:PageSize], true
	}
	return keys, false
}
