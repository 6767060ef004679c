package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/owner"
	"github.com/agateusher/agateusher/peerrpc"
	"github.com/agateusher/agateusher/telemetry"
)

// Run serves until ctx ends, then shuts down gracefully: requests in progress
// may complete within the stop timeout.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return err
	}
	d.members.refreshHostList(ctx)
	taskCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	tasks := append(d.follower.Tasks(),
		kernel.Task{Name: "membership", Run: d.members.run},
		kernel.Task{Name: "host-list", Run: d.members.runHostList},
		kernel.Task{Name: "peer", Run: d.servePeers},
		kernel.Task{Name: "events", Run: d.bus.Run},
		kernel.Task{Name: "demand", Run: d.runDemand},
		d.flusher.Task(),
		kernel.Task{Name: "stop", Run: func(taskCtx context.Context) error {
			select {
			case <-ctx.Done():
				d.drain()
				stopTasks()
			case <-taskCtx.Done():
			}
			return nil
		}})
	for _, s := range d.httpServers {
		tasks = append(tasks, kernel.Task{Name: s.name, Run: s.run})
	}
	d.log.WithFields(telemetry.Fields{"event": "started", "incarnation": d.incarnation, "caller": d.settings.Listeners.Caller}).Info("daemon started")
	err := kernel.RunTasks(taskCtx, tasks...)
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
		d.log.WithField("event", "trace_flush_failed").WithError(err).Warn("cannot flush the trace exporter at shutdown; spans were lost")
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
		{"fleet", l.Fleet, owner.Handler(d.handover, owner.HandlerOptions{
			Secrets: secrets, MaxBodyBytes: lim.MaxRequestBytes, Propagator: d.tracing.Propagator,
		})},
		{"caller", l.Caller, d.entry},
	} {
		s, err := newHTTPServer(x.name, x.address, x.handler, lim)
		if err != nil {
			return &StartError{Part: x.name + " listener", Err: err}
		}
		d.httpServers = append(d.httpServers, s)
	}
	peerListener, err := net.Listen("tcp", l.Peer)
	if err != nil {
		return &StartError{Part: "peer listener", Err: err}
	}
	d.peerListener = peerListener
	return nil
}

func (d *Daemon) servePeers(ctx context.Context) error {
	service := &peerService{Follower: d.follower, members: d.members, handover: d.handover}
	return peerrpc.NewServer(secretBytes(d.settings.Fleet.Secrets), service, d.metrics.Scope).Serve(ctx, d.peerListener)
}
