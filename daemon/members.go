package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/peerrpc"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// HostListInterval is the time between a relay's reads of the platform's host
	// list. The list itself lags by seconds, and membership learns of new and
	// failed hosts from heartbeats, so a shorter interval would only add traffic.
	HostListInterval = 5 * time.Second
	// relaysPerDataCentre is the number of hosts of a data centre that read the
	// host list and watch the configuration for the others.
	relaysPerDataCentre = 2
	// isolatedAfter is the time without an answer from any peer after which a host
	// reads the host list although it is not a relay.
	isolatedAfter = 10 * time.Second
	// pullPeers is the number of hosts in this data centre, and also in the other
	// data centres together, from which the configuration may be pulled.
	pullPeers = 4
	// pruneInterval is the time between checks for idle peer connections to close.
	pruneInterval = 30 * time.Second
)

// members runs the membership table and serves lookups from its view. It
// implements entry.Directory and RegionLocator.
type members struct {
	// seeds are used until the platform's host list has been read once.
	seeds        []SeedSettings
	hostListRead atomic.Bool

	self   membership.Host
	store  objectapi.Store
	client *peerrpc.Client
	log    telemetry.Logger
	scope  telemetry.Scope
	// onPeerEpoch is called when a peer announces a newer epoch, onStateChanged
	// after a change of the view. Both are set before run.
	onPeerEpoch    func(configstore.Peer, model.Epoch)
	onStateChanged func(membership.StateChanged)

	mu    sync.Mutex
	table *membership.Table

	view    atomic.Pointer[membership.View]
	lastAck atomic.Int64  // Unix nanoseconds of the last answer to a heartbeat
	wake    chan struct{} // makes run reset its timer
	ctx     context.Context
	stop    context.CancelFunc
	// callMu ensures that no call is started once run waits for the calls to end.
	callMu sync.Mutex
	calls  sync.WaitGroup
}

// TopicHost is the topic of HostChanged events.
const TopicHost kernel.Topic = "host.changed"

// HostChanged reports that a host's state changed in this daemon's view.
type HostChanged struct {
	Host model.HostID `json:"host"`
	From string       `json:"from"`
	To   string       `json:"to"`
}

func newMembers(self membership.Host, incarnation model.Incarnation, store objectapi.Store, client *peerrpc.Client, log telemetry.Logger, scope telemetry.Scope) *members {
	now := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	m := &members{
		self: self, store: store, client: client, log: log, scope: scope,
		onPeerEpoch: func(configstore.Peer, model.Epoch) {}, onStateChanged: func(membership.StateChanged) {},
		table: membership.New(membership.Config{Self: self, Incarnation: incarnation, Start: uint64(now.UnixMilli())},
			rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now),
		wake: make(chan struct{}, 1), ctx: ctx, stop: stop,
	}
	m.lastAck.Store(now.UnixNano())
	v := m.table.View()
	m.view.Store(&v)
	return m
}

// update passes an event to the table, publishes the view if it changed and executes
// the table's decisions.
func (m *members) update(event func(t *membership.Table, now time.Time) []membership.Decision) {
	m.mu.Lock()
	now := time.Now()
	decisions := event(m.table, now)
	if !m.table.NextWake(now).After(now) {
		decisions = append(decisions, m.table.Tick(now)...)
	}
	if slices.ContainsFunc(decisions, changesView) {
		v := m.table.View()
		m.view.Store(&v)
	}
	m.mu.Unlock()
	for _, d := range decisions {
		m.execute(d)
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func changesView(d membership.Decision) bool {
	switch d.(type) {
	case membership.StateChanged, membership.LinkChanged:
		return true
	}
	return false
}

func (m *members) execute(d membership.Decision) {
	switch x := d.(type) {
	case membership.SendHeartbeat:
		m.startCall(func() { m.heartbeat(x) })
	case membership.SendProbeRequest:
		m.startCall(func() { m.probe(x) })
	case membership.Sync:
		m.startCall(func() { m.exchange(x) })
	case membership.EpochSeen:
		m.onPeerEpoch(m.configPeer(x.Host), x.Epoch)
	case membership.StateChanged:
		m.stateChanged(x)
	case membership.LinkChanged:
		m.log.WithFields(telemetry.Fields{"event": "link_changed", "peer": x.Host, "down": x.Down}).Warn("link to a host that other hosts can reach went down or came back up")
		m.scope.Counter("link_changes").Inc(1)
	case membership.Superseded:
		m.log.WithFields(telemetry.Fields{"event": "superseded", "by": x.By}).Error("another process with this host's ID started later")
	}
}

func (m *members) stateChanged(x membership.StateChanged) {
	if x.To != 0 && x.From != x.To {
		m.log.WithFields(telemetry.Fields{"event": "host_changed", "peer": x.Host, "incarnation": x.Incarnation, "from": x.From.String(), "to": x.To.String()}).Info("host changed state")
		m.scope.Tagged(map[string]string{"to": x.To.String()}).Counter("host_changes").Inc(1)
	}
	m.onStateChanged(x)
}

// startCall runs a call to a peer in a goroutine of its own, unless the members
// are stopping. The table bounds the number of concurrent calls.
func (m *members) startCall(f func()) {
	m.callMu.Lock()
	defer m.callMu.Unlock()
	if m.ctx.Err() == nil {
		m.calls.Go(f)
	}
}

func (m *members) heartbeat(x membership.SendHeartbeat) {
	answer, err := m.client.Heartbeat(m.ctx, peerOf(x.To), x.Message)
	m.update(func(t *membership.Table, now time.Time) []membership.Decision {
		if err != nil {
			return t.HeartbeatFailed(now, x.To.ID, x.Token, peerrpc.IsConnectionRefused(err))
		}
		m.lastAck.Store(now.UnixNano())
		return t.HeartbeatAnswered(now, x.To.ID, x.Token, answer)
	})
}

func (m *members) probe(x membership.SendProbeRequest) {
	r := m.client.Probe(m.ctx, peerOf(x.Helper), x.Target.ID)
	m.update(func(t *membership.Table, now time.Time) []membership.Decision {
		return t.IndirectProbeResult(now, x.Target.ID, x.Token, r)
	})
}

func (m *members) exchange(x membership.Sync) {
	answer, err := m.client.Exchange(m.ctx, peerOf(x.With), x.Page)
	if err != nil {
		return // retried when a later comparison of hashes shows a difference
	}
	m.update(func(t *membership.Table, now time.Time) []membership.Decision {
		return t.SyncAnswered(now, x.With.ID, answer)
	})
}

func peerOf(h membership.Host) peerrpc.Peer {
	return peerrpc.Peer{Host: h.ID, Address: h.PeerAddress}
}

// run drives the table's timers until ctx ends, then waits for the calls in
// progress.
func (m *members) run(ctx context.Context) error {
	defer m.calls.Wait()
	defer func() {
		m.callMu.Lock()
		defer m.callMu.Unlock()
		m.stop()
	}()
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-prune.C:
			m.client.CloseIdleConnections()
		case <-timer.C:
			m.update(func(*membership.Table, time.Time) []membership.Decision { return nil })
		case <-m.wake:
			m.mu.Lock()
			next := m.table.NextWake(time.Now())
			m.mu.Unlock()
			timer.Reset(time.Until(next))
		}
	}
}

// runHostList reads the platform's host list while this host is a relay or
// isolated.
func (m *members) runHostList(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(HostListInterval):
		}
		if m.isRelay() || m.isIsolated() {
			m.refreshHostList(ctx)
		}
	}
}

// isIsolated reports whether no peer has answered for isolatedAfter.
func (m *members) isIsolated() bool {
	return time.Since(time.Unix(0, m.lastAck.Load())) > isolatedAfter
}

func (m *members) refreshHostList(ctx context.Context) {
	hosts, err := m.store.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			m.log.WithField("event", "host_list_failed").WithError(err).Warn("cannot read the host list; keeping the last known one")
		}
		if !m.hostListRead.Load() {
			m.useSeeds()
		}
		return
	}
	m.hostListRead.Store(true)
	list := make([]membership.ListedHost, len(hosts))
	for i, h := range hosts {
		list[i] = membership.ListedHost{Host: membership.Host{ID: h.ID, Info: membership.Info{
			DataCentre: h.DataCentre, Region: h.Region, FleetAddress: h.FleetAddress, PeerAddress: h.PeerAddress,
		}}, Leaving: h.State == objectapi.HostLeaving}
	}
	m.update(func(t *membership.Table, now time.Time) []membership.Decision { return t.ApplyHostList(now, list) })
}

// useSeeds applies the seeds as the host list, while the platform's has never been
// read.
func (m *members) useSeeds() {
	list := make([]membership.ListedHost, len(m.seeds))
	for i, s := range m.seeds {
		list[i] = membership.ListedHost{Host: membership.Host{ID: s.ID, Info: membership.Info{
			DataCentre: s.DataCentre, Region: s.Region, FleetAddress: s.Fleet, PeerAddress: s.Peer,
		}}}
	}
	if len(list) > 0 {
		m.update(func(t *membership.Table, now time.Time) []membership.Decision { return t.ApplyHostList(now, list) })
	}
}

// isRelay reports whether this host is one of the relays of its data centre.
func (m *members) isRelay() bool {
	dc := m.self.DataCentre
	return slices.Contains(ranking.Top("config-relay/"+string(dc), m.view.Load().Serving[dc], relaysPerDataCentre), m.self.ID)
}

// leave announces to all peers that this host is leaving.
func (m *members) leave() {
	m.update(func(t *membership.Table, now time.Time) []membership.Decision { return t.Leave(now) })
	m.publishView()
}

// announceSuccessor announces to all peers that the successor now accepts the
// issuers' keys for the rest of their lifetime.
func (m *members) announceSuccessor(issuers []model.Incarnation, successor model.HostID, lifetime time.Duration) {
	m.update(func(t *membership.Table, now time.Time) []membership.Decision {
		return t.AnnounceSuccessor(now, issuers, successor, lifetime)
	})
}

// setEpoch announces a new configuration epoch to all peers.
func (m *members) setEpoch(e model.Epoch) {
	m.update(func(t *membership.Table, now time.Time) []membership.Decision { return t.SetEpoch(now, e) })
}

func (m *members) publishView() {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.table.View()
	m.view.Store(&v)
}

// dataPathFailed reports to the table that a request to the host at a fleet
// address failed.
func (m *members) dataPathFailed(address string) {
	for id, h := range m.view.Load().Hosts {
		if h.FleetAddress == address {
			m.update(func(t *membership.Table, now time.Time) []membership.Decision { return t.DataPathFailed(now, id) })
			return
		}
	}
}

// configPeers returns the hosts to pull the configuration from, those of this data
// centre first. Each host ranks them differently, which spreads the load.
func (m *members) configPeers() []configstore.Peer {
	v := m.view.Load()
	var local, remote []model.HostID
	for dc, list := range v.Serving {
		if dc == m.self.DataCentre {
			local = list
		} else {
			remote = append(remote, list...)
		}
	}
	key := "config-pull/" + string(m.self.ID)
	chosen := ranking.Top(key, slices.DeleteFunc(slices.Clone(local), func(h model.HostID) bool { return h == m.self.ID }), pullPeers)
	chosen = append(chosen, ranking.Top(key, remote, pullPeers)...)
	out := make([]configstore.Peer, len(chosen))
	for i, id := range chosen {
		out[i] = m.configPeer(v.Hosts[id].Host)
	}
	return out
}

func (m *members) configPeer(h membership.Host) configstore.Peer {
	return configstore.Peer{ID: h.ID, Local: h.DataCentre == m.self.DataCentre, Source: m.client.Source(peerOf(h))}
}

// Owners implements entry.Directory.
func (m *members) Owners(id model.PoolID, n int) []fleet.Peer {
	v := m.view.Load()
	ranked := ranking.Top(id.String(), v.Serving[id.DataCentre], n)
	list := make([]fleet.Peer, len(ranked))
	for i, h := range ranked {
		list[i] = fleet.Peer{Host: h, Address: v.Hosts[h].FleetAddress}
	}
	return list
}

// Peer implements entry.Directory.
func (m *members) Peer(id model.HostID) (fleet.Peer, model.DataCentre, bool) {
	h, ok := m.view.Load().Hosts[id]
	return fleet.Peer{Host: id, Address: h.FleetAddress}, h.DataCentre, ok
}

// Successor implements entry.Directory.
func (m *members) Successor(issuer model.Incarnation) (model.HostID, bool) {
	id, ok := m.view.Load().Successors[issuer]
	return id, ok
}

// Region implements RegionLocator.
func (m *members) Region(dc model.DataCentre) model.Region { return m.view.Load().Regions[dc] }
