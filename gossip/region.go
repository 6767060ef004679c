package gossip

import (
	"net"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
)

const (
	// claimLifetime is how long a daemon counts as the region's relay after it last
	// said so. It covers the loss of two messages in a row.
	claimLifetime = 950 * time.Millisecond
	// digestRelays is how many daemons of each other data centre a digest is
	// sent to, and digestRelaysSilent how many while its relay is not heard, because
	// those that are listed first may not run.
	digestRelays       = 2
	digestRelaysSilent = 6
)

// Role is this daemon's part in following the store.
type Role struct {
	// Rank is this daemon's position among the live daemons of its data centre;
	// zero is the data centre's relay.
	Rank int
	// Order is the number of known data centres of the region whose relays are
	// preferred to that of this daemon's own.
	Order int
	// RegionRelay is set if this daemon follows the store for the whole region. No
	// more than one daemon does so while all hear each other and the store serves
	// them; several cost calls, but do no harm. While the store fails, the relay of
	// each data centre tries.
	RegionRelay bool
	Neighbours
}

// Role returns this daemon's role.
func (g *Gossiper) Role() Role {
	state, now := g.handler.State(), time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	r := Role{Rank: g.members.rank(g.self, state, now), Neighbours: g.neighbours(now)}
	claimed := false
	for _, dc := range g.members.dataCentres(g.self.Region) {
		preferred := precedes(dc, g.self.DataCentre)
		if preferred {
			r.Order++
		}
		c := g.claims[dc]
		if dc == g.self.DataCentre || now.Sub(c.at) >= claimLifetime {
			continue
		}
		// Only daemons that the store serves claim the role.
		own, other := followingClass(state.StoreFailing, state.Settling), followingClass(false, c.settling)
		claimed = claimed || other < own || (preferred && other == own)
	}
	r.RegionRelay = r.Rank == 0 && !claimed
	return r
}

// regionRelayKey is the ranking key of the data centre whose relay follows the store
// for its region.
const regionRelayKey = "region-relay"

// precedes reports whether the relay of a is preferred to that of b as the region's.
func precedes(a, b model.DataCentre) bool {
	return ranking.Rank(regionRelayKey, []model.HostID{model.HostID(a), model.HostID(b)})[0] == model.HostID(a) && a != b
}

// sendDigest sends this data centre's loads to the other data centres of the
// region, if this daemon is the relay.
func (g *Gossiper) sendDigest() {
	if g.Role().Rank != 0 {
		return
	}
	loads := g.handler.LocalLoads()
	if len(loads) == 0 {
		return
	}
	m := g.message()
	m.Loads, m.Quota = loads, nil
	g.write(m, g.relaysElsewhere())
}

// sendClaim sends this daemon's versions to the relays of the region's other data
// centres, if this daemon is the region's relay. Other regions have relays of their
// own, because bytes between regions cost more than calls of the store.
func (g *Gossiper) sendClaim() {
	m := g.message()
	if m.StoreFailing || !g.Role().RegionRelay {
		return
	}
	m.Outstanding, m.Quota, m.RegionRelay, m.Reading = nil, nil, true, g.handler.State().Reading
	g.write(m, g.relaysElsewhere())
}

// relaysElsewhere returns the addresses of the likely relays of each other data
// centre of the region.
func (g *Gossiper) relaysElsewhere() (to []*net.UDPAddr) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, dc := range g.members.dataCentres(g.self.Region) {
		if dc != g.self.DataCentre {
			to = append(to, g.relaysOf(dc, now)...)
		}
	}
	return to
}

// handleRemote handles a message from another data centre.
func (g *Gossiper) handleRemote(m *gen.Gossip, from *net.UDPAddr) {
	dc := model.DataCentre(m.DataCentre)
	if len(m.Loads) > 0 || m.RegionRelay {
		g.recordRemoteRelay(dc, from)
	}
	if len(m.Loads) > 0 {
		g.handler.RemoteLoads(dc, m.Loads)
		// A digest is sent to only some daemons of a data centre.
		g.forward(m)
	}
	g.handleLeaving(m, from)
	if !m.RegionRelay {
		return
	}
	g.mu.Lock()
	g.claims[dc] = claim{at: time.Now(), reading: m.Reading, settling: m.Settling}
	g.mu.Unlock()
	g.handler.PeerState(Host{ID: model.HostID(m.Host), DataCentre: dc, Region: model.Region(m.Region), Address: from.String()}, stateOf(m))
}

// forward sends a digest of another data centre to the live daemons of this one.
// The message has no incarnation, so that it does not count as a heartbeat.
func (g *Gossiper) forward(m *gen.Gossip) {
	g.broadcastLive(&gen.Gossip{Host: string(g.self.ID), DataCentre: string(g.self.DataCentre), Loads: m.Loads, LoadsFrom: m.DataCentre})
}
