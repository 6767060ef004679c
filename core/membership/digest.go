package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateusher/agateusher/core/model"
)

// urgent lets the next heartbeats leave early.
func (t *Table) urgent(now time.Time) {
	for _, m := range t.currentPeers() {
		if at := maxTime(now, m.link.last.Add(urgentGap)); at.Before(m.link.next) {
			m.link.next = at
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// beat sends the heartbeats that are due.
func (t *Table) beat(now time.Time) {
	for _, m := range t.currentPeers() {
		if m.link.inFlight == 0 && !now.Before(m.link.next) {
			t.send(now, m)
		}
	}
}

func (t *Table) send(now time.Time, m *member) {
	m.link.inFlight = t.nextToken()
	m.link.last = now
	m.link.next = now.Add(t.interval(m))
	msg := t.message(now, m, !m.link.infoSent)
	if t.hashDue(now, m) {
		msg.Hashes = t.hashes()
	}
	t.decide(SendHeartbeat{To: m.Host, Token: m.link.inFlight, Message: msg})
}

// interval returns the time to the next heartbeat, spread by a tenth so that
// hosts that started together do not send together.
func (t *Table) interval(m *member) time.Duration {
	d := NearHeartbeatInterval
	if m.state == Suspect {
		return d // it must be able to refute in time
	}
	if m.DataCentre != t.cfg.Self.DataCentre || m.link.down {
		d = FarHeartbeatInterval
	}
	return d - d/20 + time.Duration(t.rand.Int64N(int64(d/10)))
}

// message builds a heartbeat or answer for a host, nil if it is unknown.
func (t *Table) message(now time.Time, to *member, info bool) Message {
	m := Message{From: t.selfUpdate(), Epoch: t.epoch}
	if info || to == nil {
		m.From.Info = &t.cfg.Self.Info
	}
	// A host always hears what is said against it, so that it can refute.
	if to != nil && (to.state == Suspect || to.state == Unreachable) {
		m.Updates = append(m.Updates, t.update(to, false))
	}
	m.Updates = t.freshUpdates(now, m.Updates, to)
	m.KeySuccessors = t.queuedKeySuccessors(now)
	return m
}

// retransmissions bounds how often one change is sent, about twice the
// logarithm of the number of hosts, as usual for epidemic broadcast.
func (t *Table) retransmissions() int { return 2 * bits.Len(uint(len(t.members)+1)) }

func (t *Table) freshUpdates(now time.Time, list []Update, to *member) []Update {
	for _, id := range leastSent(t.queue, min(MaxUpdates-len(list), t.allowance(now))) {
		if to != nil && id == to.ID {
			continue
		}
		t.allowed--
		if id != t.cfg.Self.ID {
			m := t.members[id]
			list = append(list, t.update(m, m.infoNews && now.Sub(m.started) < listLag))
		}
		countSent(t.queue, id, t.retransmissions())
	}
	return list
}

// allowance returns how many updates may be sent now. Hosts of other data
// centres choose their peers independently, so some get more heartbeats than
// others; the rate bounds their bytes while many hosts change at once.
func (t *Table) allowance(now time.Time) int {
	t.allowed = min(updateBurst, t.allowed+updateRate*now.Sub(t.allowedAt).Seconds())
	t.allowedAt = now
	return int(t.allowed)
}

func (t *Table) queuedKeySuccessors(now time.Time) []KeySuccessor {
	var list []KeySuccessor
	for _, i := range leastSent(t.keySuccessorQueue, MaxKeySuccessors) {
		list = append(list, t.keySuccessors[i].withRemaining(now))
		countSent(t.keySuccessorQueue, i, t.retransmissions())
	}
	return list
}

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

func leastSent[K cmp.Ordered](queue map[K]int, n int) []K {
	keys := make([]K, 0, len(queue))
	for k := range queue {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int { return cmp.Or(cmp.Compare(queue[a], queue[b]), cmp.Compare(a, b)) })
	return keys[:min(n, len(keys))]
}

func countSent[K cmp.Ordered](queue map[K]int, k K, limit int) {
	queue[k]++
	if queue[k] >= limit {
		delete(queue, k)
	}
}

// hashDue says whether this heartbeat carries the hashes: one each
// hashInterval, to the peers in turn.
func (t *Table) hashDue(now time.Time, m *member) bool {
	peers := t.currentPeers()
	if now.Before(t.nextHash) || len(peers) == 0 || peers[t.hashPeer%len(peers)] != m {
		return false
	}
	t.hashPeer++
	t.nextHash = now.Add(hashInterval)
	return true
}

// hashes returns one hash per section. Gone hosts are left out, since hosts
// forget them at different times.
func (t *Table) hashes() map[string]uint64 {
	h := map[string]uint64{string(t.cfg.Self.DataCentre): digestOf(t.selfUpdate())}
	for _, m := range t.members {
		if m.state != Gone {
			h[string(m.DataCentre)] ^= digestOf(t.update(m, false))
		}
	}
	for i, n := range t.keySuccessors {
		h[KeySuccessorsSection] ^= xxhash.Sum64String(string(i) + "/" + string(n.Successor))
	}
	return h
}

func digestOf(u Update) uint64 {
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

// compare asks for a page of the first section that differs, in an order that
// changes, so that one section that stays different does not hide the others.
func (t *Table) compare(from *member, theirs map[string]uint64) {
	ours := t.hashes()
	var differ []string
	for s, h := range theirs {
		if ours[s] != h {
			differ = append(differ, s)
		}
	}
	for s := range ours {
		if _, ok := theirs[s]; !ok {
			differ = append(differ, s)
		}
	}
	if len(differ) > 0 {
		slices.Sort(differ)
		t.sync(from, differ[t.rand.IntN(len(differ))])
	}
}

func (t *Table) sync(with *member, section string) {
	t.decide(Sync{With: with.Host, Page: t.page(t.lastTick, section, t.cursors[section])})
}

// Exchange answers another host's page with the own one.
func (t *Table) Exchange(now time.Time, p Page) (Page, []Decision) {
	answer := t.page(now, p.Section, p.After)
	t.mergePage(now, p)
	return answer, t.take()
}

// SyncAnswered takes over the answer to a page. While this host is new, it
// goes on with the next page at once.
func (t *Table) SyncAnswered(now time.Time, with model.HostID, p Page) []Decision {
	t.mergePage(now, p)
	t.cursors[p.Section] = p.Next
	if m, ok := t.members[with]; ok && p.Next != "" && now.Sub(t.startedAt) < joinPeriod {
		t.sync(m, p.Section)
	}
	return t.take()
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
		p.Updates = append(p.Updates, t.update(t.members[id], t.members[id].infoNews))
	}
	if more {
		p.Next = string(keys[len(keys)-1])
	}
	return p
}

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
