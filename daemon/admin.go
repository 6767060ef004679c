package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/agateusher/agateusher/adminapi"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/telemetry"
)

// adminTimeout bounds the collection of state for one admin request, and the
// flush of traces at shutdown.
const adminTimeout = 2 * time.Second

// maxLogLevelBody bounds the body of a log level change, in bytes.
const maxLogLevelBody = 1 << 10

// admin returns the handler of the admin listener: /live and /ready for the load
// balancer, /metrics for a scraper, /v1/log-level, and the state that the operator
// service reads.
func (d *Daemon) admin() http.Handler {
	r := chi.NewRouter()
	r.Get("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/ready", d.serveReady)
	r.Handle("/metrics", d.metrics.Handler)
	r.Put("/v1/log-level", d.serveLogLevel)
	state := adminapi.Handler(d)
	r.Handle(adminapi.StatusPath, state)
	r.Handle(adminapi.PoolsPath, state)
	return r
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.leaving.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case d.live.current.Load() == nil:
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (d *Daemon) serveLogLevel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Level string `json:"level"`
	}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLogLevelBody)).Decode(&body)
	if err == nil {
		err = telemetry.SetLevel(d.logger, body.Level)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.log.WithFields(telemetry.Fields{"event": "log_level", "level": body.Level}).Warn("log level changed")
}

// Status implements adminapi.Source.
func (d *Daemon) Status(ctx context.Context) adminapi.Status {
	s := adminapi.Status{
		Host: d.settings.Host.ID, DataCentre: d.settings.Host.DataCentre, Incarnation: d.incarnation,
		Leaving: d.leaving.Load(), StartedAt: d.startedAt,
	}
	if status, err := d.follower.Status(ctx); err == nil {
		s.Epoch, s.Confirmed = status.Epoch, status.Confirmed
	}
	return s
}

// Pools implements adminapi.Source.
func (d *Daemon) Pools(ctx context.Context) adminapi.Pools {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	out := adminapi.Pools{Host: d.settings.Host.ID, Pools: []adminapi.Pool{}}
	for _, v := range d.owner.Views(ctx) {
		p := adminapi.Pool{
			Service: v.Pool.Service, DataCentre: v.Pool.DataCentre, Shard: v.Pool.Shard,
			QueueDelayUs: v.QueueDelay.Microseconds(), Queued: v.Queued, FreeSlots: v.FreeSlots,
		}
		for _, s := range v.Servers {
			p.Servers = append(p.Servers, adminapi.Server{
				ID: s.ID, State: serverState(s.Status), Evidence: evidenceText(s), Since: d.observer.changes.lastChange(s.ID, d.startedAt),
				Slots: s.Slots, BusySlots: s.InUse,
			})
		}
		out.Pools = append(out.Pools, p)
	}
	return out
}

func serverState(s pool.Status) adminapi.ServerState {
	switch s {
	case pool.Suspect, pool.Probation:
		return adminapi.ServerSuspect
	case pool.Ejected:
		return adminapi.ServerEjected
	case pool.EjectedByOperator:
		return adminapi.ServerEjectedByOperator
	case pool.Leaving, pool.Gone:
		return adminapi.ServerLeaving
	}
	return adminapi.ServerServing
}

func evidenceText(s pool.ServerView) string {
	e := s.Evidence
	if e.Signal == "" && e.Attempts == 0 {
		return ""
	}
	return fmt.Sprintf("signal=%s score=%.2f threshold=%.2f oldest=%s attempts=%d failures=%d",
		e.Signal, e.Score, e.Threshold, e.OldestAttempt.Round(time.Millisecond), e.Attempts, e.Failures)
}
