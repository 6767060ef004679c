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

// Observer learns of changes for events and reports. Calls come from the
// pools' goroutines and must not block.
type Observer interface {
	ServerChanged(now time.Time, id model.PoolID, change pool.ServerChanged)
	// Retried reports an attempt beyond a request's first: a retry or a hedge.
	Retried(id model.PoolID, workspace model.WorkspaceID)
}

// Catalog gives the configuration in force.
type Catalog interface {
	// Service returns a service.
	Service(name model.ServiceName) (*snapshot.Service, bool)
	// PoolServers returns the servers of a pool.
	PoolServers(id model.PoolID) []snapshot.Server
	// Weight returns a workspace's weight; 1 if it is not configured.
	Weight(id model.WorkspaceID) float64
	// Rates returns the limits of a workspace and a route.
	Rates(w model.WorkspaceID, r model.RouteName) Rates
	// PoolCount returns how many pools the service has, over which its minimum
	// server count is divided.
	PoolCount(name model.ServiceName) int
}

// Options configures an Owner.
type Options struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Catalog     Catalog
	// NewDetector returns a detector for a health policy.
	NewDetector func(snapshot.Policy) (detector.Detector, error)
	Transport   http.RoundTripper
	Tracing     *telemetry.Tracing
	Log         telemetry.Logger
	Scope       telemetry.Scope
	Observer    Observer
	KeySecrets  idempotency.Secrets
	KeyLimits   idempotency.Limits
	// MaxResponseBytes bounds a backend server's response body in bytes.
	MaxResponseBytes int64
}

// Owner holds the pools of this daemon. Pools start with their first request.
type Owner struct {
	o    Options
	keys *keybook

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.RWMutex
	drivers map[model.PoolID]*ownedPool
}

type ownedPool struct {
	driver   *driver
	exchange *httpExchange
	rates    *rateLimits
}

// New returns an owner. Close ends it.
func New(o Options) *Owner {
	ctx, stop := context.WithCancel(context.Background())
	ledger := idempotency.NewLedger(o.Host, o.Incarnation, o.KeySecrets, o.KeyLimits, time.Now())
	return &Owner{o: o, keys: newKeybook(ledger, o.KeyLimits.Lifetime), ctx: ctx, stop: stop, drivers: map[model.PoolID]*ownedPool{}}
}

// Do runs a forwarded request and returns its answer. If ctx ends, an
// idempotent request is cancelled; any other goes on, so that a duplicate can
// be given its answer.
func (w *Owner) Do(ctx context.Context, q *fleet.Request) fleet.Response {
	ctx, span := w.o.Tracing.Tracer.Start(ctx, "owner", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("agateusher.pool", q.Pool.String()),
		attribute.String("agateusher.request_id", string(q.ID))))
	defer span.End()
	var r fleet.Response
	if q.Repeatable {
		r = w.run(ctx, q)
	} else {
		r = w.runOnce(ctx, q)
	}
	span.SetAttributes(attribute.String("agateusher.outcome", r.Outcome.String()), attribute.String("agateusher.reason", string(r.Reason)))
	return r
}

func (w *Owner) run(ctx context.Context, q *fleet.Request) fleet.Response {
	p, err := w.pool(q.Pool)
	if err != nil {
		w.o.Log.WithFields(telemetry.Fields{"event": "pool_unavailable", "pool": q.Pool.String(), "request_id": q.ID}).WithError(err).Warn("cannot run the pool")
		if errors.Is(err, ErrNoServers) {
			// This daemon has just started, or its configuration differs from the
			// entry's; another host may know the pool.
			return fleet.NotRun(model.ReasonNoConfiguration, time.Second)
		}
		return fleet.NotRun(model.ReasonNoServer, time.Second)
	}
	if wait, ok := p.rates.allow(time.Now(), q, w.o.Catalog.Rates(q.Workspace, q.Route)); !ok {
		return fleet.NotRun(model.ReasonRateLimited, wait)
	}
	c := &call{
		request: q, weight: w.o.Catalog.Weight(q.Workspace), deadline: time.Now().Add(q.Budget),
		trace: ctx, answer: make(chan fleet.Response, 1), attempts: map[model.AttemptID]*attemptState{},
	}
	p.driver.submit(c)
	select {
	case r := <-c.answer:
		return r
	case <-ctx.Done():
		p.driver.post(w.ctx, cancelEvent{q.ID})
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return fleet.Unknown(model.ReasonTimeout)
		}
		return fleet.Unknown(model.ReasonCancelled)
	case <-w.ctx.Done():
		// The pool's goroutine ended and answers nothing more.
		return fleet.Unknown(model.ReasonOwnerFailed)
	}
}

// runOnce runs a request that is not idempotent under its key.
func (w *Owner) runOnce(ctx context.Context, q *fleet.Request) fleet.Response {
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
		return w.keys.wait(ctx, key, wait)
	}
	r := w.run(context.WithoutCancel(ctx), q)
	w.keys.end(key, r)
	return r
}

// keyFailure maps a key that was refused to an outcome. "Not run" would be read
// as said of the key's own operation, so it is said only of a key that was
// certainly not spent: not of one whose issuer is unknown, nor of one that was
// first used with other content.
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

// IssueKeys issues keys that this process will honour.
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

// ErrNoServers: the configuration has no servers for the pool.
var ErrNoServers = errors.New("pool has no backend servers")

func (w *Owner) pool(id model.PoolID) (*ownedPool, error) {
	w.mu.RLock()
	p, ok := w.drivers[id]
	w.mu.RUnlock()
	if ok {
		return p, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if p, ok := w.drivers[id]; ok {
		return p, nil
	}
	return w.startPool(id)
}

func (w *Owner) startPool(id model.PoolID) (*ownedPool, error) {
	cfg, b, err := w.poolConfig(id)
	if err != nil {
		return nil, err
	}
	x := &httpExchange{transport: w.o.Transport, tracing: w.o.Tracing, maxResponse: w.o.MaxResponseBytes}
	x.backends.Store(b)
	p := &ownedPool{driver: newDriver(id, cfg, x, w.o.Log, w.o.Scope, w.o.Observer), exchange: x, rates: newRateLimits()}
	w.drivers[id] = p
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		_ = p.driver.run(w.ctx)
	}()
	w.o.Log.WithFields(telemetry.Fields{"event": "pool_started", "pool": id.String()}).Info("this host now runs the pool")
	return p, nil
}

func (w *Owner) poolConfig(id model.PoolID) (pool.Config, *backends, error) {
	service, ok := w.o.Catalog.Service(id.Service)
	servers := w.o.Catalog.PoolServers(id)
	if !ok || len(servers) == 0 {
		return pool.Config{}, nil, ErrNoServers
	}
	det, err := w.o.NewDetector(service.Policy)
	if err != nil {
		return pool.Config{}, nil, err
	}
	cfg := pool.Config{
		Detector: det, Plan: floor.Plan,
		Limits:           floor.Limits{Share: service.Floor.Share, MinServers: service.Floor.MinServersPerPool(w.o.Catalog.PoolCount(id.Service))},
		QueueLimit:       service.QueueLimit,
		RetryBudgetShare: service.RetryBudgetShare,
	}
	for _, s := range servers {
		cfg.Servers = append(cfg.Servers, pool.Server{ID: s.ID, Slots: s.Slots, State: s.State})
	}
	return cfg, newBackends(service, servers), nil
}

// Reconfigure passes the configuration in force to all running pools.
func (w *Owner) Reconfigure() {
	w.mu.RLock()
	defer w.mu.RUnlock()
	for id, p := range w.drivers {
		cfg, b, err := w.poolConfig(id)
		if err != nil {
			// The pool lost its last server: everything it has is leaving.
			p.driver.post(w.ctx, configureEvent{pool.Config{Plan: floor.Plan}})
			continue
		}
		for server, address := range p.exchange.backends.Load().addresses {
			if _, kept := b.addresses[server]; !kept {
				b.addresses[server] = address // attempts in progress may still be cancelled there
			}
		}
		p.exchange.backends.Store(b)
		p.driver.post(w.ctx, configureEvent{cfg})
	}
}

// View is the state of one owned pool.
type View struct {
	Pool model.PoolID
	pool.View
}

// Views returns the state of all owned pools.
func (w *Owner) Views(ctx context.Context) []View {
	pools := w.pools()
	views := make([]View, 0, len(pools))
	for id, p := range pools {
		reply := make(chan pool.View, 1)
		p.driver.post(ctx, viewEvent{reply})
		select {
		case v := <-reply:
			views = append(views, View{Pool: id, View: v})
		case <-ctx.Done():
			return views
		}
	}
	return views
}

// InFlight returns the number of requests and attempts in progress.
func (w *Owner) InFlight() int64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var n int64
	for _, p := range w.drivers {
		n += p.driver.running.Load()
	}
	return n
}

// SealKeys stops the issue and the first use of keys, before a planned stop.
func (w *Owner) SealKeys() { w.keys.seal() }

// ExportKeys returns the sealed ledgers for the successor. It returns
// idempotency.ErrBusy while a request with a key is in progress.
func (w *Owner) ExportKeys() ([]idempotency.Exported, error) { return w.keys.export() }

// AdoptKeys takes over the ledgers of a stopping daemon. It returns
// idempotency.ErrSealed if this daemon is itself handing over: ledgers adopted
// then would be lost with it.
func (w *Owner) AdoptKeys(all []idempotency.Exported) error {
	return w.keys.adopt(all, w.o.KeySecrets, w.o.KeyLimits)
}

// KeyIssuers returns the incarnations whose keys this process may spend.
func (w *Owner) KeyIssuers() []model.Incarnation {
	w.keys.mu.Lock()
	defer w.keys.mu.Unlock()
	list := make([]model.Incarnation, 0, len(w.keys.ledgers))
	for id := range w.keys.ledgers {
		list = append(list, id)
	}
	return list
}

// Close ends the pools' goroutines. Call it when Running is zero.
func (w *Owner) Close() {
	w.stop()
	w.wg.Wait()
}
