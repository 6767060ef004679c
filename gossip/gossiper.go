package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// maxDatagram is above the largest datagram of a full batch.
	maxDatagram = 16 << 10
	// maxBatch bounds the observations of one datagram.
	maxBatch = 128
	// pendingObservations is the size of the ring; newest dropped when full.
	pendingObservations = 1024
	// flushDelay gathers observations that are made at the same time.
	flushDelay = 2 * time.Millisecond
	// digestInterval is the time between digests to other data centres.
	digestInterval = 300 * time.Millisecond
	// digestRelays is how many daemons of a data centre receive each digest.
	digestRelays = 2
)

// State is what heartbeats say of the sender.
type State struct {
	Leaving      bool
	Epoch        model.Epoch
	Revision     uint64
	ConfirmedAge time.Duration
}

// Handler receives what other daemons say. Its methods are called from one
// goroutine.
type Handler interface {
	// State returns this daemon's own state.
	State() State
	// PeerState is called for each datagram of a daemon of the data centre.
	PeerState(h Host, s State)
	// PeerObservation is called for each observation of another daemon.
	PeerObservation(h model.HostID, o *gen.Observation)
	// Outstanding returns this daemon's attempts that have not ended.
	Outstanding() []uint64
	// PeerOutstanding is called with the same of another daemon.
	PeerOutstanding(h model.HostID, attempts []uint64)
	// PeerGone is called when a daemon has ended or started again.
	PeerGone(h model.HostID)
	// LocalLoads returns the digest of this data centre.
	LocalLoads() []*gen.ServerLoad
	// RemoteLoads is called with the digest of another data centre.
	RemoteLoads(from model.DataCentre, loads []*gen.ServerLoad)
}

// Gossiper sends and receives datagrams. It is safe for concurrent use.
type Gossiper struct {
	self        Host
	incarnation string
	handler     Handler
	socket      *net.UDPConn
	log         telemetry.Logger
	pending     *kernel.Ring[*gen.Observation]

	mu      sync.Mutex
	members table
	gone    map[model.HostID]bool
}

// ListenError says which address could not be opened.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Listen opens the Gossiper of a daemon. Errors are *ListenError.
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
		pending: kernel.NewRing[*gen.Observation]("observations", pendingObservations, kernel.DropNewest),
		members: table{}, gone: map[model.HostID]bool{},
	}, nil
}

// Duties returns the Gossiper's long-running tasks.
func (l *Gossiper) Duties() []kernel.Task {
	return []kernel.Task{
		{Name: "gossip-receive", Run: l.receive},
		{Name: "gossip-send", Run: l.send},
	}
}

// AddHosts adds hosts that the registry or a seed names.
func (l *Gossiper) AddHosts(hosts []Host) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range hosts {
		if h.ID == l.self.ID {
			continue
		}
		if _, err := l.members.add(h, now); err != nil {
			l.log.WithFields(telemetry.Fields{"event": "host_unusable", "peer": h.ID, "address": h.Address}).WithError(err).Warn("a host of the registry has no usable address")
		}
	}
}

// Publish queues an observation for the other daemons of the data centre.
func (l *Gossiper) Publish(o *gen.Observation) { l.pending.Offer(o) }

// Dropped returns the number of observations that were not sent.
func (l *Gossiper) Dropped() uint64 { return l.pending.Dropped() }

// Rank returns this daemon's position among the live ones of its data centre;
// zero is the relay.
func (l *Gossiper) Rank() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members.rank(l.self, l.handler.State().Leaving, time.Now())
}

// LiveCount returns the number of live daemons of the data centre, this one included.
func (l *Gossiper) LiveCount() int {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 1
	for _, m := range l.members {
		if m.DataCentre == l.self.DataCentre && m.live(now) {
			n++
		}
	}
	return n
}

// Announce sends a heartbeat at once, after a change of this daemon's state.
func (l *Gossiper) Announce() { l.broadcast(l.message(), true) }

func (l *Gossiper) send(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval / 2)
	defer ticker.Stop()
	digest := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-l.pending.Items():
			l.broadcast(l.batch(first), true)
		case now := <-ticker.C:
			l.expire(now)
			l.broadcast(l.message(), false)
			if now.Sub(digest) >= digestInterval {
				digest = now
				l.sendDigest()
			}
		}
	}
}

// batch gathers the observations that are made together with the first.
func (l *Gossiper) batch(first *gen.Observation) *gen.Gossip {
	time.Sleep(flushDelay)
	observations := []*gen.Observation{first}
	for waiting := true; waiting && len(observations) < maxBatch; {
		select {
		case o := <-l.pending.Items():
			observations = append(observations, o)
		default:
			waiting = false
		}
	}
	// The list of outstanding attempts is made last, so that it includes those
	// that the observations start.
	m := l.message()
	m.Observations = observations
	return m
}

func (l *Gossiper) message() *gen.Gossip {
	s := l.handler.State()
	return &gen.Gossip{
		Host: string(l.self.ID), Incarnation: l.incarnation,
		DataCentre: string(l.self.DataCentre), Region: string(l.self.Region),
		Leaving: s.Leaving, Epoch: uint64(s.Epoch), Revision: s.Revision,
		ConfirmedAgeMs: uint32(s.ConfirmedAge.Milliseconds()),
		Outstanding:    l.handler.Outstanding(),
		Weight:         l.self.Weight,
	}
}

// broadcast sends a message to the data centre: to all live members at once, to
// others only when they are due.
func (l *Gossiper) broadcast(m *gen.Gossip, urgent bool) {
	now := time.Now()
	l.mu.Lock()
	var to []*net.UDPAddr
	for _, x := range l.members {
		if x.DataCentre != l.self.DataCentre {
			continue
		}
		if x.due(now) || (urgent && x.live(now)) {
			x.sent = now
			to = append(to, x.udp)
		}
	}
	l.mu.Unlock()
	l.write(m, to)
}

func (l *Gossiper) write(m *gen.Gossip, to []*net.UDPAddr) {
	if len(to) == 0 {
		return
	}
	data, err := proto.Marshal(m)
	if err != nil {
		l.log.WithField("event", "gossip_encoding_failed").WithError(err).Error("a datagram could not be encoded")
		return
	}
	for _, address := range to {
		// A datagram that cannot be sent is like one that is lost: the next
		// heartbeat follows.
		_, _ = l.socket.WriteToUDP(data, address)
	}
}

// sendDigest sends this data centre's loads to the others of the region, if
// this daemon is the relay.
func (l *Gossiper) sendDigest() {
	if l.Rank() != 0 {
		return
	}
	loads := l.handler.LocalLoads()
	if len(loads) == 0 {
		return
	}
	m := l.message()
	m.Loads = loads
	l.mu.Lock()
	var to []*net.UDPAddr
	seen := map[model.DataCentre]bool{l.self.DataCentre: true}
	for _, x := range l.members {
		if x.Region != l.self.Region || seen[x.DataCentre] {
			continue
		}
		seen[x.DataCentre] = true
		for _, r := range l.members.relays(x.DataCentre, digestRelays) {
			to = append(to, r.udp)
		}
	}
	l.mu.Unlock()
	l.write(m, to)
}

// expire reports members that have gone silent.
func (l *Gossiper) expire(now time.Time) {
	l.mu.Lock()
	var gone []model.HostID
	for id, m := range l.members {
		if m.heard.IsZero() || now.Sub(m.heard) < 2*liveFor || l.gone[id] {
			continue
		}
		l.gone[id] = true
		gone = append(gone, id)
	}
	l.mu.Unlock()
	for _, id := range gone {
		l.log.WithFields(telemetry.Fields{"event": "peer_lost", "peer": id}).Info("a daemon of the data centre is silent")
		l.handler.PeerGone(id)
	}
}

func (l *Gossiper) receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.socket.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := l.socket.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			l.log.WithField("event", "gossip_receive_failed").WithError(err).Warn("a datagram could not be received")
			continue
		}
		m := &gen.Gossip{}
		if err := proto.Unmarshal(buf[:n], m); err != nil {
			l.log.WithFields(telemetry.Fields{"event": "gossip_undecodable", "from": from}).WithError(err).Warn("a datagram could not be decoded")
			continue
		}
		l.handle(m, from)
	}
}

func (l *Gossiper) handle(m *gen.Gossip, from *net.UDPAddr) {
	if model.HostID(m.Host) == l.self.ID {
		return
	}
	if model.DataCentre(m.DataCentre) != l.self.DataCentre {
		l.handler.RemoteLoads(model.DataCentre(m.DataCentre), m.Loads)
		// The other daemons of the data centre get the digest from here.
		l.forward(m)
		return
	}
	if len(m.Loads) > 0 {
		l.handler.RemoteLoads(model.DataCentre(m.LoadsFrom), m.Loads)
		if len(m.Observations) == 0 && m.Incarnation == "" {
			return
		}
	}
	h, restarted := l.heard(m, from)
	if restarted {
		l.handler.PeerGone(h.ID)
	}
	l.handler.PeerState(h, State{
		Leaving: m.Leaving, Epoch: model.Epoch(m.Epoch), Revision: m.Revision,
		ConfirmedAge: time.Duration(m.ConfirmedAgeMs) * time.Millisecond,
	})
	for _, o := range m.Observations {
		l.handler.PeerObservation(h.ID, o)
	}
	l.handler.PeerOutstanding(h.ID, m.Outstanding)
}

// forward passes a digest of another data centre on to this one. Without an
// incarnation it is no heartbeat.
func (l *Gossiper) forward(m *gen.Gossip) {
	l.broadcastLive(&gen.Gossip{Host: string(l.self.ID), DataCentre: string(l.self.DataCentre), Loads: m.Loads, LoadsFrom: m.DataCentre})
}

func (l *Gossiper) broadcastLive(m *gen.Gossip) {
	now := time.Now()
	l.mu.Lock()
	var to []*net.UDPAddr
	for _, x := range l.members {
		if x.DataCentre == l.self.DataCentre && x.live(now) {
			to = append(to, x.udp)
		}
	}
	l.mu.Unlock()
	l.write(m, to)
}

// heard records the sender of a heartbeat.
func (l *Gossiper) heard(m *gen.Gossip, from *net.UDPAddr) (h Host, restarted bool) {
	now := time.Now()
	h = Host{ID: model.HostID(m.Host), DataCentre: model.DataCentre(m.DataCentre), Region: model.Region(m.Region), Address: from.String(), Weight: m.Weight}
	l.mu.Lock()
	defer l.mu.Unlock()
	x, err := l.members.add(h, now)
	if err != nil {
		// from is an address that the socket returned.
		return h, false
	}
	restarted = x.incarnation != "" && x.incarnation != m.Incarnation
	switch {
	case l.gone[h.ID]:
		l.log.WithFields(telemetry.Fields{"event": "peer_regained", "peer": h.ID, "silent": now.Sub(x.heard).Round(time.Millisecond)}).Info("a daemon of the data centre is heard again")
	case x.heard.IsZero():
		l.log.WithFields(telemetry.Fields{"event": "peer_found", "peer": h.ID, "incarnation": m.Incarnation}).Debug("a daemon of the data centre is heard")
	}
	delete(l.gone, h.ID)
	x.incarnation, x.leaving, x.heard = m.Incarnation, m.Leaving, now
	return h, restarted
}

// Hosts returns this daemon and those that it has heard lately.
func (l *Gossiper) Hosts() []Host {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := []Host{l.self}
	for _, m := range l.members {
		if m.DataCentre != l.self.DataCentre || m.live(now) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}
