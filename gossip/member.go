package gossip

import (
	"cmp"
	"maps"
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

// member is another daemon of the fleet.
type member struct {
	Host
	udpAddress   *net.UDPAddr
	incarnation  string
	leaving      bool
	storeFailing bool
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
	last := m.lastAdded
	if m.lastReceived.After(last) {
		last = m.lastReceived
	}
	return now.Sub(last) < stopSendingAfter && now.Sub(m.lastSent) >= idleInterval
}

// memberTable holds the members by ID; guarded by Gossiper.mu.
type memberTable map[model.HostID]*member

// add adds a listed member, or updates its weight. Another address than that of a
// live member is ignored: the list may be older than the member's datagrams.
func (t memberTable) add(h Host, now time.Time) (*member, error) {
	m, ok := t[h.ID]
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
	m, ok := t[h.ID]
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
	m := &member{Host: h, udpAddress: udpAddress, lastAdded: now}
	t[h.ID] = m
	return m, nil
}

// rank returns the position of self among the live members of its data centre. A
// daemon that is leaving comes after all others, and daemons whose calls of the
// store fail come after those whose calls succeed.
func (t memberTable) rank(self Host, state State, now time.Time) int {
	if state.Leaving {
		return len(t)
	}
	var sound, failing []Host
	place := func(h Host, storeFailing bool) {
		if storeFailing {
			failing = append(failing, h)
		} else {
			sound = append(sound, h)
		}
	}
	place(self, state.StoreFailing)
	for _, m := range t {
		if m.DataCentre == self.DataCentre && m.live(now) {
			place(m.Host, m.storeFailing)
		}
	}
	return slices.Index(append(relayOrder(sound), relayOrder(failing)...), self.ID)
}

// dataCentres returns the data centres of the members in a region.
func (t memberTable) dataCentres(r model.Region) []model.DataCentre {
	seen := map[model.DataCentre]bool{}
	for _, m := range t {
		if m.Region == r {
			seen[m.DataCentre] = true
		}
	}
	return slices.Collect(maps.Keys(seen))
}

// relayOrder orders hosts by preference as relay: by descending weight, and by
// rendezvous hashing among hosts of equal weight.
func relayOrder(hosts []Host) []model.HostID {
	weights := make(map[model.HostID]uint32, len(hosts))
	ids := make([]model.HostID, 0, len(hosts))
	for _, h := range hosts {
		weights[h.ID] = h.Weight
		ids = append(ids, h.ID)
	}
	ranked := ranking.Rank(relayKey, ids)
	slices.SortStableFunc(ranked, func(a, b model.HostID) int { return cmp.Compare(weights[b], weights[a]) })
	return ranked
}

// relayKey is the ranking key of the relay.
const relayKey = "relay"

// relays returns the n members of another data centre that are most likely its
// relay.
func (t memberTable) relays(dc model.DataCentre, n int) []*member {
	var hosts []Host
	for _, m := range t {
		if m.DataCentre == dc && !m.leaving {
			hosts = append(hosts, m.Host)
		}
	}
	ranked := relayOrder(hosts)
	var out []*member
	for _, h := range ranked[:min(n, len(ranked))] {
		out = append(out, t[h])
	}
	return out
}
