package gossip

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
)

const (
	// heartbeatInterval is the longest time without a datagram to a live member.
	heartbeatInterval = 200 * time.Millisecond
	// liveFor is how long a member counts as live after its last datagram.
	liveFor = 700 * time.Millisecond
	// idleInterval is the time between datagrams to members that are not live.
	idleInterval = time.Second
	// forgetAfter is how long a member that was never or not lately heard is
	// still sent to.
	forgetAfter = 60 * time.Second
)

// Host describes a daemon as the registry knows it.
type Host struct {
	ID         model.HostID     `json:"id"`
	DataCentre model.DataCentre `json:"dataCentre"`
	Region     model.Region     `json:"region"`
	// Address is "ip:port" of both its UDP and its TCP listener.
	Address string `json:"address"`
	// Weight orders hosts as relays, the highest first: a relay sends its content
	// to the whole data centre. Zero: not known.
	Weight uint32 `json:"weight,omitempty"`
}

// member is another daemon of the fleet.
type member struct {
	Host
	udp         *net.UDPAddr
	incarnation string
	leaving     bool
	heard       time.Time
	known       time.Time
	sent        time.Time
}

func (m *member) live(now time.Time) bool {
	return !m.leaving && !m.heard.IsZero() && now.Sub(m.heard) < liveFor
}

// due reports whether the member gets a datagram that carries only a heartbeat.
func (m *member) due(now time.Time) bool {
	if m.live(now) {
		return now.Sub(m.sent) >= heartbeatInterval
	}
	last := m.known
	if m.heard.After(last) {
		last = m.heard
	}
	return now.Sub(last) < forgetAfter && now.Sub(m.sent) >= idleInterval
}

// table holds the members by ID; guarded by Gossiper.mu.
type table map[model.HostID]*member

func (t table) add(h Host, now time.Time) (*member, error) {
	m, ok := t[h.ID]
	if ok && m.Address == h.Address {
		m.known = now
		m.Weight = max(m.Weight, h.Weight)
		return m, nil
	}
	udp, err := net.ResolveUDPAddr("udp4", h.Address)
	if err != nil {
		return nil, err
	}
	m = &member{Host: h, udp: udp, known: now}
	t[h.ID] = m
	return m, nil
}

// rank returns the position of self among the live members of its data centre.
func (t table) rank(self Host, leaving bool, now time.Time) int {
	if leaving {
		return len(t)
	}
	hosts := []Host{self}
	for _, m := range t {
		if m.DataCentre == self.DataCentre && m.live(now) {
			hosts = append(hosts, m.Host)
		}
	}
	return slices.Index(byDuty(hosts), self.ID)
}

// byDuty orders hosts as relays: by weight, those of equal weight by rendezvous
// hashing.
func byDuty(hosts []Host) []model.HostID {
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

// relays returns the likely relays of another data centre.
func (t table) relays(dc model.DataCentre, n int) []*member {
	var hosts []Host
	for _, m := range t {
		if m.DataCentre == dc && !m.leaving {
			hosts = append(hosts, m.Host)
		}
	}
	ranked := byDuty(hosts)
	var out []*member
	for _, h := range ranked[:min(n, len(ranked))] {
		out = append(out, t[h])
	}
	return out
}
