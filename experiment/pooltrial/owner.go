package pooltrial

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// confirmDelay is the time that a server takes to confirm a cancellation.
const confirmDelay = time.Millisecond

// Owner runs one real pool with simulated servers.
type Owner struct {
	clock    *Clock
	random   *rand.Rand
	pool     *pool.Pool
	service  Service
	failures float64
	running  map[model.AttemptID]*Event
	requests map[model.RequestID]*openRequest
	stats    map[model.WorkspaceID]*WorkspaceStats
	lastID   uint64
	wake     *Event
	wakeAt   time.Time
	measured bool
	// unconfirmed and stalled are described in OwnerConfig.
	unconfirmed bool
	stalled     map[model.ServerID]bool
	// Waits are the times from arrival to the first dispatch.
	Waits Samples
	// Dispatched counts attempts, FirstAttempts the first attempts of requests.
	Dispatched, FirstAttempts int
	// OnChange, if not nil, is called for each change of a server's status.
	OnChange func(pool.ServerChanged)
	// servers holds the server of each running attempt, dispatchedTo the number of
	// attempts at each server, and faults the fault of each faulty server.
	servers      map[model.AttemptID]model.ServerID
	dispatchedTo map[model.ServerID]int
	faults       map[model.ServerID]Fault
	// OnAnswer, if not nil, is called for each answered request.
	OnAnswer func()
}

// openRequest is a request whose outcome is not decided yet.
type openRequest struct {
	stats      *WorkspaceStats
	arrival    time.Time
	dispatched bool
}

// OwnerConfig describes the simulated pool.
type OwnerConfig struct {
	Service Service
	// Failures is the share of attempts that fail after they were sent.
	Failures float64
	// Configure, if not nil, changes the pool's configuration.
	Configure func(*pool.Config)
	Seed      uint64
	// Stalled is the number of servers that neither answer requests nor confirm
	// cancellations.
	Stalled int
	// Unconfirmed means that no server confirms cancellations.
	Unconfirmed bool
}

// NewOwner returns an owner of Servers servers.
func NewOwner(c *Clock, cfg OwnerConfig) *Owner {
	o := &Owner{
		clock: c, random: newRand(cfg.Seed, 0), service: cfg.Service, failures: cfg.Failures,
		running:  make(map[model.AttemptID]*Event),
		requests: make(map[model.RequestID]*openRequest),
		stats:    make(map[model.WorkspaceID]*WorkspaceStats),
		stalled:  make(map[model.ServerID]bool),

		servers:      make(map[model.AttemptID]model.ServerID),
		dispatchedTo: make(map[model.ServerID]int),
		faults:       make(map[model.ServerID]Fault),
		measured:     true, unconfirmed: cfg.Unconfirmed,
	}
	pc := pool.Config{Detector: noSuspects{}, Plan: func(floor.Input) floor.Result { return floor.Result{} }}
	for i := range Servers {
		id := model.ServerID("s" + strconv.Itoa(i))
		pc.Servers = append(pc.Servers, pool.Server{ID: id, Slots: Slots})
		o.stalled[id] = i < cfg.Stalled
	}
	if cfg.Configure != nil {
		cfg.Configure(&pc)
	}
	o.pool = pool.New(pc, c.Now())
	return o
}

// Measure sets whether requests that arrive from now on are counted.
func (o *Owner) Measure(on bool) { o.measured = on }

// Submit passes a request to the pool; its deadline is limit from now.
func (o *Owner) Submit(w model.WorkspaceID, repeatable bool, limit time.Duration) {
	o.lastID++
	id := model.RequestID(strconv.FormatUint(o.lastID, 10))
	open := &openRequest{stats: &WorkspaceStats{}, arrival: o.clock.Now()}
	if o.measured {
		open.stats = o.Stats(w)
	}
	open.stats.Offered++
	o.requests[id] = open
	o.apply(o.pool.Submit(o.clock.Now(), pool.Request{
		ID: id, Workspace: w, Weight: 1, Repeatable: repeatable,
		Arrival: o.clock.Now(), Deadline: o.clock.Now().Add(limit),
	}))
}

// Stats returns the statistics of a workspace, which it creates if necessary.
func (o *Owner) Stats(w model.WorkspaceID) *WorkspaceStats {
	a := o.stats[w]
	if a == nil {
		a = &WorkspaceStats{Workspace: w}
		o.stats[w] = a
	}
	return a
}

// Total returns the counts of all workspaces together, without latencies.
func (o *Owner) Total() WorkspaceStats {
	var sum WorkspaceStats
	for _, a := range o.stats {
		sum.Offered += a.Offered
		sum.Answered += a.Answered
		sum.NotRun += a.NotRun
		sum.Unknown += a.Unknown
	}
	return sum
}

// apply executes the pool's decisions.
func (o *Owner) apply(ds []pool.Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case pool.Dispatch:
			o.dispatch(d)
		case pool.Abandon:
			o.abandon(d.Attempt)
		case pool.ServerChanged:
			if o.OnChange != nil {
				o.OnChange(d)
			}
		case pool.Complete:
			o.complete(d.Request)
		case pool.Refuse:
			o.end(d.Request).stats.NotRun++
		case pool.Fail:
			if open := o.end(d.Request); d.Outcome == model.NotRun {
				open.stats.NotRun++
			} else {
				open.stats.Unknown++
			}
		}
	}
	o.schedule()
}

func (o *Owner) dispatch(d pool.Dispatch) {
	open := o.requests[d.Request]
	o.Dispatched++
	if !open.dispatched {
		open.dispatched = true
		o.FirstAttempts++
		if o.measured {
			o.Waits = append(o.Waits, o.clock.Now().Sub(open.arrival))
		}
	}
	o.servers[d.Attempt] = d.Server
	o.dispatchedTo[d.Server]++
	fault := o.faults[d.Server]
	failures, factor := o.failures, 1
	switch fault {
	case FaultErrors:
		failures = errorShare
	case FaultSlow:
		factor = slowFactor
	}
	kind := pool.Answered
	if o.random.Float64() < failures {
		kind = pool.FailedAfterSend
	}
	if o.stalled[d.Server] || fault == FaultStall {
		o.running[d.Attempt] = &Event{}
		return
	}
	o.running[d.Attempt] = o.clock.After(time.Duration(factor)*o.service(o.random), func() { o.finish(d.Attempt, kind) })
}

func (o *Owner) finish(a model.AttemptID, kind pool.ResultKind) {
	delete(o.running, a)
	delete(o.servers, a)
	o.apply(o.pool.Finish(o.clock.Now(), pool.AttemptResult{Attempt: a, Kind: kind}))
}

// abandon cancels the attempt at its server. The server confirms after
// confirmDelay, unless it is stalled or unconfirmed is set.
func (o *Owner) abandon(a model.AttemptID) {
	event, running := o.running[a]
	if !running {
		return
	}
	event.Cancel()
	delete(o.running, a)
	o.clock.After(0, func() { o.finish(a, pool.TimedOut) })
	if o.unconfirmed || event.run == nil {
		return
	}
	o.clock.After(confirmDelay, func() { o.apply(o.pool.CancelConfirmed(o.clock.Now(), a)) })
}

func (o *Owner) complete(id model.RequestID) {
	open := o.end(id)
	open.stats.Answered++
	open.stats.Latency = append(open.stats.Latency, o.clock.Now().Sub(open.arrival))
	if o.OnAnswer != nil {
		o.OnAnswer()
	}
}

func (o *Owner) end(id model.RequestID) *openRequest {
	open := o.requests[id]
	delete(o.requests, id)
	return open
}

// schedule sets the timer for the pool's next tick.
func (o *Owner) schedule() {
	at := o.pool.NextWake(o.clock.Now())
	if at.Equal(o.wakeAt) && !at.IsZero() {
		return
	}
	if o.wake != nil {
		o.wake.Cancel()
	}
	o.wakeAt = at
	if at.IsZero() {
		return
	}
	o.wake = o.clock.At(at, func() {
		o.wakeAt = time.Time{}
		o.apply(o.pool.Tick(o.clock.Now()))
	})
}

// noSuspects is a detector that suspects no server.
type noSuspects struct{}

func (noSuspects) Started(time.Time, model.ServerID, model.AttemptID)                   {}
func (noSuspects) Finished(time.Time, model.ServerID, model.AttemptID, detector.Result) {}
func (noSuspects) Reset(time.Time, model.ServerID)                                      {}
func (noSuspects) Forget(model.ServerID)                                                {}
func (noSuspects) Suspects(time.Time) []detector.Suspicion                              { return nil }
func (noSuspects) Evidence(time.Time, model.ServerID) detector.Evidence                 { return detector.Evidence{} }
func (noSuspects) NextWake(time.Time) time.Time                                         { return time.Time{} }
