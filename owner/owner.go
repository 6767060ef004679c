package owner

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/idempotency"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/telemetry"
)

// Observer is notified of changes, for events and reports. It is called from the
// pools' goroutines and must not block.
type Observer interface {
	// ServerChanged reports a change of a backend server's state.
	ServerChanged(now time.Time, id model.PoolID, change pool.ServerChanged)
	// Retried reports an attempt after a request's first one: a retry or a hedge.
	Retried(id model.PoolID, workspace model.WorkspaceID)
}

// Catalog provides the configuration in force.
type Catalog interface {
	// Service returns a service; false if it is not configured.
	Service(name model.ServiceName) (*snapshot.Service, bool)
	// PoolServers returns the servers of a pool.
	PoolServers(id model.PoolID) []snapshot.Server
	// Weight returns a workspace's weight, or 1 if the workspace is not configured.
	Weight(id model.WorkspaceID) float64
	// Rates returns the rate limits of a workspace and a route.
	Rates(w model.WorkspaceID, r model.RouteName) Rates
	// PoolCount returns the number of the service's pools. The service's minimum
	// number of servers is divided among them.
	PoolCount(name model.ServiceName) int
}

// Options configures an Owner.
type Options struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Catalog     Catalog
	// NewDetector returns a failure detector for a health policy.
	NewDetector func(snapshot.Policy) (detector.Detector, error)
	Transport   http.RoundTripper
	Tracing     *telemetry.Tracing
	Log         telemetry.Logger
	Scope       telemetry.Scope
	Observer    Observer
	KeySecrets  idempotency.Secrets
	KeyLimits   idempotency.Limits
	// MaxResponseBytes bounds a backend server's response body.
	MaxResponseBytes int64
}

// Owner runs the pools that this daemon owns. A pool starts with its first request.
type Owner struct {
	opts Options
	keys *keyStore

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu         sync.RWMutex
	ownedPools map[model.PoolID]*ownedPool
}

type ownedPool struct {
	driver *driver
	client *httpBackendClient
	rates  *rateLimits
}

// New returns an owner, which must be closed with Close.
func New(o Options) *Owner {
	ctx, stop := context.WithCancel(context.Background())
	ledger := idempotency.NewLedger(o.Host, o.Incarnation, o.KeySecrets, o.KeyLimits, time.Now())
	return &Owner{opts: o, keys: newKeyStore(ledger, o.KeyLimits.Lifetime), ctx: ctx, stop: stop, ownedPools: map[model.PoolID]*ownedPool{}}
}

// Do runs a forwarded request and returns its response. If ctx ends, an idempotent
// request is cancelled. Any other request continues, so that its response can be
// returned to a duplicate.
func (w *Owner) Do(ctx context.Context, q *fleet.Request) fleet.Response {
	ctx, span := w.opts.Tracing.Tracer.Start(ctx, "owner", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("agateusher.pool", q.Pool.String()),
		attribute.String("agateusher.request_id", string(q.ID))))
	defer span.End()
	var r fleet.Response
	if q.Repeatable {
		r = w.run(ctx, q)
	} else {
		r = w.runWithKey(ctx, q)
	}
	span.SetAttributes(attribute.String("agateusher.outcome", r.Outcome.String()), attribute.String("agateusher.reason", string(r.Reason)))
	return r
}

// run submits a request to its pool and waits for the response.
func (w *Owner) run(ctx context.Context, q *fleet.Request) fleet.Response {
	p, err := w.getOrStartPool(q.Pool)
	if err != nil {
		w.opts.Log.WithFields(telemetry.Fields{"event": "pool_unavailable", "pool": q.Pool.String(), "request_id": q.ID}).WithError(err).Warn("cannot start the pool; the request was not run")
		if errors.Is(err, ErrNoServers) {
			// This daemon has just started, or its configuration differs from the
			// entry's. Another host may have servers for the pool.
			return fleet.NotRun(model.ReasonNoConfiguration, time.Second)
		}
		return fleet.NotRun(model.ReasonNoServer, time.Second)
	}
	if wait, ok := p.rates.allow(time.Now(), q, w.opts.Catalog.Rates(q.Workspace, q.Route)); !ok {
		return fleet.NotRun(model.ReasonRateLimited, wait)
	}
	c := &call{
		request: q, weight: w.opts.Catalog.Weight(q.Workspace), deadline: time.Now().Add(q.Budget),
		traceCtx: ctx, response: make(chan fleet.Response, 1), attempts: map[model.AttemptID]*attemptState{},
	}
	p.driver.submit(c)
	select {
	case r := <-c.response:
		return r
	case <-ctx.Done():
		p.driver.enqueue(w.ctx, cancelEvent{q.ID})
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return fleet.Unknown(model.ReasonTimeout)
		}
		return fleet.Unknown(model.ReasonCancelled)
	case <-w.ctx.Done():
		// The pool's goroutine has ended and sends no more responses.
		return fleet.Unknown(model.ReasonOwnerFailed)
	}
}

// runWithKey runs a request that is not idempotent, at most once for its key. A
// duplicate gets the response of the first request.
func (w *Owner) runWithKey(ctx context.Context, q *fleet.Request) fleet.Response {
	key, err := idempotency.Decode(q.Key)
	if err != nil {
		return keyFailure(err)
	}
	key.Use = q.KeyUse
	scope := idempotency.Scope{Workspace: q.Workspace, Route: q.Route}
	verdict, record, wait, err := w.keys.begin(key, scope, fingerprint(q))
	if err != nil {
		return keyFailure(err)
	}
	switch verdict {
	case idempotency.Replay:
		return fleet.Response{Outcome: record.Outcome, Reason: record.Reason, Status: record.Status, Header: record.Header, Body: record.Body}
	case idempotency.Wait:
		ctx, cancel := context.WithTimeout(ctx, q.Budget)
		defer cancel()
		return w.keys.waitForFirst(ctx, key, wait)
	}
	r := w.run(context.WithoutCancel(ctx), q)
	w.keys.end(key, r)
	return r
}

// keyFailure returns the response to a request whose key was refused. Callers take
// "not run" to mean that no request with the key ran. It is therefore returned only if
// the key was certainly not used, which excludes keys of an unknown issuer and keys
// that were first used with different content.
func keyFailure(err error) fleet.Response {
	var released *idempotency.ReleasedError
	if errors.As(err, &released) {
		r := fleet.NotRun(model.ReasonDeadline, 0)
		r.KeyUse = released.Use
		return r
	}
	switch {
	case errors.Is(err, idempotency.ErrWrongIssuer), errors.Is(err, idempotency.ErrSealed):
		return fleet.Unknown(model.ReasonIssuerGone)
	case errors.Is(err, idempotency.ErrExpired):
		return fleet.Unknown(model.ReasonKeyExpired)
	case errors.Is(err, idempotency.ErrMismatch):
		return fleet.Unknown(model.ReasonKeyMismatch)
	case errors.Is(err, idempotency.ErrUnverified):
		return fleet.Unknown(model.ReasonKeyInvalid)
	}
	return fleet.NotRun(model.ReasonKeyInvalid, 0)
}

// IssueKeys issues keys that this process accepts. The response has a reason instead
// of keys if the daemon is stopping or no more keys can be issued.
func (w *Owner) IssueKeys(q fleet.KeysRequest) fleet.KeysResponse {
	resp, err := w.keys.issue(q)
	switch {
	case errors.Is(err, idempotency.ErrSealed):
		return fleet.KeysResponse{Reason: model.ReasonStopping}
	case err != nil:
		return fleet.KeysResponse{Reason: model.ReasonKeysExhausted}
	}
	return resp
}

// fingerprint returns the SHA-256 hash of the method, the target and the body, cut to
// the fingerprint's size.
func fingerprint(q *fleet.Request) idempotency.Fingerprint {
	h := sha256.New()
	for _, part := range []string{q.Method, q.Target} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(q.Body)
	var fp idempotency.Fingerprint
	copy(fp[:], h.Sum(nil))
	return fp
}

// ErrNoServers means that the configuration has no servers for a pool.
var ErrNoServers = errors.New("pool has no backend servers")

// getOrStartPool returns the pool, and starts it if it is not running yet.
func (w *Owner) getOrStartPool(id model.PoolID) (*ownedPool, error) {
	w.mu.RLock()
	p, ok := w.ownedPools[id]
	w.mu.RUnlock()
	if ok {
		return p, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if p, ok := w.ownedPools[id]; ok {
		return p, nil
	}
	return w.startPool(id)
}

// startPool starts a pool. The caller holds mu.
func (w *Owner) startPool(id model.PoolID) (*ownedPool, error) {
	cfg, b, err := w.poolConfig(id)
	if err != nil {
		return nil, err
	}
	x := &httpBackendClient{transport: w.opts.Transport, tracing: w.opts.Tracing, maxResponseBytes: w.opts.MaxResponseBytes}
	x.config.Store(b)
	p := &ownedPool{driver: newDriver(id, cfg, x, w.opts.Log, w.opts.Scope, w.opts.Observer), client: x, rates: newRateLimits()}
	w.ownedPools[id] = p
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		_ = p.driver.run(w.ctx)
	}()
	w.opts.Log.WithFields(telemetry.Fields{"event": "pool_started", "pool": id.String()}).Info("this host now runs the pool")
	return p, nil
}

// poolConfig returns the configuration in force for a pool, or ErrNoServers.
func (w *Owner) poolConfig(id model.PoolID) (pool.Config, *backendConfig, error) {
	service, ok := w.opts.Catalog.Service(id.Service)
	servers := w.opts.Catalog.PoolServers(id)
	if !ok || len(servers) == 0 {
		return pool.Config{}, nil, ErrNoServers
	}
	det, err := w.opts.NewDetector(service.Policy)
	if err != nil {
		return pool.Config{}, nil, err
	}
	cfg := pool.Config{
		Detector: det, Plan: floor.Plan,
		Limits:           floor.Limits{Share: service.Floor.Share, MinServers: service.Floor.MinServersPerPool(w.opts.Catalog.PoolCount(id.Service))},
		QueueLimit:       service.QueueLimit,
		RetryBudgetShare: service.RetryBudgetShare,
	}
	for _, s := range servers {
		cfg.Servers = append(cfg.Servers, pool.Server{ID: s.ID, Slots: s.Slots, State: s.State})
	}
	return cfg, newBackendConfig(service, servers), nil
}

// Reconfigure applies the configuration in force to all running pools.
func (w *Owner) Reconfigure() {
	w.mu.RLock()
	defer w.mu.RUnlock()
	for id, p := range w.ownedPools {
		cfg, b, err := w.poolConfig(id)
		if err != nil {
			// No servers are configured any more: the servers the pool has are leaving.
			p.driver.enqueue(w.ctx, configureEvent{pool.Config{Plan: floor.Plan}})
			continue
		}
		for server, address := range p.client.config.Load().addresses {
			if _, kept := b.addresses[server]; !kept {
				b.addresses[server] = address // needed to cancel attempts in progress
			}
		}
		p.client.config.Store(b)
		p.driver.enqueue(w.ctx, configureEvent{cfg})
	}
}

// View is the state of one owned pool.
type View struct {
	Pool model.PoolID
	pool.View
}

// Views returns the state of all owned pools.
func (w *Owner) Views(ctx context.Context) []View {
	pools := w.copyPools()
	views := make([]View, 0, len(pools))
	for id, p := range pools {
		reply := make(chan pool.View, 1)
		p.driver.enqueue(ctx, viewEvent{reply})
		select {
		case v := <-reply:
			views = append(views, View{Pool: id, View: v})
		case <-ctx.Done():
			return views
		}
	}
	return views
}

// InFlight returns the total number of requests and attempts in progress.
func (w *Owner) InFlight() int64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var n int64
	for _, p := range w.ownedPools {
		n += p.driver.inFlight.Load()
	}
	return n
}

// SealKeys makes this process stop issuing keys and accepting unused ones, before a
// planned stop.
func (w *Owner) SealKeys() { w.keys.seal() }

// ExportKeys returns the sealed ledgers for the successor. It returns
// idempotency.ErrBusy while a request with a key is in progress.
func (w *Owner) ExportKeys() ([]idempotency.ExportedLedger, error) { return w.keys.export() }

// AdoptKeys takes over the ledgers of a stopping daemon. It returns
// idempotency.ErrSealed if this daemon is handing over its own ledgers, because ledgers
// adopted then would be lost when it stops.
func (w *Owner) AdoptKeys(all []idempotency.ExportedLedger) error {
	return w.keys.adopt(all, w.opts.KeySecrets, w.opts.KeyLimits)
}

// KeyIssuers returns the incarnations whose keys this process may accept.
func (w *Owner) KeyIssuers() []model.Incarnation {
	w.keys.mu.Lock()
	defer w.keys.mu.Unlock()
	list := make([]model.Incarnation, 0, len(w.keys.ledgers))
	for id := range w.keys.ledgers {
		list = append(list, id)
	}
	return list
}

// Close ends the pools' goroutines. Call it when InFlight returns zero: a request that
// is still in progress gets the outcome "unknown".
func (w *Owner) Close() {
	w.stop()
	w.wg.Wait()
}
