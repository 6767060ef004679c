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

// Run serves until ctx ends, then stops as planned: it cuts no request.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return err
	}
	d.members.refresh(ctx)
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	duties := append(d.follower.Duties(),
		kernel.Task{Name: "membership", Run: d.members.run},
		kernel.Task{Name: "host-list", Run: d.members.runHostList},
		kernel.Task{Name: "peer", Run: d.servePeers},
		kernel.Task{Name: "events", Run: d.bus.Run},
		kernel.Task{Name: "demand", Run: d.runDemand},
		d.flusher.Task(),
		kernel.Task{Name: "stop", Run: func(work context.Context) error {
			select {
			case <-ctx.Done():
				d.drain()
				stopWork()
			case <-work.Done():
			}
			return nil
		}})
	for _, s := range d.servers {
		duties = append(duties, kernel.Task{Name: s.name, Run: s.run})
	}
	d.log.WithFields(telemetry.Fields{"event": "started", "incarnation": d.incarnation, "caller": d.settings.Listeners.Caller}).Info("daemon started")
	err := kernel.RunTasks(work, duties...)
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
			Secrets: secrets, MaxBodyBytes: lim.MaxRequestBytes, Propagator: d.tracing.Propagator,
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
