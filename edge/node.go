package edge

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/split"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/gossip"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	metricsPrefix    = "usher_edge"
	reasonBadRequest = model.ReasonBadRequest
	// tickInterval is the interval between checks of unanswered attempts and of
	// lapsed server entries, and the pause after a failed accept.
	tickInterval = 50 * time.Millisecond
	// settleTime is how long after its start a daemon does not become the relay. By
	// then it has read the registry and heard from the other daemons.
	settleTime = 1500 * time.Millisecond
)

// Registry lists the daemons of the deployment.
type Registry interface {
	// Hosts returns the registered daemons and the era of the store's answer. The list may
	// be seconds old.
	Hosts(ctx context.Context) ([]gossip.Host, catalog.Era, error)
	Register(ctx context.Context, h gossip.Host) error
}

// Platform holds the adapters to the platform that a node runs on.
type Platform struct {
	Source   catalog.Source
	Registry Registry
	Headers  Headers
	// ReadinessPath is the path that the platform's load balancer requests as its
	// health check.
	ReadinessPath string
}

// Node is one running daemon.
type Node struct {
	settings       Settings
	started        time.Time
	logger         *logrus.Logger
	log            telemetry.Logger
	logWriter      *asyncWriter
	requestLog     *requestLog
	metrics        *telemetry.Metrics
	localResponses *telemetry.CounterVec
	panics         *telemetry.CounterVec
	attempts       *telemetry.CounterVec
	permitRequests *telemetry.CounterVec
	permitsIssued  *telemetry.CounterVec
	held           *telemetry.CounterVec
	headers        Headers
	platform       Platform
	exchanger      *exchanger
	serverState    *serverState
	sizeEstimator  sizeEstimator
	bodyMemory     *bodyMemory
	quotas         *quotas
	keys           *keyState
	// seeds are the seeds in force.
	seeds atomic.Pointer[[]string]
	// splits distribute the requests of routes with several services.
	splits   split.Sequences
	cache    *catalog.Cache
	follower *catalog.Follower
	gossiper *gossip.Gossiper
	puller   *puller
	content  *contentServer
	view     atomic.Pointer[catalog.View]
	// registry is the newest list of the registry that is known; nil if there is none.
	registry atomic.Pointer[registryList]
	// eraChanged has an element if the store came back from an older copy and this daemon's
	// registration was not checked since.
	eraChanged chan struct{}
	// viewComplete is closed once view has a configuration and a set of servers.
	viewComplete chan struct{}
	// draining is set from the start of a graceful shutdown.
	draining atomic.Bool
	// stopTimes is set shortly after draining.
	stopTimes      atomic.Pointer[stopTimes]
	callerListener net.Listener

	mu      sync.Mutex
	conns   map[*conn]struct{}
	stopped bool // no further connections are accepted
}

// StartError reports the component of a node that could not be set up.
type StartError struct {
	Component string
	Err       error
}

// Error implements error.
func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Component, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// New creates a node and opens its gossip and caller listeners. connect returns the
// platform of the node. Logs are written to w. Errors are of type *StartError.
func New(s Settings, w io.Writer, connect func(telemetry.Scope, telemetry.Logger) Platform) (*Node, error) {
	n := &Node{
		settings: s, started: time.Now(), logWriter: newAsyncWriter(w), metrics: telemetry.NewMetrics(metricsPrefix),
		conns: map[*conn]struct{}{}, viewComplete: make(chan struct{}), eraChanged: make(chan struct{}, 1), sizeEstimator: sizeEstimator{meanResponseBytes: map[model.RouteName]float64{}},
	}
	var err error
	if n.logger, err = telemetry.NewLogger(n.logWriter, s.Log.Level); err != nil {
		return nil, &StartError{Component: "log", Err: err}
	}
	n.log = n.logger.WithField("host", s.Host.ID)
	n.requestLog = newRequestLog(n.log, s.Log.RequestsPerSecond)
	n.localResponses = telemetry.NewCounterVec(n.metrics.Scope, "answers", "status", "reason")
	n.attempts = telemetry.NewCounterVec(n.metrics.Scope, "attempts", "verdict", "")
	n.permitRequests = telemetry.NewCounterVec(n.metrics.Scope, "permit_requests", "result", "")
	n.permitsIssued = telemetry.NewCounterVec(n.metrics.Scope, "permits_issued", "result", "")
	n.held = telemetry.NewCounterVec(n.metrics.Scope, "held_requests", "result", "")
	n.panics = telemetry.NewCounterVec(n.metrics.Scope, "panics", "unit", "")
	n.platform = connect(n.metrics.Scope, n.log)
	n.headers = n.platform.Headers
	n.exchanger = newExchanger(n.headers, responseBufferBytes(s.Host.LinkMbps),
		newServerConns(s.MemoryMiB, telemetry.NewCounterVec(n.metrics.Scope, "server_connections", "use", "")))
	n.bodyMemory = newBodyMemory(s.memoryBytes())
	n.seeds.Store(&s.Seeds)
	n.keys = newKeyState(s.Workspaces.Revocation)
	if err := n.metrics.Register(newWorkspaceCollector(n.keys)); err != nil {
		return nil, &StartError{Component: "metrics", Err: err}
	}
	n.serverState = newServerState(s, n.log)
	n.quotas = newQuotas(s, n.metrics.Scope, n.log, n.contain)
	n.cache = catalog.NewCache(n.apply)
	if n.gossiper, err = gossip.Listen(s.localHost(), model.Incarnation(rand.Text()), gossipHandler{n}, n.log); err != nil {
		return nil, &StartError{Component: "gossip", Err: err}
	}
	n.serverState.publish = n.gossiper.Publish
	n.exchanger.mayReceive = n.serverState.mayReceive
	n.exchanger.observeSignals = func(server balance.Server, leaving bool, pause time.Duration) {
		n.serverState.observeSignals(server, leaving, pause, n.gossiper.AnnounceLeaving)
	}
	n.quotas.gossiper = n.gossiper
	n.gossiper.EnableQuotas(n.quotas)
	n.follower = catalog.NewFollower(n.cache, n.platform.Source, n.role, s.bootstrapDelay(), n.log)
	n.follower.OnEvent(n.gossiper.AnnounceAll)
	eraChanges := telemetry.NewCounterVec(n.metrics.Scope, "store_era_changes", "learned_from", "")
	n.follower.OnEraChange(func(from string) {
		eraChanges.Inc(from, "")
		select {
		case n.eraChanged <- struct{}{}:
		default:
		}
	})
	n.puller = newPuller(n)
	n.content = newContentServer(s.Host.LinkMbps, n.metrics.Scope)
	if n.callerListener, err = net.Listen("tcp4", s.Listeners.Caller); err != nil {
		return nil, &StartError{Component: "caller listener", Err: err}
	}
	return n, nil
}

// Run serves until ctx is cancelled, then shuts down gracefully: requests that were
// read are answered.
func (n *Node) Run(ctx context.Context) error {
	taskCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	listenerTasks, err := n.listenerTasks()
	if err != nil {
		return err
	}
	tasks := append(n.follower.Tasks(), n.gossiper.Tasks()...)
	tasks = append(tasks, listenerTasks...)
	tasks = append(tasks,
		kernel.Task{Name: "callers", Run: n.acceptConnections},
		kernel.Task{Name: "evidence", Run: n.tick},
		kernel.Task{Name: "quota", Run: n.quotas.run},
		kernel.Task{Name: "registry", Run: n.runRegistration},
		kernel.Task{Name: "gauges", Run: n.runGauges},
		kernel.Task{Name: "pull", Run: n.puller.run},
		kernel.Task{Name: "bootstrap", Run: n.bootstrap},
		kernel.Task{Name: "log", Run: n.logWriter.run},
		kernel.Task{Name: "stop", Run: func(context.Context) error {
			<-ctx.Done()
			n.drain()
			stopTasks()
			return nil
		}})
	n.log.WithFields(telemetry.Fields{"event": "started", "caller": n.settings.Listeners.Caller, "data_centre": n.settings.Host.DataCentre}).Info("daemon started")
	err = kernel.RunTasks(taskCtx, tasks...)
	n.logWriter.flush()
	return err
}

// apply makes a new view the current one.
func (n *Node) apply(v *catalog.View) {
	n.serverState.setServers(v)
	n.quotas.apply(v.Config)
	n.keys.replaceTable(n.view.Load(), v)
	idleTimeout := n.limits().IdleTimeout
	before := n.view.Swap(v)
	if n.limits().IdleTimeout != idleTimeout {
		n.wakeIdleConns()
	}
	if n.gossiper.Role().Rank == 0 {
		n.gossiper.Announce()
	}
	if v.Complete() && (before == nil || !before.Complete()) {
		close(n.viewComplete)
	}
}

// HandleViolations makes the process count and log broken invariants, with the
// metrics and the log of this node, instead of panicking.
func (n *Node) HandleViolations() {
	violations := telemetry.NewCounterVec(n.metrics.Scope, "invariant_violations", "invariant", "")
	invariant.SetHandler(func(v invariant.Violation) {
		violations.Inc(string(v.Name), "")
		n.log.WithFields(telemetry.Fields{"event": "invariant_violated", "invariant": v.Name}).Error(v.Detail)
	})
}

// contain runs one unit of work and keeps a panic in it from ending the process. It
// returns false after a panic.
func (n *Node) contain(unit string, f func()) bool {
	return telemetry.Contain(n.log, n.panics, unit, f)
}

// settled reports whether this daemon may follow the store as the relay. One that has
// just started does not know yet whether another one does, unless it found nobody with
// content and read the store.
func (n *Node) settled() bool {
	return n.follower.HasRead() || time.Since(n.started) >= settleTime
}

// role returns this daemon's part in following the store.
func (n *Node) role() catalog.Role {
	r := n.gossiper.Role()
	return catalog.Role{
		Rank: r.Rank, Order: r.Order, Relay: r.RegionRelay && n.settled(), First: r.RegionRelay,
		Listed: r.Listed, Known: r.Known, Alone: r.Alone, PeerReading: r.PeerReading, PeerContent: r.PeerContent,
	}
}

func (n *Node) limits() catalog.Limits {
	if v := n.view.Load(); v != nil && v.Config != nil {
		return v.Config.Limits
	}
	return defaultLimits
}

func (n *Node) acceptConnections(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.callerListener.Close() })
	defer stop()
	for {
		socket, err := n.callerListener.Accept()
		if err != nil {
			if ctx.Err() != nil || n.isStopped() {
				<-ctx.Done()
				return nil
			}
			n.log.WithField("event", "accept_failed").WithError(err).Warn("cannot accept a connection")
			time.Sleep(tickInterval)
			continue
		}
		go n.serveConn(socket)
	}
}

func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	clock, lastCheck := newSuspensionClock(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if now.Sub(lastCheck) >= suspensionCheckInterval {
				lastCheck = now
				if gap := clock.suspended(); gap > 0 {
					n.contain("suspension", func() { n.afterSuspension(gap) })
				}
			}
			n.contain("tick", func() { n.runTick(now) })
		}
	}
}

func (n *Node) runTick(now time.Time) {
	n.tickKeys()
	n.serverState.tick()
	n.serverState.releaseHeld(n.draining.Load())
	n.exchanger.conns.expire(now)
	for _, id := range n.cache.ExpireLapsed(now) {
		n.log.WithFields(telemetry.Fields{"event": "server_lapsed", "server": id}).Info("removed a backend server whose entry did not come back")
	}
}

func (n *Node) addConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c.stopping = n.stopped
	n.conns[c] = struct{}{}
}

// wakeIdleConns applies a changed idle timeout to the connections that wait for a request.
func (n *Node) wakeIdleConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.wakeIdle()
	}
}

func (n *Node) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *Node) isStopped() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopped
}

// gossipHandler implements gossip.Handler.
type gossipHandler struct{ *Node }

// State implements gossip.Handler.
func (p gossipHandler) State() gossip.State {
	v := p.cache.Versions()
	r := p.cache.Report(time.Now())
	return gossip.State{
		Leaving: p.draining.Load(), Epoch: v.Epoch, Revision: uint64(v.Revision), ConfirmedAge: p.exportedAge(r.Age), Served: r.Served,
		Reading: p.follower.Fetching() || p.puller.crossing.Load(), Settling: !p.settled(), StoreFailing: p.follower.StoreFailing(),
	}
}

// heartbeatTransitTime is added to the age in a heartbeat, to account for the time
// that the heartbeat took to arrive.
const heartbeatTransitTime = 20 * time.Millisecond

// PeerState implements gossip.Handler.
func (p gossipHandler) PeerState(h gossip.Host, s gossip.State) {
	if s.Revision != 0 {
		p.cache.ObservePeer(time.Now(), catalog.PeerReport{Age: s.ConfirmedAge, Served: s.Served}, h.DataCentre == p.settings.Host.DataCentre)
	}
	own, peer := p.cache.Versions(), catalog.Versions{Epoch: s.Epoch, Revision: catalog.Revision(s.Revision)}
	p.follower.ObservePeerEra(peer.Revision.Era())
	if peer.Epoch > own.Epoch || peer.Revision > own.Revision {
		p.puller.enqueue(h.Address)
		return
	}
	p.cache.Confirm(peer, time.Now().Add(-s.ConfirmedAge-heartbeatTransitTime))
}

// PeerObservation implements gossip.Handler.
func (p gossipHandler) PeerObservation(h model.HostID, o *gen.Observation) {
	p.serverState.applyPeerObservation(h, o)
}

// Outstanding implements gossip.Handler.
func (p gossipHandler) Outstanding() []uint64 { return p.serverState.localOutstanding() }

// PeerOutstanding implements gossip.Handler.
func (p gossipHandler) PeerOutstanding(h model.HostID, attempts []uint64) {
	p.serverState.retainPeerAttempts(h, attempts)
}

// PeerGone implements gossip.Handler.
func (p gossipHandler) PeerGone(h model.HostID) { p.serverState.removeHost(h) }

// LocalLoads implements gossip.Handler.
func (p gossipHandler) LocalLoads() []*gen.ServerLoad { return p.serverState.localLoads() }

// RemoteLoads implements gossip.Handler.
func (p gossipHandler) RemoteLoads(from model.DataCentre, loads []*gen.ServerLoad) {
	p.serverState.applyRemoteLoads(from, loads)
}
