package edge

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/gossip"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

// Paths of the HTTP endpoints for other daemons.
const (
	catalogPath = "/catalog"
	hostsPath   = "/hosts"
)

// Query parameters of catalogPath: the versions that the caller has.
const (
	epochParameter    = "epoch"
	revisionParameter = "revision"
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

// serveCatalog answers with what has changed since the caller's versions. Without
// valid parameters it answers with the whole content.
func (n *Node) serveCatalog(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	epoch, epochErr := strconv.ParseUint(q.Get(epochParameter), 10, 64)
	revision, revisionErr := strconv.ParseUint(q.Get(revisionParameter), 10, 64)
	has := catalog.Versions{Epoch: model.Epoch(epoch), Revision: catalog.Revision(revision)}
	if epochErr != nil || revisionErr != nil {
		has = catalog.Versions{}
	}
	snapshot := n.cache.Snapshot(time.Now(), has)
	snapshot.ConfigAge = n.exportedAge(snapshot.ConfigAge)
	n.writeJSON(w, snapshot)
}

func (n *Node) serveHosts(w http.ResponseWriter, _ *http.Request) {
	n.writeJSON(w, n.gossiper.Hosts())
}

func (n *Node) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		n.log.WithField("event", "peer_answer_failed").WithError(err).Info("cannot send a response to another daemon")
	}
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
// earlier start, and keeps the list of the other hosts up to date.
func (n *Node) runRegistration(ctx context.Context) error {
	localHost := n.settings.localHost()
	hosts, _ := n.discoverHosts(ctx)
	registered := slices.Contains(hosts, localHost)
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
		if _, ok := n.discoverHosts(ctx); ok {
			i++
		}
	}
	return nil
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
		if err := n.puller.get(seed, hostsPath, &known); err != nil {
			n.log.WithFields(telemetry.Fields{"event": "seed_unreachable", "seed": seed}).WithError(err).Info("cannot get the hosts from a seed")
			continue
		}
		n.gossiper.AddHosts(known)
	}
	return nil, false
}
