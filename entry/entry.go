package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// maxOwners is how many hosts in rank a request may be passed to.
	maxOwners = 3
	// hopMargin is kept back from the owner's budget, so that its answer about
	// a missed deadline arrives before the entry's own deadline.
	hopMargin = 20 * time.Millisecond
	// defaultDeadline applies if a service sets none.
	defaultDeadline = 10 * time.Second
	// PathPrefix starts the paths that the entry serves itself.
	PathPrefix = "/.well-known/agateusher/"
)

// Observer counts finished requests for reports.
type Observer interface {
	RequestDone(service model.ServiceName, workspace model.WorkspaceID, r *fleet.Response, took time.Duration)
}

// Options configures an Entry.
type Options struct {
	Host      model.HostID
	Catalog   func() Catalog
	Directory Directory
	Local     fleetOwner
	Client    *fleet.Client
	Tracing   *telemetry.Tracing
	Log       telemetry.Logger
	Scope     telemetry.Scope
	Observer  Observer
	// MaxBody bounds a caller's request body in bytes.
	MaxBody int64
}

// Entry is the HTTP handler for callers.
type Entry struct {
	o      Options
	peers  *peers
	places *placements
	keys   *keyCache

	requests *telemetry.CounterVec
	duration tally.Histogram
}

// New returns an entry. Close ends it.
func New(o Options) *Entry {
	return &Entry{
		o: o, peers: newPeers(o.Client, o.Log, o.Scope), places: newPlacements(), keys: newKeyCache(),
		requests: telemetry.NewCounterVec(o.Scope, "requests", "outcome", "reason"),
		duration: o.Scope.Histogram("request_duration", telemetry.LatencyBuckets),
	}
}

// Close ends the background pings.
func (e *Entry) Close() { e.peers.close() }

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, PathPrefix) {
		e.serveOwn(w, r)
		return
	}
	started := time.Now()
	id := newRequestID()
	ctx := e.o.Tracing.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.o.Tracing.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("agateusher.request_id", string(id)),
		attribute.String("http.request.method", r.Method)))
	defer span.End()

	q, issueFor, resp := e.prepare(r, id)
	deadline := defaultDeadline
	if q != nil {
		deadline = q.Budget
		key := e.attachKey(ctx, issueFor, q.Workspace)
		resp = e.serve(ctx, q, started.Add(deadline))
		key.addTo(&resp)
	}
	if q == nil {
		resp = withoutLedger(r, resp)
	}
	d := done{request: q, id: id, response: &resp, took: time.Since(started), deadline: deadline, trace: span.SpanContext()}
	d.status = writeResponse(w, id, resp)
	span.SetAttributes(attribute.String("agateusher.outcome", resp.Outcome.String()), attribute.Int("http.response.status_code", d.status))
	e.record(r, d)
}

// done is a request that has been answered.
type done struct {
	// request is nil if the request was refused before it was read.
	request  *fleet.Request
	id       model.RequestID
	response *fleet.Response
	status   int
	took     time.Duration
	deadline time.Duration
	trace    trace.SpanContext
}

// withoutLedger turns "not run" into "unknown" for a request with a key that
// was refused before the key's ledger was asked: an earlier request with the
// same key may have run.
func withoutLedger(r *http.Request, resp fleet.Response) fleet.Response {
	if r.Header.Get(fleet.HeaderKey) != "" {
		resp.Outcome = model.Unknown
	}
	return resp
}

// record counts a request, and logs it if it failed or was slow.
func (e *Entry) record(r *http.Request, d done) {
	e.requests.Inc(d.response.Outcome.String(), string(d.response.Reason))
	e.duration.RecordDuration(d.took)
	if d.request != nil && e.o.Observer != nil {
		e.o.Observer.RequestDone(d.request.Pool.Service, d.request.Workspace, d.response, d.took)
	}
	if !slowOrFailed(*d.response, d.took, d.deadline) {
		return
	}
	fields := telemetry.Fields{
		"event": "request", "request_id": d.id, "method": r.Method, "path": r.URL.Path, "status": d.status,
		"outcome": d.response.Outcome.String(), "reason": d.response.Reason, "took_us": d.took.Microseconds(),
	}
	if d.trace.HasTraceID() {
		fields["trace_id"] = d.trace.TraceID().String()
	}
	e.o.Log.WithFields(fields).Info("request failed or was slow")
}

// prepare matches and reads a request. If it is refused, the first result is
// nil and the last says why. The second names the route whose idempotency key
// goes on the answer, if any.
func (e *Entry) prepare(r *http.Request, id model.RequestID) (*fleet.Request, model.RouteName, fleet.Response) {
	catalog := e.o.Catalog()
	if catalog == nil {
		return nil, "", fleet.NotRun(model.ReasonNoConfiguration, time.Second)
	}
	route, ok := catalog.Match(r.Host, r.Method, r.URL.Path)
	if !ok {
		return nil, "", fleet.NotRun(model.ReasonNoRoute, 0)
	}
	service, ok := catalog.Service(route.Service)
	if !ok {
		return nil, "", fleet.NotRun(model.ReasonNoRoute, 0)
	}
	body, err := fleet.ReadBody(r.Body, r.ContentLength, e.o.MaxBody)
	if err != nil {
		return nil, "", fleet.NotRun(model.ReasonBadRequest, 0)
	}
	q := &fleet.Request{
		ID: id, Pool: model.PoolID{Service: service.Name}, Route: route.Name,
		Workspace:  model.WorkspaceID(r.Header.Get(fleet.HeaderWorkspace)),
		Repeatable: route.Repeatable, Key: r.Header.Get(fleet.HeaderKey),
		Budget: deadlineOf(service), Epoch: catalog.Epoch(),
		Method: r.Method, Target: r.URL.RequestURI(), Authority: r.Host,
		Header: fleet.EndToEnd(r.Header), Body: body,
	}
	return q, route.IssueKeysFor, fleet.Response{}
}

func deadlineOf(s *snapshot.Service) time.Duration {
	if s.DeadlineMs <= 0 {
		return defaultDeadline
	}
	return time.Duration(s.DeadlineMs) * time.Millisecond
}

func (e *Entry) serve(ctx context.Context, q *fleet.Request, deadline time.Time) fleet.Response {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if !q.Repeatable {
		return e.serveOnce(ctx, q, deadline)
	}
	q.Key = ""
	place := e.places.of(q.Pool.Service)
	choices := place.order(e.o.Catalog().Pools(q.Pool.Service))
	if len(choices) == 0 {
		return fleet.NotRun(model.ReasonNoServer, time.Second)
	}
	sent := false
	for _, choice := range choices {
		q.Pool = choice.Pool
		resp, err := e.forwardRanked(ctx, q, deadline)
		sent = sent || fleet.IsSent(err)
		if err != nil {
			place.unreachable(choice.Pool.DataCentre)
		}
		last := choice == choices[len(choices)-1]
		if err == nil && (last || !worthAnotherPool(resp)) {
			return truthful(resp, sent)
		}
		if ctx.Err() != nil {
			return expired(sent)
		}
	}
	if sent {
		return fleet.Unknown(model.ReasonOwnerFailed)
	}
	return fleet.NotRun(model.ReasonNoOwner, time.Second)
}

// truthful turns "not run" into "unknown" for a request that was sent to an
// earlier owner, where it may have run.
func truthful(r fleet.Response, sentBefore bool) fleet.Response {
	if sentBefore && r.Outcome == model.NotRun {
		r.Outcome = model.Unknown
	}
	return r
}

// worthAnotherPool says whether an idempotent request that this pool refused
// should be tried in another data centre.
func worthAnotherPool(r fleet.Response) bool {
	return r.Outcome == model.NotRun && (r.Reason == model.ReasonNoServer || r.Reason == model.ReasonQueueFull || r.Reason == model.ReasonStopping || r.Reason == model.ReasonNoConfiguration)
}

func expired(sent bool) fleet.Response {
	if sent {
		return fleet.Unknown(model.ReasonTimeout)
	}
	return fleet.NotRun(model.ReasonDeadline, 0)
}

// forwardRanked tries the hosts in rank for the request's pool until one
// answers. Only idempotent requests may come here. The error is the last
// *fleet.ForwardError, with Sent set if any attempt was sent.
func (e *Entry) forwardRanked(ctx context.Context, q *fleet.Request, deadline time.Time) (fleet.Response, error) {
	last := &fleet.ForwardError{Err: errNoOwner}
	var refusal *fleet.Response
	for _, to := range e.peers.order(e.o.Directory.Owners(q.Pool, maxOwners)) {
		resp, err := e.forwardTo(ctx, to, q, deadline, true)
		if err == nil && !ownerUnprepared(resp) {
			return truthful(resp, last.Sent), nil
		}
		if err == nil {
			refusal = &resp
			continue
		}
		last = &fleet.ForwardError{Host: to.Host, Sent: last.Sent || fleet.IsSent(err), Err: err}
		if ctx.Err() != nil {
			break
		}
	}
	if refusal != nil {
		return truthful(*refusal, last.Sent), nil
	}
	return fleet.Response{}, last
}

// ownerUnprepared says whether a host refused a request because it does not
// know the pool. A host that was restarted ranks as before as soon as it is
// live, which may be before it has the configuration.
func ownerUnprepared(r fleet.Response) bool {
	return r.Outcome == model.NotRun && r.Reason == model.ReasonNoConfiguration
}

// errNoOwner: the data centre has no host that could own the pool.
var errNoOwner = errors.New("no host for the pool")

func (e *Entry) forwardTo(ctx context.Context, to fleet.Peer, q *fleet.Request, deadline time.Time, watch bool) (fleet.Response, error) {
	q.Budget = max(0, time.Until(deadline)-hopMargin)
	if to.Host == e.o.Host {
		resp := e.o.Local.Do(ctx, q)
		e.places.of(q.Pool.Service).report(q.Pool.DataCentre, resp.Load)
		return resp, nil
	}
	resp, err := e.peers.forward(ctx, to, q, watch)
	if err == nil {
		e.places.of(q.Pool.Service).report(q.Pool.DataCentre, resp.Load)
	}
	return resp, err
}

// serveOnce passes a request that is not idempotent to the issuer of its key,
// and to nobody else. If the issuer cannot be reached, an earlier request with
// the same key may have run there, so the outcome is unknown.
func (e *Entry) serveOnce(ctx context.Context, q *fleet.Request, deadline time.Time) fleet.Response {
	if q.Key == "" {
		return fleet.NotRun(model.ReasonKeyMissing, 0)
	}
	key, err := idempotency.Decode(q.Key)
	if err != nil {
		return fleet.NotRun(model.ReasonKeyInvalid, 0)
	}
	host := key.Host
	if successor, moved := e.o.Directory.Successor(key.Issuer); moved {
		host = successor
	}
	to, dc, ok := e.o.Directory.Peer(host)
	if !ok {
		return fleet.Unknown(model.ReasonIssuerGone)
	}
	q.Pool, ok = e.poolIn(q.Pool.Service, dc, q.Key)
	if !ok {
		return fleet.Unknown(model.ReasonNoServer)
	}
	resp, err := e.forwardTo(ctx, to, q, deadline, false)
	for err == nil && resp.KeyUse > q.KeyUse && ctx.Err() == nil {
		// Only a request that its caller still waits for gets here.
		q.KeyUse = resp.KeyUse
		resp, err = e.forwardTo(ctx, to, q, deadline, false)
	}
	switch {
	case err == nil:
		return resp
	case !fleet.IsSent(err):
		return fleet.Unknown(model.ReasonIssuerGone)
	case ctx.Err() != nil:
		return fleet.Unknown(model.ReasonTimeout)
	}
	return fleet.Unknown(model.ReasonOwnerFailed)
}

// poolIn returns the service's pool in a data centre, chosen by the key among
// its shards, so that all requests with one key meet in the same pool.
func (e *Entry) poolIn(service model.ServiceName, dc model.DataCentre, key string) (model.PoolID, bool) {
	var shards []model.PoolID
	for _, c := range e.o.Catalog().Pools(service) {
		if c.Pool.DataCentre == dc {
			shards = append(shards, c.Pool)
		}
	}
	if len(shards) == 0 {
		return model.PoolID{}, false
	}
	return shards[xxhash.Sum64String(key)%uint64(len(shards))], true
}

// requestIDBytes is the size of a request ID; 128 random bits are unguessable.
const requestIDBytes = 16

func newRequestID() model.RequestID {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails; see crypto/rand
	return model.RequestID(hex.EncodeToString(b[:]))
}
