package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/agateusher/agateusher/kernel"
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
