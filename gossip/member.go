package gossip

import (
	"net"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
)

const (
	// heartbeatInterval is the longest time between datagrams to a live member.
	heartbeatInterval = 200 * time.Millisecond
	// livenessTimeout is how long a member counts as live after its last datagram.
	livenessTimeout = 700 * time.Millisecond
	// idleInterval is the time between datagrams to members that are not live.
	idleInterval = time.Second
	// stopSendingAfter is how long datagrams are still sent to a member after it was
	// last listed or heard from.
	stopSendingAfter = 60 * time.Second
)

// Host describes a daemon as listed in the registry.
type Host struct {
	ID         model.HostID     `json:"id"`
	DataCentre model.DataCentre `json:"dataCentre"`
	Region     model.Region     `json:"region"`
	// Address is "ip:port" of both its UDP and its TCP listener.
	Address string `json:"address"`
	// Weight determines which host is the relay, the highest first: a relay sends
	// its content to the whole data centre. Zero means unknown.
	Weight uint32 `json:"weight,omitempty"`
}

// candidate is a host that may become a relay. The score is kept, because the hosts are
// compared far more often than they change.
type candidate struct {
	id     model.HostID
	weight uint32
	score  uint64
}

func newCandidate(h Host) candidate {
	return candidate{id: h.ID, weight: h.Weight, score: ranking.Score(relayKey, h.ID)}
}

// precedes reports whether c is preferred to o as relay: by descending weight, and by
// rendezvous hashing among hosts of equal weight.
func (c candidate) precedes(o candidate) bool {
	switch {
	case c.weight != o.weight:
		return c.weight > o.weight
	case c.score != o.score:
		return c.score > o.score
	}
	return c.id < o.id
}

// member is another daemon of the fleet.
type member struct {
	Host
	relayScore   uint64
	udpAddress   *net.UDPAddr
	incarnation  string
	leaving      bool
	storeFailing bool
	// reading is set while the member receives content from the store, settling while it
	// has just started.
	reading, settling bool
	// contentAge is the age of the member's content at lastReceived; negative without.
	contentAge   time.Duration
	lastReceived time.Time
	// lastDirect is when a datagram last came from the member itself rather than from
	// the hub.
	lastDirect time.Time
	lastAdded  time.Time
	lastSent   time.Time
	// noPermitsUntil is until when the member is asked for no permits, because it did
	// not reply to the last permitFailures requests.
	noPermitsUntil time.Time
	permitFailures int
	// lastLeavingList is when the member was last sent the list of leaving servers.
	// leavingDiffered is set if its last message had another digest of them.
	lastLeavingList time.Time
	leavingDiffered bool
	// noQuotaUntil and quotaFailures are the same for admissions. quotaFailedAt is when the
	// last failure was counted.
	noQuotaUntil  time.Time
	quotaFailures int
	quotaFailedAt time.Time
}

// candidate returns the member as a possible relay.
func (m *member) candidate() candidate {
	return candidate{id: m.ID, weight: m.Weight, score: m.relayScore}
}

func (m *member) live(now time.Time) bool {
	return !m.leaving && !m.lastReceived.IsZero() && now.Sub(m.lastReceived) < livenessTimeout
}

// due reports whether the member is to be sent a datagram even if it carries only
// a heartbeat.
func (m *member) due(now time.Time) bool {
	if m.live(now) {
		return now.Sub(m.lastSent) >= heartbeatInterval
	}
	return m.current(now) && now.Sub(m.lastSent) >= idleInterval
}

// current reports whether the member was listed or heard from lately.
func (m *member) current(now time.Time) bool {
	last := m.lastAdded
	if m.lastReceived.After(last) {
		last = m.lastReceived
	}
	return now.Sub(last) < stopSendingAfter
}

// memberTable holds the members; guarded by Gossiper.mu. The members of one data centre
// are needed for each datagram, those of others seldom.
type memberTable struct {
	byID         map[model.HostID]*member
	byDataCentre map[model.DataCentre][]*member
}

func newMemberTable() memberTable {
	return memberTable{byID: map[model.HostID]*member{}, byDataCentre: map[model.DataCentre][]*member{}}
}

// add adds a listed member, or updates its weight. Another address than that of a
// live member is ignored: the list may be older than the member's datagrams.
func (t memberTable) add(h Host, now time.Time) (*member, error) {
	m, ok := t.byID[h.ID]
	if ok && (m.Address == h.Address || m.live(now)) {
		m.lastAdded = now
		m.Weight = max(m.Weight, h.Weight)
		return m, nil
	}
	return t.put(h, now)
}

// hear returns the member that a datagram came from. A member with a new address
// keeps its incarnation, so that its restart is noticed.
func (t memberTable) hear(h Host, now time.Time) (*member, error) {
	m, ok := t.byID[h.ID]
	if !ok {
		return t.put(h, now)
	}
	m.lastAdded = now
	m.Weight = max(m.Weight, h.Weight)
	if m.Address == h.Address {
		return m, nil
	}
	udpAddress, err := net.ResolveUDPAddr("udp4", h.Address)
	if err != nil {
		return nil, err
	}
	m.Address, m.udpAddress = h.Address, udpAddress
	return m, nil
}

func (t memberTable) put(h Host, now time.Time) (*member, error) {
	udpAddress, err := net.ResolveUDPAddr("udp4", h.Address)
	if err != nil {
		return nil, err
	}
	m := &member{Host: h, relayScore: ranking.Score(relayKey, h.ID), udpAddress: udpAddress, lastAdded: now}
	t.insert(m)
	return m, nil
}

// insert adds a member in place of an earlier one with the same ID.
func (t memberTable) insert(m *member) {
	if old, ok := t.byID[m.ID]; ok {
		t.byDataCentre[old.DataCentre] = slices.DeleteFunc(t.byDataCentre[old.DataCentre], func(x *member) bool { return x == old })
	}
	t.byID[m.ID] = m
	t.byDataCentre[m.DataCentre] = append(t.byDataCentre[m.DataCentre], m)
}

// followingClass orders daemons by whether they follow the store if they are the relay:
// those whose calls of the store fail come last, those that have just started before
// them.
func followingClass(storeFailing, settling bool) int {
	switch {
	case storeFailing:
		return 2
	case settling:
		return 1
	}
	return 0
}

// rank returns the position of self among the live members of its data centre, by
// followingClass and then by precedence. A daemon that is leaving comes after all others.
func (t memberTable) rank(self Host, state State, now time.Time) (rank int) {
	if state.Leaving {
		return len(t.byID)
	}
	own, ownClass := newCandidate(self), followingClass(state.StoreFailing, state.Settling)
	for _, m := range t.byDataCentre[self.DataCentre] {
		if !m.live(now) {
			continue
		}
		class := followingClass(m.storeFailing, m.settling)
		if class < ownClass || (class == ownClass && m.candidate().precedes(own)) {
			rank++
		}
	}
	return rank
}

// dataCentres returns the data centres of the members in a region.
func (t memberTable) dataCentres(r model.Region) []model.DataCentre {
	var found []model.DataCentre
	for dc, members := range t.byDataCentre {
		if len(members) > 0 && members[0].Region == r {
			found = append(found, dc)
		}
	}
	return found
}

// relayKey is the ranking key of the relay.
const relayKey = "relay"

// relays returns the n members of another data centre that are most likely its
// relay.
func (t memberTable) relays(dc model.DataCentre, n int) []*member {
	var list []*member
	for _, m := range t.byDataCentre[dc] {
		if !m.leaving {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int {
		if a.candidate().precedes(b.candidate()) {
			return -1
		}
		return 1
	})
	return list[:min(n, len(list))]
}
