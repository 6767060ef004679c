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
	"github.com/agateusher/agateusher/core/split"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// maxOwners is the number of highest-ranked hosts that a request may be
	// forwarded to.
	maxOwners = 3
	// hopMargin is subtracted from the owner's budget, so that its response about
	// a missed deadline arrives before the entry's own deadline.
	hopMargin = 20 * time.Millisecond
	// defaultDeadline applies to services without a deadline.
	defaultDeadline = 10 * time.Second
	// PathPrefix is the prefix of the paths that the entry serves itself.
	PathPrefix = "/.well-known/agateusher/"
)

// Observer counts finished requests for reports.
type Observer interface {
	RequestDone(service model.ServiceName, workspace model.WorkspaceID, r *fleet.Response, took time.Duration)
}

// Options configures an Entry.
type Options struct {
	Host model.HostID
	// Catalog returns the configuration in force, or nil if there is none yet.
	Catalog   func() Catalog
	Directory Directory
	Local     localOwner
	Client    *fleet.Client
	Tracing   *telemetry.Tracing
	Log       telemetry.Logger
	Scope     telemetry.Scope
	Observer  Observer
	// MaxBody limits a caller's request body, in bytes.
	MaxBody int64
}

// Entry is the HTTP handler for callers.
type Entry struct {
	options    Options
	peers      *peers
	placements *placements
	keys       *keyCache
	splits     split.Sequences

	requests *telemetry.CounterVec
	duration tally.Histogram
}

// New returns an entry. The caller must call Close to stop its pings.
func New(o Options) *Entry {
	return &Entry{
		options: o, peers: newPeers(o.Client, o.Log, o.Scope), placements: newPlacements(), keys: newKeyCache(),
		requests: telemetry.NewCounterVec(o.Scope, "requests", "outcome", "reason"),
		duration: o.Scope.Histogram("request_duration", telemetry.LatencyBuckets),
	}
}

// Close stops the background pings and waits until they have ended.
func (e *Entry) Close() { e.peers.close() }

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, PathPrefix) {
		e.serveWellKnown(w, r)
		return
	}
	started := time.Now()
	id := newRequestID()
	ctx := e.options.Tracing.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.options.Tracing.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("agateusher.request_id", string(id)),
		attribute.String("http.request.method", r.Method)))
	defer span.End()

	q, issueFor, resp := e.prepare(r, id)
	deadline := defaultDeadline
	if q != nil {
		deadline = q.Budget
		key := e.acquireKey(ctx, issueFor, q.Workspace)
		resp = e.serve(ctx, q, started.Add(deadline))
		key.addTo(&resp)
	}
	if q == nil {
		resp = unknownIfKeyed(r, resp)
	}
	d := completedRequest{request: q, id: id, response: &resp, took: time.Since(started), deadline: deadline, trace: span.SpanContext()}
	d.status = writeResponse(w, id, resp)
	span.SetAttributes(attribute.String("agateusher.outcome", resp.Outcome.String()), attribute.Int("http.response.status_code", d.status))
	e.recordRequest(r, d)
}

// completedRequest is a request whose response has been written.
type completedRequest struct {
	// request is nil if prepare refused the request.
	request  *fleet.Request
	id       model.RequestID
	response *fleet.Response
	status   int
	took     time.Duration
	deadline time.Duration
	trace    trace.SpanContext
}

// unknownIfKeyed changes the outcome to "unknown" if the request has an
// idempotency key. It is applied to requests that were refused before the key's
// ledger was consulted: an earlier request with the same key may have run.
func unknownIfKeyed(r *http.Request, resp fleet.Response) fleet.Response {
	if r.Header.Get(fleet.HeaderKey) != "" {
		resp.Outcome = model.Unknown
	}
	return resp
}

// recordRequest counts a request, and logs it if it failed or was slow.
func (e *Entry) recordRequest(r *http.Request, d completedRequest) {
	e.requests.Inc(d.response.Outcome.String(), string(d.response.Reason))
	e.duration.RecordDuration(d.took)
	if d.request != nil && e.options.Observer != nil {
		e.options.Observer.RequestDone(d.request.Pool.Service, d.request.Workspace, d.response, d.took)
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
	e.options.Log.WithFields(fields).Info("request failed or was slow")
}

// prepare matches the route of a request and reads its body. If it refuses the
// request, the first result is nil and the last is the refusal. The second
// result is the route for which the response carries an idempotency key, if any.
func (e *Entry) prepare(r *http.Request, id model.RequestID) (*fleet.Request, model.RouteName, fleet.Response) {
	catalog := e.options.Catalog()
	if catalog == nil {
		return nil, "", fleet.NotRun(model.ReasonNoConfiguration, time.Second)
	}
	route, ok := catalog.Match(r.Host, r.Method, r.URL.Path)
	if !ok {
		return nil, "", fleet.NotRun(model.ReasonNoRoute, 0)
	}
	service, ok := catalog.Service(e.serviceOf(route))
	if !ok {
		return nil, "", fleet.NotRun(model.ReasonNoRoute, 0)
	}
	body, err := fleet.ReadBody(r.Body, r.ContentLength, e.options.MaxBody)
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

// serviceOf returns the service for the next request of a route. A request that its
// part of a split cannot serve is refused rather than moved to another part.
func (e *Entry) serviceOf(route *snapshot.Route) model.ServiceName {
	if len(route.Split) == 0 {
		return route.Service
	}
	weights := make([]float64, len(route.Split))
	for i, p := range route.Split {
		weights[i] = p.Weight
	}
	return route.Split[e.splits.For(route.Name).Next(weights)].Service
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
		return e.serveNonIdempotent(ctx, q, deadline)
	}
	q.Key = ""
	place := e.placements.forService(q.Pool.Service)
	choices := place.order(e.options.Catalog().Pools(q.Pool.Service))
	if len(choices) == 0 {
		return fleet.NotRun(model.ReasonNoServer, time.Second)
	}
	sent := false
	for _, choice := range choices {
		q.Pool = choice.Pool
		resp, err := e.forwardRanked(ctx, q, deadline)
		sent = sent || fleet.IsSent(err)
		if err != nil {
			place.markUnreachable(choice.Pool.DataCentre)
		}
		last := choice == choices[len(choices)-1]
		if err == nil && (last || !shouldTryOtherPool(resp)) {
			return unknownIfSent(resp, sent)
		}
		if ctx.Err() != nil {
			return deadlineExceeded(sent)
		}
	}
	if sent {
		return fleet.Unknown(model.ReasonOwnerFailed)
	}
	return fleet.NotRun(model.ReasonNoOwner, time.Second)
}

// unknownIfSent changes "not run" to "unknown" for a request that was sent to an
// earlier owner, where it may have run.
func unknownIfSent(r fleet.Response, sentBefore bool) fleet.Response {
	if sentBefore && r.Outcome == model.NotRun {
		r.Outcome = model.Unknown
	}
	return r
}

// shouldTryOtherPool reports whether an idempotent request that one pool refused
// should be tried in the next one, usually in another data centre.
func shouldTryOtherPool(r fleet.Response) bool {
	return r.Outcome == model.NotRun && (r.Reason == model.ReasonNoServer || r.Reason == model.ReasonQueueFull || r.Reason == model.ReasonStopping || r.Reason == model.ReasonNoConfiguration)
}

// deadlineExceeded returns the response to a request whose context has ended.
func deadlineExceeded(sent bool) fleet.Response {
	if sent {
		return fleet.Unknown(model.ReasonTimeout)
	}
	return fleet.NotRun(model.ReasonDeadline, 0)
}

// forwardRanked forwards an idempotent request to the hosts of its pool in order
// of rank until one that has the configuration answers. The error is the last
// *fleet.ForwardError, with Sent set if any attempt may have been sent.
func (e *Entry) forwardRanked(ctx context.Context, q *fleet.Request, deadline time.Time) (fleet.Response, error) {
	last := &fleet.ForwardError{Err: errNoOwner}
	var refusal *fleet.Response
	for _, to := range e.peers.suspectsLast(e.options.Directory.Owners(q.Pool, maxOwners)) {
		resp, err := e.forwardTo(ctx, to, q, deadline, true)
		if err == nil && !lacksConfiguration(resp) {
			return unknownIfSent(resp, last.Sent), nil
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
		return unknownIfSent(*refusal, last.Sent), nil
	}
	return fleet.Response{}, last
}

// lacksConfiguration reports whether a host refused a request because it does
// not know the pool. A restarted host regains its rank as soon as it is live,
// which may be before it has the configuration.
func lacksConfiguration(r fleet.Response) bool {
	return r.Outcome == model.NotRun && r.Reason == model.ReasonNoConfiguration
}

// errNoOwner means that the data centre has no host that could own the pool.
var errNoOwner = errors.New("data centre has no live host for the pool")

func (e *Entry) forwardTo(ctx context.Context, to fleet.Peer, q *fleet.Request, deadline time.Time, watch bool) (fleet.Response, error) {
	q.Budget = max(0, time.Until(deadline)-hopMargin)
	if to.Host == e.options.Host {
		resp := e.options.Local.Do(ctx, q)
		e.placements.forService(q.Pool.Service).recordLoad(q.Pool.DataCentre, resp.Load)
		return resp, nil
	}
	resp, err := e.peers.forward(ctx, to, q, watch)
	if err == nil {
		e.placements.forService(q.Pool.Service).recordLoad(q.Pool.DataCentre, resp.Load)
	}
	return resp, err
}

// serveNonIdempotent forwards a request that is not idempotent to the issuer of
// its key, or to the successor that took over the issuer's keys, and to no other
// host. If that host is unreachable, an earlier request with the same key may
// have run there, so the outcome is unknown.
func (e *Entry) serveNonIdempotent(ctx context.Context, q *fleet.Request, deadline time.Time) fleet.Response {
	if q.Key == "" {
		return fleet.NotRun(model.ReasonKeyMissing, 0)
	}
	key, err := idempotency.Decode(q.Key)
	if err != nil {
		return fleet.NotRun(model.ReasonKeyInvalid, 0)
	}
	host := key.Host
	if successor, moved := e.options.Directory.Successor(key.Issuer); moved {
		host = successor
	}
	to, dc, ok := e.options.Directory.Peer(host)
	if !ok {
		return fleet.Unknown(model.ReasonIssuerGone)
	}
	q.Pool, ok = e.poolForKey(q.Pool.Service, dc, q.Key)
	if !ok {
		return fleet.Unknown(model.ReasonNoServer)
	}
	resp, err := e.forwardTo(ctx, to, q, deadline, false)
	for err == nil && resp.KeyUse > q.KeyUse && ctx.Err() == nil {
		// The owner requires a newer use of the key. The request is repeated
		// only while its caller still waits.
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

// poolForKey returns the service's pool in a data centre. If the service has
// several shards there, the key selects one, so that all requests with the same
// key reach the same pool.
func (e *Entry) poolForKey(service model.ServiceName, dc model.DataCentre, key string) (model.PoolID, bool) {
	var shards []model.PoolID
	for _, c := range e.options.Catalog().Pools(service) {
		if c.Pool.DataCentre == dc {
			shards = append(shards, c.Pool)
		}
	}
	if len(shards) == 0 {
		return model.PoolID{}, false
	}
	return shards[xxhash.Sum64String(key)%uint64(len(shards))], true
}

// requestIDBytes is the size of a request ID; 128 random bits cannot be guessed.
const requestIDBytes = 16

func newRequestID() model.RequestID {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails; see crypto/rand
	return model.RequestID(hex.EncodeToString(b[:]))
}
