package owner

import (
	"context"
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
	// ringSize bounds the events that wait for a pool's goroutine.
	ringSize = 4096
	// loadInterval is how old the load report on an answer may be.
	loadInterval = 5 * time.Millisecond
	// closeAfter bounds how long a connection outlives its abandoned attempt
	// while the server is asked to cancel it.
	closeAfter = 250 * time.Millisecond
	// idleWake is how often an idle pool is ticked.
	idleWake = time.Second
)

// exchange performs attempts at backend servers.
type exchange interface {
	// attempt sends the request to the server and returns how it ended.
	attempt(ctx context.Context, server model.ServerID, c *call, d pool.Dispatch) attemptEnd
	// cancel asks the server to end the request; it returns true once the
	// server confirms that the request no longer occupies a slot.
	cancel(ctx context.Context, server model.ServerID, id model.RequestID) bool
}

// attemptEnd is the end of an attempt and the answer it brought, if any.
type attemptEnd struct {
	result   pool.AttemptResult
	response *fleet.Response
}

// call is one request in a driver.
type call struct {
	request  *fleet.Request
	weight   float64
	deadline time.Time
	trace    context.Context
	answer   chan fleet.Response // receives exactly one answer; buffered
	attempts map[model.AttemptID]*attemptState
}

// attemptState is one dispatched attempt. It outlives its call if abandoned.
type attemptState struct {
	call      *call
	server    model.ServerID
	stop      context.CancelFunc
	response  *fleet.Response
	abandoned bool
}

// event is what a driver's goroutine handles.
type event interface {
	apply(d *driver, now time.Time) []pool.Decision
}

// driver runs one pool.
type driver struct {
	id       model.PoolID
	pool     *pool.Pool
	exchange exchange
	log      telemetry.Logger
	scope    telemetry.Scope
	observer Observer
	outcomes *telemetry.CounterVec
	ring     *kernel.Ring[event]

	calls    map[model.RequestID]*call
	attempts map[model.AttemptID]*attemptState

	load     atomic.Pointer[fleet.Load]
	loadTime time.Time
	running  atomic.Int64 // calls and attempts in progress
}

func newDriver(id model.PoolID, cfg pool.Config, x exchange, log telemetry.Logger, scope telemetry.Scope, o Observer) *driver {
	d := &driver{
		id: id, pool: pool.New(cfg, time.Now()), exchange: x, observer: o,
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

// run handles events until ctx ends.
func (d *driver) run(ctx context.Context) error {
	timer := time.NewTimer(idleWake)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.ring.Items():
			now := time.Now()
			d.execute(ctx, now, e.apply(d, now))
			if end, ok := e.(attemptEvent); ok {
				delete(d.attempts, end.end.result.Attempt)
			}
		case <-timer.C:
			now := time.Now()
			d.execute(ctx, now, d.pool.Tick(now))
		}
		d.schedule(timer)
	}
}

func (d *driver) schedule(timer *time.Timer) {
	now := time.Now()
	wait := idleWake
	if wake := d.pool.NextWake(now); !wake.IsZero() {
		wait = min(wait, max(0, wake.Sub(now)))
	}
	timer.Reset(wait)
	if now.Sub(d.loadTime) >= loadInterval {
		d.publishLoad(now)
	}
}

func (d *driver) publishLoad(now time.Time) {
	d.loadTime = now
	v := d.pool.View(now)
	d.load.Store(&fleet.Load{QueueDelay: v.QueueDelay, FreeSlots: v.FreeSlots})
	d.scope.Gauge("pool_queued").Update(float64(v.Queued))
	d.scope.Gauge("pool_free_slots").Update(float64(v.FreeSlots))
	d.scope.Gauge("pool_ring_depth").Update(float64(d.ring.Depth()))
	d.scope.Gauge("pool_ring_dropped").Update(float64(d.ring.Dropped()))
}

// submit hands a request to the pool. If the ring is full it is refused.
func (d *driver) submit(c *call) {
	d.running.Add(1)
	if !d.ring.Offer(submitEvent{c}) {
		d.reply(c, fleet.NotRun(model.ReasonQueueFull, time.Second))
	}
}

// post adds an event that must not be lost; it waits for room.
func (d *driver) post(ctx context.Context, e event) {
	d.ring.Put(ctx, e)
}

func (d *driver) reply(c *call, r fleet.Response) {
	r.Load = *d.load.Load()
	c.answer <- r
	d.running.Add(-1)
}

func (d *driver) execute(ctx context.Context, now time.Time, decisions []pool.Decision) {
	for _, decision := range decisions {
		switch x := decision.(type) {
		case pool.Dispatch:
			d.dispatch(ctx, x)
		case pool.Refuse:
			d.end(x.Request, fleet.NotRun(x.Reason, x.RetryAfter))
		case pool.Complete:
			d.complete(x)
		case pool.Fail:
			d.end(x.Request, fleet.Response{Outcome: x.Outcome, Reason: x.Reason})
		case pool.Abandon:
			d.abandon(ctx, x)
		case pool.ServerChanged:
			d.serverChanged(now, x)
		}
	}
}

func (d *driver) dispatch(ctx context.Context, x pool.Dispatch) {
	c := d.calls[x.Request]
	attemptCtx, stop := context.WithDeadline(context.WithoutCancel(c.trace), x.Deadline)
	if len(c.attempts) > 0 {
		d.observer.Retried(d.id, c.request.Workspace)
	}
	a := &attemptState{call: c, server: x.Server, stop: stop}
	c.attempts[x.Attempt] = a
	d.attempts[x.Attempt] = a
	d.running.Add(1)
	started := time.Now()
	go func() {
		defer stop()
		end := d.exchange.attempt(attemptCtx, x.Server, c, x)
		end.result.Attempt, end.result.Latency = x.Attempt, time.Since(started)
		d.post(ctx, attemptEvent{end})
	}()
}

func (d *driver) complete(x pool.Complete) {
	c, ok := d.calls[x.Request]
	if !ok {
		return
	}
	a := c.attempts[x.Attempt]
	invariant.Check(a != nil && a.response != nil, invariant.WholeAnswer, "request %s: attempt %s has no whole answer", x.Request, x.Attempt)
	if a == nil || a.response == nil {
		d.end(x.Request, fleet.Unknown(model.ReasonServerFailed))
		return
	}
	d.end(x.Request, *a.response)
}

func (d *driver) end(id model.RequestID, r fleet.Response) {
	c, ok := d.calls[id]
	if !ok {
		return
	}
	delete(d.calls, id)
	d.outcomes.Inc(r.Outcome.String(), "")
	d.reply(c, r)
}

// abandon asks the server to free the slot and then closes the attempt's
// connection. In the other order the server may have ended the request by
// itself, and its answer to the cancellation would say nothing about the slot.
func (d *driver) abandon(ctx context.Context, x pool.Abandon) {
	a, ok := d.attempts[x.Attempt]
	if !ok || a.abandoned {
		return
	}
	a.abandoned = true
	go func() {
		late := time.AfterFunc(closeAfter, a.stop)
		confirmed := d.exchange.cancel(ctx, a.server, a.call.request.ID)
		late.Stop()
		a.stop()
		if confirmed {
			d.post(ctx, confirmEvent{x.Attempt})
		}
	}()
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
