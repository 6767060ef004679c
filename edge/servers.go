package edge

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/agateusher/agateusher/gossip"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

// Paths between daemons.
const (
	catalogPath = "/catalog"
	hostsPath   = "/hosts"
)

// serverHeaderTimeout bounds the reading of a head on our own listeners.
const serverHeaderTimeout = 2 * time.Second

// servers opens the listeners for the balancer, for operators and for other
// daemons.
func (n *Node) servers() ([]kernel.Task, error) {
	ready := chi.NewRouter()
	ready.Get(n.platform.ReadinessPath, n.serveReady)
	shared := chi.NewRouter()
	shared.Get(catalogPath, n.serveCatalog)
	shared.Get(hostsPath, n.serveHosts)
	shared.Method(http.MethodGet, "/metrics", n.metrics.Handler)
	var duties []kernel.Task
	for _, x := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"ready", n.settings.Listeners.Ready, ready},
		{"admin", n.settings.Listeners.Admin, shared},
		{"fleet", n.settings.Listeners.Fleet, shared},
	} {
		socket, err := net.Listen("tcp4", x.address)
		if err != nil {
			return nil, &StartError{Component: x.name + " listener", Err: err}
		}
		server := &http.Server{Handler: x.handler, ReadHeaderTimeout: serverHeaderTimeout}
		duties = append(duties, kernel.Task{Name: x.name, Run: func(ctx context.Context) error {
			stop := context.AfterFunc(ctx, func() { _ = server.Close() })
			defer stop()
			if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		}})
	}
	return duties, nil
}

// serveReady tells the balancer whether new connections are welcome.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	v := n.view.Load()
	if n.leaving.Load() || v == nil || v.Config == nil || len(v.Servers) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) serveCatalog(w http.ResponseWriter, _ *http.Request) {
	n.writeJSON(w, n.keeper.Snapshot(time.Now()))
}

func (n *Node) serveHosts(w http.ResponseWriter, _ *http.Request) {
	n.writeJSON(w, n.link.Hosts())
}

func (n *Node) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		n.log.WithField("event", "peer_answer_failed").WithError(err).Info("an answer to another daemon was not sent")
	}
}

// registerRetry is the pause after a failed call of the registry.
const registerRetry = time.Second

// hostPolls are the pauses between reads of the registry after the start: hosts
// that start together may miss each other in the first.
var hostPolls = []time.Duration{time.Second, 3 * time.Second, 6 * time.Second}

// hostPoll is the pause between later reads; a host that starts also makes
// itself known by its heartbeats.
const hostPoll = 15 * time.Second

// register writes this daemon into the registry, unless it is there from an
// earlier start, and learns of the others.
func (n *Node) register(ctx context.Context) error {
	self := n.settings.self()
	hosts, _ := n.learnHosts(ctx)
	registered := slices.Contains(hosts, self)
	for i := 0; ctx.Err() == nil; {
		if !registered {
			err := n.platform.Registry.Register(ctx, self)
			registered = err == nil
			if err != nil {
				n.log.WithField("event", "register_failed").WithError(err).Warn("this daemon is not in the registry")
			}
		}
		pause := hostPoll
		if i < len(hostPolls) {
			pause = hostPolls[i]
		}
		if !registered {
			pause = registerRetry
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
		if _, ok := n.learnHosts(ctx); ok {
			i++
		}
	}
	return nil
}

// learnHosts reads the registry, or asks the seeds while the store is away. ok is
// set if the hosts are those of the registry.
func (n *Node) learnHosts(ctx context.Context) (hosts []gossip.Host, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, registerRetry)
	defer cancel()
	hosts, err := n.platform.Registry.Hosts(ctx)
	if err == nil {
		n.link.AddHosts(hosts)
		return hosts, true
	}
	n.log.WithField("event", "registry_unreadable").WithError(err).Warn("the registry cannot be read; asking the seeds")
	for _, seed := range n.settings.Seeds {
		if seed == n.settings.Listeners.Admin {
			continue
		}
		var known []gossip.Host
		if err := n.puller.get(seed, hostsPath, &known); err != nil {
			n.log.WithFields(telemetry.Fields{"event": "seed_unreachable", "seed": seed}).WithError(err).Info("a seed does not answer")
			continue
		}
		n.link.AddHosts(known)
	}
	return nil, false
}
