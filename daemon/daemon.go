package daemon

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

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/entry"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/kernel"
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
	// idleTimeout closes idle connections to daemons and backend servers. It is
	// below the idle limits that servers commonly use, so that a reused
	// connection is rarely one that the server is closing.
	idleTimeout = 15 * time.Second
	// maxIdleFleetConns is the number of idle connections kept open to one daemon.
	maxIdleFleetConns = 64
	metricsPrefix     = "usherd"
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
	handover *handover
	holder   snapshot.Holder
	follower *configstore.Follower
	live     liveCatalog
	owner    *owner.Owner
	entry    *entry.Entry
	client   *fleet.Client

	dispatcher dispatch.Dispatcher

	observer    *observer
	flusher     *report.Flusher
	leaving     atomic.Bool
	httpServers []*httpServer

	peerListener net.Listener

	compileMu       sync.Mutex
	compiledRegions map[model.DataCentre]model.Region // regions known at the last compilation of the catalogue
}

// StartError reports the part of a daemon that could not be set up.
type StartError struct {
	Part string
	Err  error
}

// Error implements error.
func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// New assembles a daemon that logs to w. Errors are *StartError.
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

// HandleViolations makes the process count and log broken invariants, with the
// metrics and the log of this daemon, instead of panicking.
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
	d.members.onStateChanged = d.hostChanged
	return nil
}
