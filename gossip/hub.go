package gossip

import (
	"context"
	"net"
	"time"

	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// starThreshold is the number of live daemons of a data centre above which their
	// messages go through one of them, the hub. Sent to each other, they would grow
	// with the square of the number of daemons.
	starThreshold = 32
	// bundleInterval is how long the hub gathers messages before it passes them on.
	bundleInterval = 25 * time.Millisecond
	// maxBundle is the maximum number of messages in one datagram of the hub.
	maxBundle = 48
	// bundleQueueSize is the number of messages that can wait at the hub. When the
	// queue is full, new ones are dropped; later heartbeats make up for them.
	bundleQueueSize = 2048
	// hubTimeout is how long after its last datagram the next daemon in order is used
	// as the hub, for hubAvoidance.
	hubTimeout   = 350 * time.Millisecond
	hubAvoidance = 2 * time.Second
)

// hubChoice is the state of the choice of the hub; guarded by Gossiper.mu.
type hubChoice struct {
	// current is the hub in use since the time; empty without one or if it is this
	// daemon.
	current model.HostID
	since   time.Time
	// avoided has until when hubs that fell silent are not used.
	avoided map[model.HostID]time.Time
	// lastOwn is when this daemon, as the hub, last passed its own state on.
	lastOwn time.Time
}

// chooseHub returns the member to send messages to if the data centre has more than
// starThreshold live daemons; nil if it is this daemon. star is false if messages go to
// each member. The hub is the first daemon in the order of relays that is not silent.
// Daemons may disagree: whoever gets a message to fan out does so. g.mu must be held.
func (g *Gossiper) chooseHub(now time.Time) (hub *member, star bool) {
	leaving := g.handler.State().Leaving
	live := 0
	if !leaving {
		live++
	}
	for _, m := range g.localMembers() {
		if m.live(now) {
			live++
		}
	}
	if live <= g.starThreshold {
		g.hub.current = ""
		return nil, false
	}
	for {
		m := g.firstHub(now)
		switch {
		case m == nil && leaving:
			return nil, false
		case m == nil || (!leaving && newCandidate(g.self).precedes(m.candidate())):
			g.hub.current = ""
			return nil, true
		case m.ID != g.hub.current:
			g.hub.current, g.hub.since = m.ID, now
			return m, true
		case now.Sub(g.hub.since) <= hubTimeout || now.Sub(m.lastDirect) <= hubTimeout:
			return m, true
		}
		if g.hub.avoided == nil {
			g.hub.avoided = map[model.HostID]time.Time{}
		}
		g.hub.avoided[m.ID] = now.Add(hubAvoidance)
	}
}

// firstHub returns the live member that comes first in the order of relays and is not
// avoided as the hub; nil if there is none. g.mu must be held.
func (g *Gossiper) firstHub(now time.Time) (first *member) {
	for _, m := range g.localMembers() {
		if m.live(now) && !now.Before(g.hub.avoided[m.ID]) &&
			(first == nil || m.candidate().precedes(first.candidate())) {
			first = m
		}
	}
	return first
}

// recordDirect records a datagram that came from a member itself.
func (g *Gossiper) recordDirect(h model.HostID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.members.byID[h]; ok {
		m.lastDirect = time.Now()
	}
}

// fanOut passes messages on to the live daemons of the data centre, together for each
// bundleInterval.
func (g *Gossiper) fanOut(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-g.bundle.Items():
			time.Sleep(bundleInterval)
			telemetry.Contain(g.log, nil, "fan-out", func() { g.sendBundle(first) })
		}
	}
}

func (g *Gossiper) sendBundle(first *gen.Gossip) {
	bundled := []*gen.Gossip{first}
	for waiting := true; waiting && len(bundled) < maxBundle; {
		select {
		case m := <-g.bundle.Items():
			bundled = append(bundled, m)
		default:
			waiting = false
		}
	}
	g.broadcastLive(&gen.Gossip{Host: string(g.self.ID), DataCentre: string(g.self.DataCentre), Bundled: bundled})
}

// handleBundle handles the messages that the hub passes on.
func (g *Gossiper) handleBundle(bundle *gen.Gossip) {
	for _, m := range bundle.Bundled {
		if model.HostID(m.Host) == g.self.ID || model.DataCentre(m.DataCentre) != g.self.DataCentre || m.Incarnation == "" {
			continue
		}
		from, err := net.ResolveUDPAddr("udp4", m.Address)
		if err != nil {
			g.log.WithFields(telemetry.Fields{"event": "gossip_undecodable", "peer": m.Host}).WithError(err).Warn("a bundled message has no usable address")
			continue
		}
		g.handleLocal(m, from)
	}
}
