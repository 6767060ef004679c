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
	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/gossip"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	metricsPrefix    = "usher_edge"
	reasonBadRequest = model.ReasonBadRequest
	// tickInterval is how often unanswered attempts are looked at.
	tickInterval = 50 * time.Millisecond
)

// Registry is where daemons find each other.
type Registry interface {
	Hosts(ctx context.Context) ([]gossip.Host, error)
	Register(ctx context.Context, h gossip.Host) error
}

// Platform is what a node needs from the platform.
type Platform struct {
	Source   catalog.Source
	Registry Registry
	Headers  Headers
	// ReadinessPath is what the balancer asks for.
	ReadinessPath string
}

// Node is one running daemon.
type Node struct {
	settings  Settings
	started   time.Time
	logger    *logrus.Logger
	log       telemetry.Logger
	lines     *lineWriter
	requests  *requestLog
	metrics   *telemetry.Metrics
	answers   *telemetry.CounterVec
	attempts  *telemetry.CounterVec
	headers   Headers
	platform  Platform
	exchanger *exchanger
	state     *state
	sizes     sizes
	keeper    *catalog.Cache
	follower  *catalog.Follower
	link      *gossip.Gossiper
	puller    *puller
	view      atomic.Pointer[catalog.View]
	// complete is closed once view has a configuration and a set of servers.
	complete chan struct{}
	leaving  atomic.Bool
	callers  net.Listener

	mu      sync.Mutex
	conns   map[*conn]struct{}
	stopped bool
}

// StartError says which part of a node could not be set up.
type StartError struct {
	Component string
	Err       error
}

// Error implements error.
func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Component, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// New assembles a node; connect returns its platform. Logs go to w. Errors are
// *StartError.
func New(s Settings, w io.Writer, connect func(telemetry.Scope, telemetry.Logger) Platform) (*Node, error) {
	n := &Node{
		settings: s, started: time.Now(), lines: newLineWriter(w), metrics: telemetry.NewMetrics(metricsPrefix),
		conns: map[*conn]struct{}{}, complete: make(chan struct{}), sizes: sizes{bytes: map[model.RouteName]float64{}},
	}
	var err error
	if n.logger, err = telemetry.NewLogger(n.lines, s.Log.Level); err != nil {
		return nil, &StartError{Component: "log", Err: err}
	}
	n.log = n.logger.WithField("host", s.Host.ID)
	n.requests = newRequestLog(n.log, s.Log.RequestsPerSecond)
	n.answers = telemetry.NewCounterVec(n.metrics.Scope, "answers", "status", "reason")
	n.attempts = telemetry.NewCounterVec(n.metrics.Scope, "attempts", "verdict", "")
	n.platform = connect(n.metrics.Scope, n.log)
	n.headers = n.platform.Headers
	n.exchanger = newExchanger(n.headers)
	n.state = newState(s, n.log)
	n.keeper = catalog.NewCache(n.apply)
	if n.link, err = gossip.Listen(s.self(), model.Incarnation(rand.Text()), peers{n}, n.log); err != nil {
		return nil, &StartError{Component: "gossip", Err: err}
	}
	n.state.observe = n.link.Publish
	n.follower = catalog.NewFollower(n.keeper, n.platform.Source, n.link.Rank, n.log)
	n.puller = newPuller(n)
	if n.callers, err = net.Listen("tcp4", s.Listeners.Caller); err != nil {
		return nil, &StartError{Component: "caller listener", Err: err}
	}
	return n, nil
}

// Run serves until ctx ends, then stops as planned: it cuts no request that was
// read.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := n.servers()
	if err != nil {
		return err
	}
	duties := append(n.follower.Duties(), n.link.Duties()...)
	duties = append(duties, servers...)
	duties = append(duties,
		kernel.Task{Name: "callers", Run: n.acceptCallers},
		kernel.Task{Name: "evidence", Run: n.tick},
		kernel.Task{Name: "registry", Run: n.register},
		kernel.Task{Name: "gauges", Run: n.reportGauges},
		kernel.Task{Name: "pull", Run: n.puller.run},
		kernel.Task{Name: "log", Run: n.lines.run},
		kernel.Task{Name: "stop", Run: func(context.Context) error {
			<-ctx.Done()
			n.drain()
			stop()
			return nil
		}})
	n.log.WithFields(telemetry.Fields{"event": "started", "caller": n.settings.Listeners.Caller, "data_centre": n.settings.Host.DataCentre}).Info("daemon started")
	err = kernel.RunTasks(work, duties...)
	n.lines.flush()
	return err
}

// apply puts a new view in force.
func (n *Node) apply(v *catalog.View) {
	n.state.setServers(v)
	before := n.view.Swap(v)
	if v.Complete() && (before == nil || !before.Complete()) {
		close(n.complete)
	}
}

func (n *Node) limits() catalog.Limits {
	if v := n.view.Load(); v != nil && v.Config != nil {
		return v.Config.Limits
	}
	return defaultLimits
}

func (n *Node) acceptCallers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.callers.Close() })
	defer stop()
	for {
		socket, err := n.callers.Accept()
		if err != nil {
			if ctx.Err() != nil || n.isStopped() {
				<-ctx.Done()
				return nil
			}
			n.log.WithField("event", "accept_failed").WithError(err).Warn("a connection could not be accepted")
			time.Sleep(tickInterval)
			continue
		}
		go n.serveConn(socket)
	}
}

func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.state.tick()
			for _, id := range n.keeper.ExpireLapsed(now) {
				n.log.WithFields(telemetry.Fields{"event": "server_lapsed", "server": id}).Info("the entry of a backend server did not come back")
			}
		}
	}
}

func (n *Node) addConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c.stopping = n.stopped
	n.conns[c] = struct{}{}
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

// peers implements gossip.Handler.
type peers struct{ *Node }

// State implements gossip.Handler.
func (p peers) State() gossip.State {
	epoch, revision := p.keeper.Versions()
	config, servers := p.keeper.Ages(time.Now())
	return gossip.State{Leaving: p.leaving.Load(), Epoch: epoch, Revision: uint64(revision), ConfirmedAge: max(config, servers)}
}

// transitTime is added to the age that a heartbeat tells.
const transitTime = 20 * time.Millisecond

// PeerState implements gossip.Handler.
func (p peers) PeerState(h gossip.Host, s gossip.State) {
	epoch, revision := p.keeper.Versions()
	if s.Epoch > epoch || catalog.Revision(s.Revision) > revision {
		p.puller.want(h.Address)
		return
	}
	p.keeper.Confirm(s.Epoch, catalog.Revision(s.Revision), time.Now().Add(-s.ConfirmedAge-transitTime))
}

// PeerObservation implements gossip.Handler.
func (p peers) PeerObservation(h model.HostID, o *gen.Observation) { p.state.observed(h, o) }

// Outstanding implements gossip.Handler.
func (p peers) Outstanding() []uint64 { return p.state.outstanding() }

// PeerOutstanding implements gossip.Handler.
func (p peers) PeerOutstanding(h model.HostID, attempts []uint64) {
	p.state.peerOutstanding(h, attempts)
}

// PeerGone implements gossip.Handler.
func (p peers) PeerGone(h model.HostID) { p.state.hostGone(h) }

// LocalLoads implements gossip.Handler.
func (p peers) LocalLoads() []*gen.ServerLoad { return p.state.loads() }

// RemoteLoads implements gossip.Handler.
func (p peers) RemoteLoads(from model.DataCentre, loads []*gen.ServerLoad) {
	p.state.loaded(from, loads)
}
