package owner

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"go.opentelemetry.io/otel/propagation"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

// maxControlBody bounds the body of a control message on the fleet listener.
const maxControlBody = 64 << 10

// Handler serves the fleet listener. Only authentic requests get through.
func Handler(w *Owner, secrets fleet.Secrets, maxBody int64) http.Handler {
	r := chi.NewRouter()
	r.Use(secrets.Require)
	r.Post(fleet.PathForward, func(rw http.ResponseWriter, req *http.Request) {
		serveForward(w, rw, req, maxBody)
	})
	r.Post(fleet.PathKeys, func(rw http.ResponseWriter, req *http.Request) {
		serveKeys(w, rw, req)
	})
	r.Post(fleet.PathDemand, func(rw http.ResponseWriter, req *http.Request) {
		var d fleet.Demand
		if readControl(rw, req, &d) {
			w.SiblingDemand(time.Now(), d)
		}
	})
	r.Post(fleet.PathHealth, func(rw http.ResponseWriter, req *http.Request) {
		var h fleet.PoolHealth
		if readControl(rw, req, &h) {
			w.AdoptHealth(h)
		}
	})
	r.Post(fleet.PathPing, func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusOK)
	})
	return r
}

func serveForward(w *Owner, rw http.ResponseWriter, req *http.Request, maxBody int64) {
	q, err := fleet.DecodeRequest(req, maxBody)
	switch {
	case errors.Is(err, fleet.ErrTooLarge):
		resp := fleet.NotRun(model.ReasonBadRequest, 0)
		if req.Header.Get(fleet.HeaderKey) != "" {
			// An earlier request with the key may have run.
			resp.Outcome = model.Unknown
		}
		fleet.WriteResponse(rw, &resp)
		return
	case err != nil:
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	ctx := w.o.Tracing.Propagator.Extract(req.Context(), propagation.HeaderCarrier(req.Header))
	resp := w.Do(ctx, q)
	fleet.WriteResponse(rw, &resp)
}

func serveKeys(w *Owner, rw http.ResponseWriter, req *http.Request) {
	var q fleet.KeysRequest
	if !readControl(rw, req, &q) {
		return
	}
	if q.Count < 1 {
		http.Error(rw, "count must be positive", http.StatusBadRequest)
		return
	}
	raw, err := json.Marshal(w.IssueKeys(q))
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(raw)
}

// readControl decodes the JSON body of a control message, or answers with 400.
func readControl(rw http.ResponseWriter, req *http.Request, dst any) bool {
	body, err := fleet.ReadBody(req.Body, req.ContentLength, maxControlBody)
	if err == nil {
		err = json.Unmarshal(body, dst)
	}
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// KeyLifetime returns how long a key lives from its issue.
func (w *Owner) KeyLifetime() time.Duration { return w.o.KeyLimits.Lifetime }
