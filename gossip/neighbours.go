package gossip

import (
	"net"
	"time"

	"github.com/agateusher/agateusher/core/fetch"
	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
)

// claim is a message of another data centre's relay that it follows the store for the
// region.
type claim struct {
	at time.Time
	// reading is set if the relay was receiving content from the store, settling if it
	// had just started.
	reading, settling bool
}

// remoteRelay is the relay of another data centre, as last heard.
type remoteRelay struct {
	address *net.UDPAddr
	at      time.Time
}

func (g *Gossiper) recordRemoteRelay(dc model.DataCentre, from *net.UDPAddr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remoteRelays[dc] = remoteRelay{address: from, at: time.Now()}
}

// relaysOf returns the addresses of the likely relays of another data centre: the one
// that was heard and those that are listed first. g.mu must be held.
func (g *Gossiper) relaysOf(dc model.DataCentre, now time.Time) (to []*net.UDPAddr) {
	n := digestRelaysSilent
	heard := g.remoteRelays[dc]
	if now.Sub(heard.at) < claimLifetime {
		n = digestRelays
		to = append(to, heard.address)
	}
	for _, r := range g.members.relays(dc, n) {
		if len(to) == 0 || r.udpAddress.String() != to[0].String() {
			to = append(to, r.udpAddress)
		}
	}
	return to
}

func (c claim) readingAt(now time.Time) bool { return c.reading && now.Sub(c.at) < claimLifetime }

// remoteReading reports whether the relay of another data centre of the region receives
// content from the store. Claims reach the relays of a data centre only, whose heartbeats
// pass this on.
func (g *Gossiper) remoteReading() bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.claims {
		if c.readingAt(now) {
			return true
		}
	}
	return false
}

// Neighbours is what this daemon knows about the others of its region when it decides
// whether to read the store.
type Neighbours struct {
	// Listed is the number of listed daemons of the region that are preferred to this
	// one as relay; fetch.Unlisted if no list of hosts was received. Known is the time
	// since the first list.
	Listed int
	Known  time.Duration
	// Alone is set if no other daemon of the region is known.
	Alone bool
	// PeerReading is set while another daemon of the region receives content from the
	// store, PeerContent while one of the data centre has content that is not old.
	PeerReading, PeerContent bool
}

// neighbours returns the present Neighbours. g.mu must be held.
func (g *Gossiper) neighbours(now time.Time) Neighbours {
	n := Neighbours{Listed: fetch.Unlisted, Alone: true}
	preferred := 0
	own := newCandidate(g.self)
	for _, dc := range g.members.dataCentres(g.self.Region) {
		n.Alone = false
		if dc != g.self.DataCentre {
			n.PeerReading = n.PeerReading || g.claims[dc].readingAt(now)
			if precedes(dc, g.self.DataCentre) {
				preferred += len(g.members.byDataCentre[dc])
			}
			continue
		}
		for _, m := range g.members.byDataCentre[dc] {
			if m.candidate().precedes(own) {
				preferred++
			}
			if m.live(now) {
				n.PeerReading = n.PeerReading || m.reading
				n.PeerContent = n.PeerContent || (m.contentAge >= 0 && !fetch.Stale(m.contentAge+now.Sub(m.lastReceived)))
			}
		}
	}
	if !g.listedAt.IsZero() {
		n.Listed, n.Known = preferred, now.Sub(g.listedAt)
	}
	return n
}

// recordContent records what a heartbeat says about the member's content.
func (m *member) recordContent(h *gen.Gossip) {
	m.reading, m.settling, m.contentAge = h.Reading, h.Settling, -1
	if h.Epoch != 0 && h.Revision != 0 {
		m.contentAge = time.Duration(h.ConfirmedAgeMs) * time.Millisecond
	}
}

// LocalRelay returns the live daemon of the data centre that is preferred to all others as
// relay; false if it is this one.
func (g *Gossiper) LocalRelay() (Host, bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	best, found := newCandidate(g.self), Host{}
	for _, m := range g.localMembers() {
		if m.live(now) && !m.storeFailing && m.candidate().precedes(best) {
			best, found = m.candidate(), m.Host
		}
	}
	return found, found.ID != ""
}
