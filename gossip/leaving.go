package gossip

import (
	"net"
	"time"

	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
)

const (
	// leavingReplyInterval is the least time between two lists of leaving servers to the
	// same daemon.
	leavingReplyInterval = 400 * time.Millisecond
	// leavingProbeInterval is the least time between comparisons with daemons of other
	// regions. It is longer the longer the newest leaving server has been known:
	// bytes between regions are the most expensive ones.
	leavingProbeInterval = 2 * time.Second
	// leavingProbeShare of the age of the newest entry is the time between comparisons.
	leavingProbeShare = 0.1
)

// AnnounceLeaving tells all other daemons at once that servers are leaving: those of this
// data centre directly, those of others through two daemons of each. Lost datagrams are
// made up for by the comparison of digests.
func (g *Gossiper) AnnounceLeaving(list []*gen.LeavingServer) {
	g.announceLeavingHere(list)
	m := g.remoteLeaving(list)
	g.mu.Lock()
	var to []*net.UDPAddr
	for dc := range g.members.byDataCentre {
		to = append(to, g.relayAddresses(dc, digestRelays)...)
	}
	g.mu.Unlock()
	g.write(m, to)
}

func (g *Gossiper) announceLeavingHere(list []*gen.LeavingServer) {
	m := g.message()
	m.LeavingServers = list
	g.broadcast(m, true)
}

// remoteLeaving returns a message for another data centre. It carries nothing else,
// because bytes between data centres are charged.
func (g *Gossiper) remoteLeaving(list []*gen.LeavingServer) *gen.Gossip {
	return &gen.Gossip{
		Host: string(g.self.ID), DataCentre: string(g.self.DataCentre), Region: string(g.self.Region),
		LeavingServers: list, LeavingDigest: g.handler.LeavingDigest(),
	}
}

// relayAddresses returns the addresses of the n most likely relays of another data
// centre; none for this daemon's own. g.mu must be held.
func (g *Gossiper) relayAddresses(dc model.DataCentre, n int) (to []*net.UDPAddr) {
	if dc == g.self.DataCentre {
		return nil
	}
	for _, r := range g.members.relays(dc, n) {
		to = append(to, r.udpAddress)
	}
	return to
}

// handleLeaving takes over the leaving servers that a message lists, and sends this
// daemon's list if the sender's differs. Within a data centre, where each change is
// announced to everybody, the difference must last for two messages of the sender.
func (g *Gossiper) handleLeaving(m *gen.Gossip, from *net.UDPAddr) {
	local := model.DataCentre(m.DataCentre) == g.self.DataCentre
	if len(m.LeavingServers) > 0 {
		if added := g.handler.PeerLeaving(model.HostID(m.Host), m.LeavingServers); len(added) > 0 && !local {
			g.announceLeavingHere(added)
		}
	}
	own := g.handler.LeavingDigest()
	differs := own != m.LeavingDigest
	now := time.Now()
	g.mu.Lock()
	x, ok := g.members.byID[model.HostID(m.Host)]
	if !ok {
		g.mu.Unlock()
		return
	}
	lasting := x.leavingDiffered
	x.leavingDiffered = differs
	due := differs && now.Sub(x.lastLeavingList) >= leavingReplyInterval &&
		(!local || (lasting && own != 0))
	if due {
		x.lastLeavingList = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	list := g.handler.Leaving()
	reply := g.remoteLeaving(list)
	if local {
		reply = g.message()
		reply.LeavingServers = list
	}
	g.write(reply, []*net.UDPAddr{from})
}

// probeLeaving compares the leaving servers with those of daemons in other regions. The
// digests between the data centres of a region carry the comparison there.
func (g *Gossiper) probeLeaving(now time.Time) {
	if g.handler.LeavingDigest() == 0 || !g.Role().RegionRelay {
		return
	}
	list := g.handler.Leaving()
	if len(list) == 0 {
		return
	}
	newest := list[0].AgeMs
	for _, l := range list {
		newest = min(newest, l.AgeMs)
	}
	interval := max(leavingProbeInterval, time.Duration(leavingProbeShare*float64(newest)*float64(time.Millisecond)))
	g.mu.Lock()
	var to []*net.UDPAddr
	if now.Sub(g.lastLeavingProbe) >= interval {
		g.lastLeavingProbe = now
		for dc, members := range g.members.byDataCentre {
			if len(members) > 0 && members[0].Region != g.self.Region {
				to = append(to, g.relayAddresses(dc, 1)...)
			}
		}
	}
	g.mu.Unlock()
	g.write(g.remoteLeaving(nil), to)
}
