package owner

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"go.opentelemetry.io/otel/propagation"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

// maxControlBodyBytes bounds the body of a control message on the fleet listener.
const maxControlBodyBytes = 64 << 10

// PeerService handles the calls of other daemons on the fleet listener. Owner
// implements it; a daemon may wrap it.
type PeerService interface {
	// Do runs a forwarded request.
	Do(ctx context.Context, q *fleet.Request) fleet.Response
	// IssueKeys issues idempotency keys.
	IssueKeys(q fleet.KeysRequest) fleet.KeysResponse
	// RecordSiblingDemand records the demand of another pool of the same service.
	RecordSiblingDemand(now time.Time, d fleet.Demand)
	// AdoptHealth adopts the ejections of a pool's leaving owner.
	AdoptHealth(h fleet.PoolHealth)
}

var _ PeerService = (*Owner)(nil)

// HandlerOptions configures Handler.
type HandlerOptions struct {
	Secrets fleet.Secrets
	// MaxBodyBytes bounds a forwarded request's body in bytes.
	MaxBodyBytes int64
	Propagator   propagation.TextMapPropagator
}

// Handler serves the fleet listener. It rejects requests that are not authenticated
// with one of the secrets.
func Handler(w PeerService, o HandlerOptions) http.Handler {
	r := chi.NewRouter()
	r.Use(o.Secrets.RequireMAC)
	r.Post(fleet.PathForward, func(rw http.ResponseWriter, req *http.Request) {
		serveForward(w, o, rw, req)
	})
	r.Post(fleet.PathKeys, func(rw http.ResponseWriter, req *http.Request) {
		serveKeys(w, rw, req)
	})
	r.Post(fleet.PathDemand, func(rw http.ResponseWriter, req *http.Request) {
		var d fleet.Demand
		if readControl(rw, req, &d) {
			w.RecordSiblingDemand(time.Now(), d)
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

func serveForward(w PeerService, o HandlerOptions, rw http.ResponseWriter, req *http.Request) {
	q, err := fleet.DecodeRequest(req, o.MaxBodyBytes)
	switch {
	case errors.Is(err, fleet.ErrTooLarge):
		resp := fleet.NotRun(model.ReasonBadRequest, 0)
		if req.Header.Get(fleet.HeaderKey) != "" {
			// An earlier request with the same key may have run.
			resp.Outcome = model.Unknown
		}
		fleet.WriteResponse(rw, &resp)
		return
	case err != nil:
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	ctx := o.Propagator.Extract(req.Context(), propagation.HeaderCarrier(req.Header))
	resp := w.Do(ctx, q)
	fleet.WriteResponse(rw, &resp)
}

func serveKeys(w PeerService, rw http.ResponseWriter, req *http.Request) {
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

// readControl decodes the JSON body of a control message into dst. It returns false
// after answering with status 400 if the body cannot be read or decoded.
func readControl(rw http.ResponseWriter, req *http.Request, dst any) bool {
	body, err := fleet.ReadBody(req.Body, req.ContentLength, maxControlBodyBytes)
	if err == nil {
		err = json.Unmarshal(body, dst)
	}
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// KeyLifetime returns the time from the issue of a key to its expiry.
func (w *Owner) KeyLifetime() time.Duration { return w.opts.KeyLimits.Lifetime }
