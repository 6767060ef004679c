package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/agateusher/agateusher/core/ranking"
	"github.com/agateusher/agateusher/gossip"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

// Paths of the HTTP endpoints for other daemons.
const (
	catalogPath = "/catalog"
	hostsPath   = "/hosts"
)

// serverHeaderTimeout bounds the reading of a request header on the listeners other
// than the callers'.
const serverHeaderTimeout = 2 * time.Second

// listenerTasks opens the listeners for the platform's load balancer, for operators
// and for other daemons, and returns the tasks that serve them.
func (n *Node) listenerTasks() ([]kernel.Task, error) {
	ready := chi.NewRouter()
	ready.Get(n.platform.ReadinessPath, n.serveReady)
	internal := chi.NewRouter()
	internal.Get(catalogPath, n.serveCatalog)
	internal.Get(hostsPath, n.serveHosts)
	internal.Method(http.MethodGet, "/metrics", n.metrics.Handler)
	var tasks []kernel.Task
	for _, listener := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"ready", n.settings.Listeners.Ready, ready},
		{"admin", n.settings.Listeners.Admin, internal},
		{"fleet", n.settings.Listeners.Fleet, internal},
	} {
		socket, err := net.Listen("tcp4", listener.address)
		if err != nil {
			return nil, &StartError{Component: listener.name + " listener", Err: err}
		}
		server := &http.Server{Handler: listener.handler, ReadHeaderTimeout: serverHeaderTimeout}
		tasks = append(tasks, kernel.Task{Name: listener.name, Run: func(ctx context.Context) error {
			stop := context.AfterFunc(ctx, func() { _ = server.Close() })
			defer stop()
			if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		}})
	}
	return tasks, nil
}

// serveReady reports to the load balancer whether this daemon accepts new
// connections.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	v := n.view.Load()
	if n.draining.Load() || v == nil || v.Config == nil || len(v.Servers) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// registryRetryInterval is the interval between retries of a failed registration. It
// also bounds one read of the registry.
const registryRetryInterval = time.Second

// initialHostPolls are the intervals between the first reads of the registry. They
// are short because hosts that start at the same time may miss each other in the
// first read.
var initialHostPolls = []time.Duration{time.Second, 3 * time.Second, 6 * time.Second}

// hostPollInterval is the interval between later reads. It may be long because a new
// host also announces itself by its heartbeats.
const hostPollInterval = 15 * time.Second

// runRegistration registers this daemon, unless it is in the registry from an
// earlier start, and keeps the list of the other hosts up to date. A daemon that was not
// registered reads the registry a second time, because others may have registered at
// the same time.
func (n *Node) runRegistration(ctx context.Context) error {
	localHost := n.settings.localHost()
	registered := n.hostsFromSeeds(ctx)
	if !registered {
		hosts, _ := n.discoverHosts(ctx)
		registered = slices.Contains(hosts, localHost)
	}
	known := registered
	for i := 0; ctx.Err() == nil; {
		if !registered {
			err := n.platform.Registry.Register(ctx, localHost)
			registered = err == nil
			if err != nil {
				n.log.WithField("event", "register_failed").WithError(err).Warn("cannot register this daemon; retrying")
			}
		}
		pause := hostPollInterval
		if i < len(initialHostPolls) {
			pause = initialHostPolls[i]
		}
		if !registered {
			pause = registryRetryInterval
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
		if known && n.askRelay(ctx) {
			i++
			continue
		}
		if _, ok := n.discoverHosts(ctx); ok {
			known = true
			i++
		}
	}
	return nil
}

const (
	// seedHostsTimeout bounds the request for the list of hosts to the seeds, before the
	// registry is read. Two round trips to another region take 120 ms.
	seedHostsTimeout = 300 * time.Millisecond
	// seedHostsRetries is how long seeds without a list are asked again, and
	// seedHostsPause the interval. After a restart of all hosts the seeds have read the
	// registry by then.
	seedHostsRetries = 80 * time.Millisecond
	seedHostsPause   = 40 * time.Millisecond
)

// hostsFromSeeds gets the list of hosts from a seed and reports whether it has this
// daemon. Then the daemon started before and is registered, and need not read the
// registry, which is ten times as large as a seed's response.
func (n *Node) hostsFromSeeds(ctx context.Context) bool {
	seeds := *n.seeds.Load()
	if len(seeds) == 0 || n.settings.isSeed() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, seedHostsTimeout)
	defer cancel()
	first := int(ranking.Score("hosts", n.settings.Host.ID) % uint64(len(seeds)))
	for i, began := first, time.Now(); time.Since(began) < seedHostsRetries; i++ {
		var hosts []gossip.Host
		if n.puller.hosts(ctx, seeds[i%len(seeds)], &hosts) == nil && slices.Contains(hosts, n.settings.localHost()) {
			n.gossiper.AddHosts(hosts)
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(seedHostsPause):
		}
	}
	return false
}

// askRelay gets the hosts from the relay of the data centre, so that only relays read the
// registry at intervals: it is large and often in another region. It reports false if
// this daemon is the relay or the relay does not respond.
func (n *Node) askRelay(ctx context.Context) bool {
	relay, ok := n.gossiper.LocalRelay()
	if !ok {
		return false
	}
	var hosts []gossip.Host
	if err := n.puller.hosts(ctx, relay.Address, &hosts); err != nil {
		n.log.WithFields(telemetry.Fields{"event": "relay_unreachable", "peer": relay.ID}).WithError(err).Info("cannot get the hosts from the relay; reading the registry")
		return false
	}
	n.gossiper.AddHosts(hosts)
	return true
}

// discoverHosts reads the hosts from the registry, or from the seeds while the store
// is unavailable. fromRegistry is set, and hosts returned, only in the first case.
func (n *Node) discoverHosts(ctx context.Context) (hosts []gossip.Host, fromRegistry bool) {
	ctx, cancel := context.WithTimeout(ctx, registryRetryInterval)
	defer cancel()
	hosts, err := n.platform.Registry.Hosts(ctx)
	if err == nil {
		n.gossiper.AddHosts(hosts)
		n.quotas.setFleet(hosts)
		return hosts, true
	}
	n.log.WithField("event", "registry_unreadable").WithError(err).Warn("cannot read the registry; asking the seeds")
	for _, seed := range *n.seeds.Load() {
		if seed == n.settings.Listeners.Admin {
			continue
		}
		var known []gossip.Host
		if err := n.puller.hosts(ctx, seed, &known); err != nil {
			n.log.WithFields(telemetry.Fields{"event": "seed_unreachable", "seed": seed}).WithError(err).Info("cannot get the hosts from a seed")
			continue
		}
		n.gossiper.AddHosts(known)
	}
	return nil, false
}
