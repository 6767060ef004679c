package owner

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// ringSize bounds the number of events queued for a pool's goroutine.
	ringSize = 4096
	// loadInterval is the minimum interval between updates of the load that is
	// attached to each response.
	loadInterval = 5 * time.Millisecond
	// cancelCloseDelay bounds how long the connection of an abandoned attempt stays
	// open while the server is asked to cancel the request.
	cancelCloseDelay = 250 * time.Millisecond
	// idleTickInterval is the interval between ticks of an idle pool.
	idleTickInterval = time.Second
)

// backendClient sends requests and cancellations to backend servers.
type backendClient interface {
	// attempt sends the request to the server and waits until the attempt ends.
	attempt(ctx context.Context, server model.ServerID, c *call, d pool.Dispatch) attemptOutcome
	// cancel asks the server to cancel the request. It returns true only if the
	// server confirmed that the request no longer occupies a slot.
	cancel(ctx context.Context, server model.ServerID, id model.RequestID) bool
}

// attemptOutcome is the result of an attempt, and the response if there was one.
type attemptOutcome struct {
	result   pool.AttemptResult
	response *fleet.Response
}

// call is a request that was submitted to a driver.
type call struct {
	request  *fleet.Request
	weight   float64
	deadline time.Time
	traceCtx context.Context
	response chan fleet.Response // receives exactly one response; buffered
	attempts map[model.AttemptID]*attemptState
}

// attemptState is a dispatched attempt. An abandoned one may outlive its call.
type attemptState struct {
	call      *call
	server    model.ServerID
	stop      context.CancelFunc
	response  *fleet.Response
	abandoned bool
}

// event is handled by the driver's goroutine, which alone calls apply.
type event interface {
	apply(d *driver, now time.Time) []pool.Decision
}

// driver runs one pool: it feeds events to the pool and executes the decisions.
type driver struct {
	id       model.PoolID
	pool     *pool.Pool
	client   backendClient
	log      telemetry.Logger
	scope    telemetry.Scope
	observer Observer
	outcomes *telemetry.CounterVec
	ring     *kernel.Ring[event]

	calls    map[model.RequestID]*call
	attempts map[model.AttemptID]*attemptState

	load            atomic.Pointer[fleet.Load]
	loadPublishedAt time.Time
	inFlight        atomic.Int64 // number of calls and attempts in progress
}

func newDriver(id model.PoolID, cfg pool.Config, client backendClient, log telemetry.Logger, scope telemetry.Scope, o Observer) *driver {
	d := &driver{
		id: id, pool: pool.New(cfg, time.Now()), client: client, observer: o,
		log:      log.WithField("pool", id.String()),
		scope:    scope.Tagged(map[string]string{"service": string(id.Service)}),
		ring:     kernel.NewRing[event]("pool", ringSize, kernel.Block),
		calls:    map[model.RequestID]*call{},
		attempts: map[model.AttemptID]*attemptState{},
	}
	d.outcomes = telemetry.NewCounterVec(d.scope, "pool_requests", "outcome", "")
	d.load.Store(&fleet.Load{})
	return d
}

// run handles events and ticks the pool until ctx ends.
func (d *driver) run(ctx context.Context) error {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.ring.Items():
			now := time.Now()
			d.execute(ctx, now, e.apply(d, now))
			if end, ok := e.(attemptFinishedEvent); ok {
				delete(d.attempts, end.outcome.result.Attempt)
			}
		case <-timer.C:
			now := time.Now()
			d.execute(ctx, now, d.pool.Tick(now))
		}
		d.resetTimer(timer)
	}
}

// resetTimer sets the timer to the pool's next wake-up, at most idleTickInterval
// from now, and publishes the load if it is older than loadInterval.
func (d *driver) resetTimer(timer *time.Timer) {
	now := time.Now()
	wait := idleTickInterval
	if wake := d.pool.NextWake(now); !wake.IsZero() {
		wait = min(wait, max(0, wake.Sub(now)))
	}
	timer.Reset(wait)
	if now.Sub(d.loadPublishedAt) >= loadInterval {
		d.publishLoad(now)
	}
}

func (d *driver) publishLoad(now time.Time) {
	d.loadPublishedAt = now
	v := d.pool.View(now)
	d.load.Store(&fleet.Load{QueueDelay: v.QueueDelay, FreeSlots: v.FreeSlots})
	d.scope.Gauge("pool_queued").Update(float64(v.Queued))
	d.scope.Gauge("pool_free_slots").Update(float64(v.FreeSlots))
	d.scope.Gauge("pool_ring_depth").Update(float64(d.ring.Depth()))
	d.scope.Gauge("pool_ring_dropped").Update(float64(d.ring.Dropped()))
}

// submit passes a request to the pool, or refuses it if the ring is full.
func (d *driver) submit(c *call) {
	d.inFlight.Add(1)
	if !d.ring.Offer(submitEvent{c}) {
		d.reply(c, fleet.NotRun(model.ReasonQueueFull, time.Second))
	}
}

// enqueue adds an event that must not be lost. It blocks while the ring is full,
// until ctx ends.
func (d *driver) enqueue(ctx context.Context, e event) {
	d.ring.Put(ctx, e)
}

func (d *driver) reply(c *call, r fleet.Response) {
	r.Load = *d.load.Load()
	c.response <- r
	d.inFlight.Add(-1)
}

func (d *driver) execute(ctx context.Context, now time.Time, decisions []pool.Decision) {
	for _, decision := range decisions {
		switch x := decision.(type) {
		case pool.Dispatch:
			d.dispatch(ctx, x)
		case pool.Refuse:
			d.finish(x.Request, fleet.NotRun(x.Reason, x.RetryAfter))
		case pool.Complete:
			d.complete(x)
		case pool.Fail:
			d.finish(x.Request, fleet.Response{Outcome: x.Outcome, Reason: x.Reason})
		case pool.Abandon:
			d.abandon(ctx, x)
		case pool.ServerChanged:
			d.serverChanged(now, x)
		case pool.ServerLimited:
			d.serverLimited(x)
		}
	}
}

func (d *driver) dispatch(ctx context.Context, x pool.Dispatch) {
	c := d.calls[x.Request]
	attemptCtx, stop := context.WithDeadline(context.WithoutCancel(c.traceCtx), x.Deadline)
	if len(c.attempts) > 0 {
		d.observer.Retried(d.id, c.request.Workspace)
	}
	a := &attemptState{call: c, server: x.Server, stop: stop}
	c.attempts[x.Attempt] = a
	d.attempts[x.Attempt] = a
	d.inFlight.Add(1)
	started := time.Now()
	go func() {
		defer stop()
		end := d.client.attempt(attemptCtx, x.Server, c, x)
		end.result.Attempt, end.result.Latency = x.Attempt, time.Since(started)
		d.enqueue(ctx, attemptFinishedEvent{end})
	}()
}

func (d *driver) complete(x pool.Complete) {
	c, ok := d.calls[x.Request]
	if !ok {
		return
	}
	a := c.attempts[x.Attempt]
	invariant.Check(a != nil && a.response != nil, invariant.WholeAnswer, "request %s: attempt %s has no complete response", x.Request, x.Attempt)
	if a == nil || a.response == nil {
		d.finish(x.Request, fleet.Unknown(model.ReasonServerFailed))
		return
	}
	d.finish(x.Request, *a.response)
}

func (d *driver) finish(id model.RequestID, r fleet.Response) {
	c, ok := d.calls[id]
	if !ok {
		return
	}
	delete(d.calls, id)
	d.outcomes.Inc(r.Outcome.String(), "")
	d.reply(c, r)
}

// abandon asks the server to cancel the attempt and then closes the connection.
// If the connection were closed first, the server might end the request on its own,
// and its response to the cancellation would not tell whether the slot is free.
func (d *driver) abandon(ctx context.Context, x pool.Abandon) {
	a, ok := d.attempts[x.Attempt]
	if !ok || a.abandoned {
		return
	}
	a.abandoned = true
	go func() {
		closeTimer := time.AfterFunc(cancelCloseDelay, a.stop)
		confirmed := d.client.cancel(ctx, a.server, a.call.request.ID)
		closeTimer.Stop()
		a.stop()
		if confirmed {
			d.enqueue(ctx, cancelConfirmedEvent{x.Attempt})
		}
	}()
}

func (d *driver) serverLimited(x pool.ServerLimited) {
	fields := telemetry.Fields{"event": "server_limited", "server": x.Server, "per_second": x.After.PerSecond}
	if x.Before.InForce {
		fields["before"] = x.Before.PerSecond
	}
	if !x.After.InForce {
		fields["event"] = "server_unlimited"
		delete(fields, "per_second")
	}
	d.log.WithFields(fields).Info("a backend server set, changed or ended its rate limit")
	d.scope.Tagged(map[string]string{"in_force": strconv.FormatBool(x.After.InForce)}).Counter("server_limit_changes").Inc(1)
}

func (d *driver) serverChanged(now time.Time, x pool.ServerChanged) {
	d.log.WithFields(telemetry.Fields{
		"event": "server_changed", "server": x.Server, "from": x.From.String(), "to": x.To.String(),
		"signal": x.Evidence.Signal, "score": x.Evidence.Score, "threshold": x.Evidence.Threshold,
		"oldest_attempt": x.Evidence.OldestAttempt, "attempts": x.Evidence.Attempts, "failures": x.Evidence.Failures,
	}).Warn("backend server changed state")
	d.scope.Tagged(map[string]string{"to": x.To.String()}).Counter("server_changes").Inc(1)
	d.observer.ServerChanged(now, d.id, x)
}
