package gossip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// maxDatagram is the size of the receive buffer in bytes. A datagram with a
	// full batch is smaller.
	maxDatagram = 16 << 10
	// maxBatch is the maximum number of observations in one datagram.
	maxBatch = 128
	// observationQueueSize is the number of observations that can wait to be
	// sent. When the queue is full, new ones are dropped.
	observationQueueSize = 1024
	// flushDelay is the wait after the first observation of a batch, so that
	// observations made at the same time share a datagram.
	flushDelay = 2 * time.Millisecond
	// digestInterval is the time between digests to other data centres.
	digestInterval = 300 * time.Millisecond
)

// maxServedMs bounds the time in a heartbeat, so that a damaged one does not overflow.
const maxServedMs = 1 << 40

// State is the sender's state in a heartbeat.
type State struct {
	// Leaving is set if the sender is shutting down.
	Leaving  bool
	Epoch    model.Epoch
	Revision uint64
	// ConfirmedAge is how long ago the store last confirmed the sender's content.
	ConfirmedAge time.Duration
	// Served is for how long the store is known to have confirmed content to some
	// daemon without a gap; zero if it does not do so now.
	Served time.Duration
	// Reading is set while the sender receives content from the store.
	Reading bool
	// Settling is set while the sender has just started and does not follow the store.
	Settling bool
	// StoreFailing is set while the sender's calls of the store fail.
	StoreFailing bool
}

// Handler provides this daemon's state and receives that of other daemons. Its
// methods are called from several goroutines.
type Handler interface {
	// State returns this daemon's own state.
	State() State
	// PeerState is called for each heartbeat or batch of observations from
	// another daemon of the data centre, and for each message of the region's relay.
	PeerState(h Host, s State)
	// PeerObservation is called for each observation received from another daemon
	// of the data centre.
	PeerObservation(h model.HostID, o *gen.Observation)
	// Outstanding returns the numbers of this daemon's attempts that have not
	// ended.
	Outstanding() []uint64
	// PeerOutstanding is called with the outstanding attempts of another daemon.
	PeerOutstanding(h model.HostID, attempts []uint64)
	// PeerGone is called when another daemon has stopped sending heartbeats or has
	// restarted.
	PeerGone(h model.HostID)
	// LocalLoads returns the digest of this data centre: the loads of its backend
	// servers.
	LocalLoads() []*gen.ServerLoad
	// IssuePermit returns the reply to another daemon's request for a permit.
	IssuePermit(q *gen.PermitRequest) *gen.PermitReply
	// Leaving returns the servers that this daemon knows to be leaving.
	Leaving() []*gen.LeavingServer
	// LeavingDigest returns a number that is equal for equal sets of them; zero without any.
	LeavingDigest() uint32
	// PeerLeaving is called with those that another daemon knows. It returns those that
	// this daemon did not know.
	PeerLeaving(h model.HostID, list []*gen.LeavingServer) []*gen.LeavingServer
	// PausesOf returns the pauses that servers asked another daemon of the data centre for.
	PausesOf(h model.HostID) []*gen.ServerPause
	// OwnPauses is called with those that servers asked this daemon for before its start.
	OwnPauses(pauses []*gen.ServerPause)
	// RemoteLoads is called with the digest of another data centre.
	RemoteLoads(from model.DataCentre, loads []*gen.ServerLoad)
}

// Gossiper exchanges datagrams with the other daemons and tracks which of them are
// live. It is safe for concurrent use.
type Gossiper struct {
	self        Host
	incarnation string
	handler     Handler
	socket      *net.UDPConn
	log         telemetry.Logger
	pending     *kernel.Ring[*gen.Observation]
	// bundle holds the messages that this daemon passes on as the hub.
	bundle *kernel.Ring[*gen.Gossip]
	// starThreshold is the constant, or a lower number in tests.
	starThreshold int

	mu      sync.Mutex
	members memberTable
	// claims has, by data centre, the last claim of its relay to follow the store for
	// the whole region.
	claims map[model.DataCentre]claim
	// remoteRelays has the relays of other data centres.
	remoteRelays map[model.DataCentre]remoteRelay
	// listedAt is when the first list of hosts was received.
	listedAt time.Time
	// permitRequests are the requests for permits and admissions without a reply yet.
	// Identifiers start at a random number, because answers to an earlier process may
	// be kept.
	permitRequests    map[uint64]chan *gen.Gossip
	lastPermitRequest uint64
	// lastLeavingProbe is when the leaving servers were last compared with those known
	// in other regions.
	lastLeavingProbe time.Time
	// quota is nil if the deployment has no limits of workspaces.
	quota atomic.Pointer[quotaExchange]
	hub   hubChoice
	// reportedGone holds the members that were reported as gone and have not been
	// heard from since.
	reportedGone map[model.HostID]bool
}

// ListenError reports the address that could not be listened on.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Listen returns a Gossiper that listens on the daemon's UDP address. It works
// while its tasks run. Errors are *ListenError.
func Listen(self Host, incarnation model.Incarnation, h Handler, log telemetry.Logger) (*Gossiper, error) {
	address, err := net.ResolveUDPAddr("udp4", self.Address)
	if err != nil {
		return nil, &ListenError{Address: self.Address, Err: err}
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, &ListenError{Address: self.Address, Err: err}
	}
	return &Gossiper{
		self: self, incarnation: string(incarnation), handler: h, socket: socket, log: log,
		pending: kernel.NewRing[*gen.Observation]("observations", observationQueueSize, kernel.DropNewest),
		bundle:  kernel.NewRing[*gen.Gossip]("bundle", bundleQueueSize, kernel.DropNewest), starThreshold: starThreshold,
		members: newMemberTable(), claims: map[model.DataCentre]claim{}, remoteRelays: map[model.DataCentre]remoteRelay{}, reportedGone: map[model.HostID]bool{},
		permitRequests: map[uint64]chan *gen.Gossip{}, lastPermitRequest: uint64(rand.Uint32()),
	}, nil
}

// Tasks returns the Gossiper's long-running tasks.
func (g *Gossiper) Tasks() []kernel.Task {
	return []kernel.Task{
		{Name: "gossip-receive", Run: g.receive},
		{Name: "gossip-send", Run: g.send},
		{Name: "gossip-fan-out", Run: g.fanOut},
	}
}

// AddHosts adds hosts that are listed in the registry or by a seed.
func (g *Gossiper) AddHosts(hosts []Host) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listedAt.IsZero() {
		g.listedAt = now
	}
	for _, h := range hosts {
		if h.ID == g.self.ID {
			continue
		}
		if _, err := g.members.add(h, now); err != nil {
			g.log.WithFields(telemetry.Fields{"event": "host_unusable", "peer": h.ID, "address": h.Address}).WithError(err).Warn("a listed host has no usable address")
		}
	}
}

// Publish queues an observation to be sent to the other daemons of the data
// centre.
func (g *Gossiper) Publish(o *gen.Observation) { g.pending.Offer(o) }

// Dropped returns the number of observations that were dropped because the queue
// was full.
func (g *Gossiper) Dropped() uint64 { return g.pending.Dropped() }

// LiveCount returns the number of live daemons of the data centre, including this
// one.
func (g *Gossiper) LiveCount() int {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	for _, m := range g.localMembers() {
		if m.live(now) {
			n++
		}
	}
	return n
}

// Announce sends a heartbeat at once, also to other data centres if this daemon is
// the region's relay. It is called after a change of this daemon's state.
func (g *Gossiper) Announce() {
	g.broadcast(g.message(), toLive)
	g.sendClaim()
}

// AnnounceAll is Announce to all members of the data centre that were listed or heard
// lately. It is called when others may not know that this daemon is live.
func (g *Gossiper) AnnounceAll() {
	g.broadcast(g.message(), toCurrent)
	g.sendClaim()
}

func (g *Gossiper) send(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval / 2)
	defer ticker.Stop()
	lastDigest := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-g.pending.Items():
			g.broadcast(g.batch(first), toLive)
		case now := <-ticker.C:
			g.expire(now)
			g.broadcast(g.message(), toDue)
			if now.Sub(lastDigest) >= digestInterval {
				lastDigest = now
				g.sendDigest()
				g.sendClaim()
				g.probeLeaving(now)
			}
		}
	}
}

// batch returns a message with first and the observations that are queued
// flushDelay later, at most maxBatch in all.
func (g *Gossiper) batch(first *gen.Observation) *gen.Gossip {
	time.Sleep(flushDelay)
	observations := []*gen.Observation{first}
	for waiting := true; waiting && len(observations) < maxBatch; {
		select {
		case o := <-g.pending.Items():
			observations = append(observations, o)
		default:
			waiting = false
		}
	}
	// The list of outstanding attempts is made last, so that it includes the
	// attempts whose start is among the observations.
	m := g.message()
	m.Observations = observations
	return m
}

// message returns a heartbeat.
func (g *Gossiper) message() *gen.Gossip {
	s := g.handler.State()
	return &gen.Gossip{
		Host: string(g.self.ID), Incarnation: g.incarnation,
		DataCentre: string(g.self.DataCentre), Region: string(g.self.Region),
		Leaving: s.Leaving, Epoch: uint64(s.Epoch), Revision: s.Revision,
		ConfirmedAgeMs: uint32(s.ConfirmedAge.Milliseconds()),
		Outstanding:    g.handler.Outstanding(),
		Weight:         g.self.Weight,
		StoreFailing:   s.StoreFailing,
		Reading:        s.Reading || g.remoteReading(),
		Settling:       s.Settling,
		ServedMs:       uint64(s.Served.Milliseconds()),
		LeavingDigest:  g.handler.LeavingDigest(),
		Quota:          g.quotaState(),
	}
}

// localMembers returns the members of this daemon's data centre. g.mu must be held.
func (g *Gossiper) localMembers() []*member { return g.members.byDataCentre[g.self.DataCentre] }

// audience selects members of the data centre: those that are due for a message, also
// all live ones, or also those that were listed or heard lately.
type audience uint8

const (
	toDue audience = iota
	toLive
	toCurrent
)

// broadcast sends a message to members of the data centre.
func (g *Gossiper) broadcast(m *gen.Gossip, a audience) {
	now := time.Now()
	g.mu.Lock()
	hub, star := g.chooseHub(now)
	var to []*net.UDPAddr
	for _, x := range g.localMembers() {
		if star && x.live(now) && x != hub {
			continue
		}
		if x.due(now) || (a >= toLive && x.live(now)) || (a == toCurrent && x.current(now)) {
			x.lastSent = now
			to = append(to, x.udpAddress)
		}
	}
	selfIsHub := star && hub == nil && (a >= toLive || now.Sub(g.hub.lastOwn) >= heartbeatInterval)
	if selfIsHub {
		g.hub.lastOwn = now
	}
	g.mu.Unlock()
	m.FanOut = star
	if selfIsHub {
		m.Address = g.self.Address
		g.bundle.Offer(m)
	}
	g.write(m, to)
}

func (g *Gossiper) write(m *gen.Gossip, to []*net.UDPAddr) {
	if len(to) == 0 {
		return
	}
	data, err := proto.Marshal(m)
	if err != nil {
		g.log.WithField("event", "gossip_encoding_failed").WithError(err).Error("a datagram could not be encoded")
		return
	}
	for _, address := range to {
		// A failure to send is treated like a lost datagram: the next heartbeat
		// follows.
		_, _ = g.socket.WriteToUDP(data, address)
	}
}

// expire reports members that have been silent for twice the livenessTimeout.
func (g *Gossiper) expire(now time.Time) {
	g.mu.Lock()
	var gone []model.HostID
	for id, m := range g.members.byID {
		if m.lastReceived.IsZero() || now.Sub(m.lastReceived) < 2*livenessTimeout || g.reportedGone[id] {
			continue
		}
		g.reportedGone[id] = true
		gone = append(gone, id)
	}
	g.mu.Unlock()
	for _, id := range gone {
		g.log.WithFields(telemetry.Fields{"event": "peer_lost", "peer": id}).Info("no heartbeat from a daemon of the data centre")
		g.handler.PeerGone(id)
	}
}

func (g *Gossiper) receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.socket.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.socket.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			g.log.WithField("event", "gossip_receive_failed").WithError(err).Warn("a datagram could not be received")
			continue
		}
		m := &gen.Gossip{}
		if err := proto.Unmarshal(buf[:n], m); err != nil {
			g.log.WithFields(telemetry.Fields{"event": "gossip_undecodable", "from": from}).WithError(err).Warn("a datagram could not be decoded")
			continue
		}
		telemetry.Contain(g.log, nil, "datagram", func() { g.handle(m, from) })
	}
}

func (g *Gossiper) handle(m *gen.Gossip, from *net.UDPAddr) {
	if model.HostID(m.Host) == g.self.ID || g.handlePermit(m, from) || g.handleQuota(m, from) {
		return
	}
	if model.DataCentre(m.DataCentre) != g.self.DataCentre {
		g.handleRemote(m, from)
		return
	}
	g.recordDirect(model.HostID(m.Host))
	if len(m.Bundled) > 0 {
		g.handleBundle(m)
		return
	}
	if m.FanOut {
		m.Address = from.String()
		g.bundle.Offer(m)
	}
	g.handleLocal(m, from)
}

// handleLocal handles a message of a daemon of the data centre.
func (g *Gossiper) handleLocal(m *gen.Gossip, from *net.UDPAddr) {
	if len(m.Loads) > 0 {
		g.handler.RemoteLoads(model.DataCentre(m.LoadsFrom), m.Loads)
		if len(m.Observations) == 0 && m.Incarnation == "" {
			return
		}
	}
	h, restarted := g.recordHeartbeat(m, from)
	if restarted {
		g.handler.PeerGone(h.ID)
		g.sendPauses(h.ID, from)
	}
	if len(m.Pauses) > 0 {
		g.handler.OwnPauses(m.Pauses)
	}
	g.handler.PeerState(h, stateOf(m))
	g.handleQuotaState(h.ID, m.Quota)
	for _, o := range m.Observations {
		g.handler.PeerObservation(h.ID, o)
	}
	g.handler.PeerOutstanding(h.ID, m.Outstanding)
	g.handleLeaving(m, from)
}

func stateOf(m *gen.Gossip) State {
	return State{
		Leaving: m.Leaving, Epoch: model.Epoch(m.Epoch), Revision: m.Revision,
		ConfirmedAge: time.Duration(m.ConfirmedAgeMs) * time.Millisecond, StoreFailing: m.StoreFailing,
		Reading: m.Reading, Settling: m.Settling, Served: time.Duration(min(m.ServedMs, maxServedMs)) * time.Millisecond,
	}
}

func (g *Gossiper) broadcastLive(m *gen.Gossip) {
	now := time.Now()
	g.mu.Lock()
	var to []*net.UDPAddr
	for _, x := range g.localMembers() {
		if x.live(now) {
			to = append(to, x.udpAddress)
		}
	}
	g.mu.Unlock()
	g.write(m, to)
}

// recordHeartbeat records when the sender of a heartbeat was last heard from, and
// reports whether it has restarted.
func (g *Gossiper) recordHeartbeat(m *gen.Gossip, from *net.UDPAddr) (h Host, restarted bool) {
	now := time.Now()
	h = Host{ID: model.HostID(m.Host), DataCentre: model.DataCentre(m.DataCentre), Region: model.Region(m.Region), Address: from.String(), Weight: m.Weight}
	g.mu.Lock()
	defer g.mu.Unlock()
	x, err := g.members.hear(h, now)
	if err != nil {
		// Does not happen: the socket returns valid addresses.
		return h, false
	}
	restarted = x.incarnation != "" && x.incarnation != m.Incarnation
	switch {
	case g.reportedGone[h.ID]:
		g.log.WithFields(telemetry.Fields{"event": "peer_regained", "peer": h.ID, "silent": now.Sub(x.lastReceived).Round(time.Millisecond)}).Info("heartbeats from a daemon of the data centre resumed")
	case x.lastReceived.IsZero():
		g.log.WithFields(telemetry.Fields{"event": "peer_found", "peer": h.ID, "incarnation": m.Incarnation}).Debug("first heartbeat from a daemon of the data centre")
	}
	delete(g.reportedGone, h.ID)
	x.incarnation, x.leaving, x.storeFailing, x.lastReceived = m.Incarnation, m.Leaving, m.StoreFailing, now
	x.recordContent(m)
	return h, restarted
}

// Hosts returns this daemon, the daemons of its data centre that were listed or heard
// lately, and all known daemons of other data centres.
func (g *Gossiper) Hosts() []Host {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	hosts := []Host{g.self}
	for _, m := range g.members.byID {
		if m.DataCentre != g.self.DataCentre || m.current(now) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}
