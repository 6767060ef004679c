package daemon

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"maps"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/entry"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/modules/detector"
	"github.com/agateusher/agateusher/modules/dispatch"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/owner"
	"github.com/agateusher/agateusher/peerrpc"
	"github.com/agateusher/agateusher/report"
	"github.com/agateusher/agateusher/telemetry"

	_ "github.com/agateusher/agateusher/modules/exporter" // registers the trace exporters
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout of connections to daemons and backend servers. It is below
	// the idle limits that servers commonly use, so that a reused connection is
	// rarely one that the other side is closing.
	idleTimeout = 15 * time.Second
	// fleetIdleConns is the number of idle connections kept to one daemon.
	fleetIdleConns = 64
	metricsPrefix  = "usherd"
)

// Daemon is one running usherd.
type Daemon struct {
	settings    Settings
	incarnation model.Incarnation
	startedAt   time.Time
	logger      *logrus.Logger
	log         telemetry.Logger
	metrics     *telemetry.Metrics
	tracing     *telemetry.Tracing
	bus         *kernel.Bus

	store    objectapi.Store
	members  *members
	peers    *peerrpc.Client
	keys     *handover
	holder   snapshot.Holder
	follower *configstore.Follower
	live     liveCatalog
	owner    *owner.Owner
	entry    *entry.Entry
	client   *fleet.Client

	dispatcher dispatch.Dispatcher

	observer *observer
	flusher  *report.Flusher
	leaving  atomic.Bool
	servers  []*listener

	peerSocket net.Listener

	compileMu sync.Mutex
	regions   map[model.DataCentre]model.Region // that the catalogue was compiled with
}

// StartError says which part of a daemon could not be set up.
type StartError struct {
	Part string
	Err  error
}

// Error implements error.
func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// New assembles a daemon. Logs go to w. Errors are *StartError.
func New(s Settings, w io.Writer) (*Daemon, error) {
	logger, err := telemetry.NewLogger(w, s.Log.Level)
	if err != nil {
		return nil, &StartError{Part: "log", Err: err}
	}
	d := &Daemon{settings: s, incarnation: model.Incarnation(rand.Text()), startedAt: time.Now(), logger: logger, metrics: telemetry.NewMetrics(metricsPrefix)}
	d.log = logger.WithField("host", s.Host.ID)
	d.observer = &observer{changes: newChangeLog(), recorder: report.NewRecorder(report.RecorderOptions{
		Host: s.Host.ID, Incarnation: d.incarnation, Started: d.startedAt,
	})}
	for _, part := range []struct {
		name string
		set  func() error
	}{
		{"tracing", d.setTracing}, {"events", d.setBus},
		{"platform", d.setPlatform}, {"roles", d.setRoles},
	} {
		if err := part.set(); err != nil {
			return nil, &StartError{Part: part.name, Err: err}
		}
	}
	d.setFollower()
	d.flusher = report.NewFlusher(report.FlusherOptions{Recorder: d.observer.recorder, Store: d.store, Log: d.log})
	return d, nil
}

// HandleViolations makes this daemon count and log broken invariants instead of
// panicking. It is process-wide.
func (d *Daemon) HandleViolations() {
	invariant.SetHandler(func(v invariant.Violation) {
		d.metrics.Scope.Tagged(map[string]string{"invariant": string(v.Name)}).Counter("invariant_violations").Inc(1)
		d.log.WithFields(telemetry.Fields{"event": "invariant_violated", "invariant": v.Name}).Error(v.Detail)
	})
}

func (d *Daemon) setTracing() error {
	m, err := kernel.Load(kernel.ModuleID(d.settings.Trace.Module), d.settings.Trace.Options)
	if err != nil {
		return err
	}
	exporter, ok := m.(telemetry.Exporter)
	if !ok {
		return &kernel.ModuleError{ID: m.ModuleInfo().ID, Step: "provision", Err: kernel.ErrUnknownModule}
	}
	d.tracing, err = telemetry.NewTracing(context.Background(), "usherd", string(d.settings.Host.ID), exporter)
	return err
}

func (d *Daemon) setBus() (err error) {
	if d.bus, err = kernel.NewBus(); err != nil {
		return err
	}
	d.handleEvents()
	return nil
}

func (d *Daemon) setPlatform() error {
	client, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: d.settings.Platform.URL, Timeout: d.settings.Platform.Timeout.Std()})
	if err != nil {
		return err
	}
	d.store = client
	host, l := d.settings.Host, d.settings.Listeners
	d.peers = peerrpc.NewClient(secretBytes(d.settings.Fleet.Secrets), d.metrics.Scope)
	d.members = newMembers(membership.Host{ID: host.ID, Info: membership.Info{
		DataCentre: host.DataCentre, Region: host.Region, FleetAddress: l.Fleet, PeerAddress: l.Peer,
	}}, d.incarnation, d.store, d.peers, d.log, d.metrics.Scope)
	d.members.seeds = d.settings.Fleet.Seeds
	d.members.changed = d.hostChanged
	return nil
}

func (d *Daemon) setRoles() error {
	m, err := kernel.Load(kernel.ModuleID(d.settings.Detector.Module), d.settings.Detector.Options)
	if err != nil {
		return err
	}
	factory, ok := m.(detector.Factory)
	if !ok {
		return &kernel.ModuleError{ID: m.ModuleInfo().ID, Step: "provision", Err: kernel.ErrUnknownModule}
	}
	if d.dispatcher, err = loadDispatcher(d.settings.Dispatch); err != nil {
		return err
	}
	d.owner = owner.New(d.ownerOptions(factory))
	d.client = &fleet.Client{
		Transport: evidenceTransport{
			RoundTripper: fleet.NewTransport(fleet.TransportOptions{DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxIdlePerHost: fleetIdleConns}),
			failed:       d.members.dataPathFailed,
		},
		Secrets:    secretBytes(d.settings.Fleet.Secrets),
		Propagator: d.tracing.Propagator,
		MaxBody:    d.settings.Limits.MaxResponseBytes,
	}
	d.keys = newHandover(d.owner, d.settings.Host.ID, d.incarnation, d.members, d.client, d.log)
	d.entry = entry.New(d.entryOptions())
	return nil
}

func loadDispatcher(s ModuleSettings) (dispatch.Dispatcher, error) {
	m, err := kernel.Load(kernel.ModuleID(s.Module), s.Options)
	if err != nil {
		return nil, err
	}
	dispatcher, ok := m.(dispatch.Dispatcher)
	if !ok {
		return nil, &kernel.ModuleError{ID: m.ModuleInfo().ID, Step: "provision", Err: kernel.ErrUnknownModule}
	}
	return dispatcher, nil
}

func (d *Daemon) ownerOptions(factory detector.Factory) owner.Options {
	k, l := d.settings.Keys, d.settings.Limits
	return owner.Options{
		Host: d.settings.Host.ID, Incarnation: d.incarnation, Catalog: &d.live, NewDetector: factory.NewDetector,
		Transport: fleet.NewTransport(fleet.TransportOptions{
			DialTimeout: dialTimeout, IdleTimeout: idleTimeout,
			MaxConnsPerHost: l.ServerConnections, MaxIdlePerHost: l.ServerConnections,
		}),
		Tracing: d.tracing, Log: d.log, Scope: d.metrics.Scope, Observer: d.observer,
		KeySecrets: secretBytes(k.Secrets),
		KeyLimits: idempotency.Limits{
			Lifetime: k.Lifetime.Std(), MaxKeys: k.MaxKeys, MaxBytes: k.MaxBytes, MaxRecordBytes: k.MaxRecordBytes,
		},
		MaxResponse: l.MaxResponseBytes,
	}
}

func (d *Daemon) entryOptions() entry.Options {
	return entry.Options{
		Host: d.settings.Host.ID, Catalog: d.live.entryCatalog, Directory: d.directory(), Local: d.keys,
		Client:  d.client,
		Tracing: d.tracing, Log: d.log, Scope: d.metrics.Scope, MaxBody: d.settings.Limits.MaxRequestBytes,
		Observer: d.observer,
	}
}

// directory returns what this daemon knows of other hosts, seen through the
// chosen way of dispatch.
func (d *Daemon) directory() entry.Directory {
	self := fleet.Peer{Host: d.settings.Host.ID, Address: d.settings.Listeners.Fleet}
	return d.dispatcher.Directory(d.members, self)
}

func (d *Daemon) setFollower() {
	d.follower = configstore.NewFollower(configstore.FollowerOptions{
		Store: configstore.NewStore(d.store), Holder: &d.holder,
		Rand:    mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		IsRelay: d.members.isRelay,
		Peers:   d.members.peers,
		OnEpoch: d.configured,
		Logger:  d.log, Scope: d.metrics.Scope,
	})
	d.members.notice = d.follower.Notice
}

// hostChanged reacts to a change of the membership view.
func (d *Daemon) hostChanged(x membership.StateChanged) {
	d.recompile()
	if x.To == 0 {
		return
	}
	if err := kernel.Publish(d.bus, TopicHost, HostChanged{Host: x.Host, From: x.From.String(), To: x.To.String()}); err != nil {
		d.log.WithField("event", "event_lost").WithError(err).Warn("control event could not be published")
	}
}

// configured puts a new snapshot in force in both roles.
func (d *Daemon) configured(a configstore.Applied) {
	if err := d.compile(a.Snapshot); err != nil {
		// The operator service validates changes; a snapshot that does not
		// compile is kept out, so that the last good one goes on.
		d.log.WithFields(telemetry.Fields{"event": "configuration_refused", "epoch": a.Snapshot.Epoch}).WithError(err).Error("configuration does not compile")
		return
	}
	d.owner.Reconfigure()
	d.members.setEpoch(a.Snapshot.Epoch)
	d.log.WithFields(telemetry.Fields{"event": "configuration_applied", "epoch": a.Snapshot.Epoch, "confirmed": a.Confirmed}).Info("configuration is in force")
	if err := kernel.Publish(d.bus, TopicConfiguration, ConfigurationApplied{Epoch: a.Snapshot.Epoch, Confirmed: a.Confirmed}); err != nil {
		d.log.WithField("event", "event_lost").WithError(err).Warn("control event could not be published")
	}
}

// compile puts the catalogue of a snapshot in force.
func (d *Daemon) compile(s *snapshot.Snapshot) error {
	d.compileMu.Lock()
	defer d.compileMu.Unlock()
	d.regions = d.members.view.Load().Regions
	c, err := compile(s, d.settings.Host, d.members)
	if err == nil {
		d.live.current.Store(c)
	}
	return err
}

// recompile renews the catalogue if the regions of the data centres, which
// order the pools, are known better than when it was compiled.
func (d *Daemon) recompile() {
	d.compileMu.Lock()
	defer d.compileMu.Unlock()
	regions := d.members.view.Load().Regions
	s, current := d.holder.Load(), d.live.current.Load()
	if current == nil || s == nil || s.Epoch != current.epoch || maps.Equal(regions, d.regions) {
		return
	}
	if c, err := compile(s, d.settings.Host, d.members); err == nil {
		d.regions = regions
		d.live.current.Store(c)
	}
}

// TopicConfiguration carries ConfigurationApplied.
const TopicConfiguration kernel.Topic = "configuration.applied"

// ConfigurationApplied says that an epoch is in force on this host.
type ConfigurationApplied struct {
	Epoch     model.Epoch `json:"epoch"`
	Confirmed bool        `json:"confirmed"`
}

// Run serves until ctx ends, then stops as planned: it cuts no request.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return err
	}
	d.members.refresh(ctx)
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	duties := append(d.follower.Duties(),
		kernel.Duty{Name: "membership", Run: d.members.run},
		kernel.Duty{Name: "host-list", Run: d.members.runHostList},
		kernel.Duty{Name: "peer", Run: d.servePeers},
		kernel.Duty{Name: "events", Run: d.bus.Run},
		kernel.Duty{Name: "demand", Run: d.runDemand},
		d.flusher.Duty(),
		kernel.Duty{Name: "stop", Run: func(work context.Context) error {
			select {
			case <-ctx.Done():
				d.drain()
				stopWork()
			case <-work.Done():
			}
			return nil
		}})
	for _, s := range d.servers {
		duties = append(duties, kernel.Duty{Name: s.name, Run: s.run})
	}
	d.log.WithFields(telemetry.Fields{"event": "started", "incarnation": d.incarnation, "caller": d.settings.Listeners.Caller}).Info("daemon started")
	err := kernel.RunDuties(work, duties...)
	d.close()
	return err
}

func (d *Daemon) close() {
	d.entry.Close()
	d.peers.Close()
	d.owner.Close()
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	if err := d.tracing.Shutdown(ctx); err != nil {
		d.log.WithField("event", "trace_flush_failed").WithError(err).Warn("spans were lost at the stop")
	}
	_ = d.metrics.Close()
	d.log.WithField("event", "stopped").Info("daemon stopped")
}

func (d *Daemon) listen() error {
	l, lim := d.settings.Listeners, d.settings.Limits
	secrets := fleet.Secrets(secretBytes(d.settings.Fleet.Secrets))
	for _, x := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"admin", l.Admin, d.admin()},
		{"fleet", l.Fleet, owner.Handler(d.keys, owner.HandlerOptions{
			Secrets: secrets, MaxBody: lim.MaxRequestBytes, Propagator: d.tracing.Propagator,
		})},
		{"caller", l.Caller, d.entry},
	} {
		s, err := newListener(x.name, x.address, x.handler, lim)
		if err != nil {
			return &StartError{Part: x.name + " listener", Err: err}
		}
		d.servers = append(d.servers, s)
	}
	socket, err := net.Listen("tcp", l.Peer)
	if err != nil {
		return &StartError{Part: "peer listener", Err: err}
	}
	d.peerSocket = socket
	return nil
}

func (d *Daemon) servePeers(ctx context.Context) error {
	service := &peerService{Follower: d.follower, members: d.members, keys: d.keys}
	return peerrpc.NewServer(secretBytes(d.settings.Fleet.Secrets), service, d.metrics.Scope).Serve(ctx, d.peerSocket)
}
