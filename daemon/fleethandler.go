package daemon

import (
	"errors"
	"net/http"

	"go.opentelemetry.io/otel/propagation"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/owner"
)

// fleetHandler serves the fleet listener. Forwarded requests go through the
// handover, which passes on those whose ledger has moved.
func (d *Daemon) fleetHandler(secrets fleet.Secrets) http.Handler {
	limit := d.settings.Limits.MaxRequestBytes
	roles := owner.Handler(d.owner, secrets, limit)
	forward := secrets.Require(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serveForward(w, r, limit) }))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == fleet.PathForward && r.Method == http.MethodPost:
			forward.ServeHTTP(w, r)
		case r.URL.Path == fleet.PathKeys:
			d.keys.used.Store(true)
			roles.ServeHTTP(w, r)
		default:
			roles.ServeHTTP(w, r)
		}
	})
}

func (d *Daemon) serveForward(w http.ResponseWriter, r *http.Request, limit int64) {
	q, err := fleet.DecodeRequest(r, limit)
	switch {
	case errors.Is(err, fleet.ErrTooLarge):
		resp := fleet.NotRun(model.ReasonBadRequest, 0)
		if r.Header.Get(fleet.HeaderKey) != "" {
			// An earlier request with the key may have run.
			resp.Outcome = model.Unknown
		}
		fleet.WriteResponse(w, &resp)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resp := d.keys.Do(d.tracing.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header)), q)
	fleet.WriteResponse(w, &resp)
}
