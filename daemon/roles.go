package daemon

import (
	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/entry"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/internal/stricthttp"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/modules/detector"
	"github.com/agateusher/agateusher/modules/dispatch"
	"github.com/agateusher/agateusher/owner"
)

// maxForwardedHeadBytes bounds the head of a response that another daemon forwards. Each of
// the server's fields has a prefix there, which at most doubles a short one.
const maxForwardedHeadBytes = 3 * stricthttp.MaxHeadBytes

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
		Transport: failureReportingTransport{
			RoundTripper: fleet.NewTransport(fleet.TransportOptions{
				DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxIdlePerHost: maxIdleFleetConns, MaxHeadBytes: maxForwardedHeadBytes,
			}),
			onFailure: d.members.dataPathFailed,
		},
		Secrets:    secretBytes(d.settings.Fleet.Secrets),
		Propagator: d.tracing.Propagator,
		MaxBody:    d.settings.Limits.MaxResponseBytes,
	}
	d.handover = newHandover(d.owner, d.settings.Host.ID, d.incarnation, d.members, d.client, d.log)
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
		MaxResponseBytes: l.MaxResponseBytes,
	}
}

func (d *Daemon) entryOptions() entry.Options {
	return entry.Options{
		Host: d.settings.Host.ID, Catalog: d.live.entryCatalog, Directory: d.directory(), Local: d.handover,
		Client:  d.client,
		Tracing: d.tracing, Log: d.log, Scope: d.metrics.Scope, MaxBody: d.settings.Limits.MaxRequestBytes,
		Observer: d.observer,
	}
}

// directory returns the membership view of the other hosts, as filtered by the
// configured dispatch module.
func (d *Daemon) directory() entry.Directory {
	self := fleet.Peer{Host: d.settings.Host.ID, Address: d.settings.Listeners.Fleet}
	return d.dispatcher.Directory(d.members, self)
}
