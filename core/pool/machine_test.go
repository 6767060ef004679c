package pool_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/core/snapshot"
)

// oracleRequest is the expected state of a request.
type oracleRequest struct {
	repeatable bool
	// mayHaveRun counts attempts that may have run. dispatched counts all
	// attempts, live those that have neither ended nor been abandoned.
	mayHaveRun, dispatched, live, finalDecisions int
}

// oracleAttempt is the expected state of a dispatched attempt.
type oracleAttempt struct {
	request model.RequestID
	server  model.ServerID
	// reported: Finish was called. occupies: it must occupy a slot.
	reported, abandoned, occupies bool
	heldSince                     time.Time
}

// machine drives a pool with random events and compares it with a simple model of
// every request and slot.
type machine struct {
	f          *fixture
	now        time.Time
	requests   map[model.RequestID]*oracleRequest
	attempts   map[model.AttemptID]*oracleAttempt
	attemptIDs []model.AttemptID
	// operator is the configured state of each server, status the last status
	// that the pool reported.
	operator map[model.ServerID]snapshot.ServerState
	status   map[model.ServerID]pool.Status
	// dispatchedRequests counts requests that were dispatched, unsentAttempts
	// attempts that could not be sent.
	dispatchedRequests, unsentAttempts int
	// idleRetries is the number of retries that the retry budget may have gained
	// from the minimum traffic that it assumes.
	idleRetries float64
	serviceTime time.Duration
	lastCheck   time.Time
}

const (
	machineServers    = 5
	machineSlots      = 2
	machineRetryBurst = 3
	machineRetryShare = 0.2
	// machineMinTrafficShare is the least traffic that the retry budget assumes,
	// as a share of the capacity.
	machineMinTrafficShare = 0.2
)

func newMachine() *machine {
	m := &machine{
		now: at(0), requests: make(map[model.RequestID]*oracleRequest),
		attempts: make(map[model.AttemptID]*oracleAttempt),
		operator: make(map[model.ServerID]snapshot.ServerState),
		status:   make(map[model.ServerID]pool.Status),
	}
	m.f = newFixture(machineServers, machineSlots, func(c *pool.Config) {
		c.QueueLimit = 10
		c.WorkspaceQueueLimit = 6
		c.RetryBudgetShare = machineRetryShare
		c.RetryBurst = machineRetryBurst
		c.HedgePercentile = 0.9
		c.ReserveShare = 0.1
		c.Readmission = pool.Readmission{EjectionTime: 300 * time.Millisecond, EjectionDecayTime: 2 * time.Second, RampTime: 500 * time.Millisecond}
	})
	for _, s := range m.f.cfg.Servers {
		m.operator[s.ID] = snapshot.ServerActive
		m.status[s.ID] = pool.Serving
	}
	return m
}

func (m *machine) submit(t *rapid.T) {
	id := model.RequestID(fmt.Sprint("r", len(m.requests)))
	r := pool.Request{
		ID: id, Workspace: rapid.SampledFrom([]model.WorkspaceID{"a", "b", "c"}).Draw(t, "workspace"),
		Weight: 1, Repeatable: rapid.Bool().Draw(t, "repeatable"), Arrival: m.now,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond),
	}
	m.requests[id] = &oracleRequest{repeatable: r.Repeatable}
	m.apply(t, m.f.pool.Submit(m.now, r))
}

func (m *machine) finish(t *rapid.T) {
	open := slices.DeleteFunc(slices.Clone(m.attemptIDs), func(a model.AttemptID) bool { return m.attempts[a].reported })
	if len(open) == 0 {
		return
	}
	id := rapid.SampledFrom(open).Draw(t, "attempt")
	kind := rapid.SampledFrom([]pool.ResultKind{
		pool.Answered, pool.Answered, pool.Answered, pool.FailedBeforeSend, pool.FailedAfterSend,
		pool.Shed, pool.TimedOut, pool.Truncated,
	}).Draw(t, "kind")
	a := m.attempts[id]
	a.reported = true
	notRun := kind == pool.FailedBeforeSend || kind == pool.Shed
	if kind == pool.FailedBeforeSend {
		m.unsentAttempts++
	}
	if notRun && !a.abandoned {
		m.requests[a.request].mayHaveRun--
	}
	if !a.abandoned {
		m.requests[a.request].live--
	}
	switch {
	case kind == pool.Answered || notRun, !a.abandoned && kind != pool.TimedOut:
		a.occupies = false
	case !a.abandoned:
		a.heldSince = m.now
	}
	m.apply(t, m.f.pool.Finish(m.now, pool.AttemptResult{
		Attempt: id, Kind: kind, ServerError: kind == pool.Answered && rapid.Bool().Draw(t, "serverError"),
	}))
}

func (m *machine) confirm(t *rapid.T) {
	if len(m.attemptIDs) == 0 {
		return
	}
	id := rapid.SampledFrom(m.attemptIDs).Draw(t, "attempt")
	if a := m.attempts[id]; a.abandoned {
		a.occupies = false
	}
	m.apply(t, m.f.pool.CancelConfirmed(m.now, id))
}

func (m *machine) cancel(t *rapid.T) {
	id := model.RequestID(fmt.Sprint("r", rapid.IntRange(0, len(m.requests)).Draw(t, "request")))
	m.apply(t, m.f.pool.Cancel(m.now, id))
}

func (m *machine) advanceTime(t *rapid.T) {
	wake := m.f.pool.NextWake(m.now)
	if rapid.Bool().Draw(t, "toWake") && wake.After(m.now) {
		m.now = wake
	} else {
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	}
	m.expireHolds()
	ds := m.f.pool.Tick(m.now)
	if len(ds) > 0 && (wake.IsZero() || m.now.Before(wake)) {
		t.Fatalf("NextWake is %s, but at %s the pool decides %v", wake, m.now, ds)
	}
	m.apply(t, ds)
}

// expireHolds frees the slots of abandoned attempts whose CancelHold has passed.
func (m *machine) expireHolds() {
	for _, a := range m.attempts {
		if !a.heldSince.IsZero() && !m.now.Before(a.heldSince.Add(cancelHold)) {
			a.occupies = false
		}
	}
}

func (m *machine) suspect(t *rapid.T) {
	s := serverID(rapid.IntRange(0, machineServers).Draw(t, "server"))
	if rapid.Bool().Draw(t, "suspect") {
		m.f.detector.scores[s] = float64(rapid.IntRange(1, 9).Draw(t, "score"))
	} else {
		delete(m.f.detector.scores, s)
	}
	m.apply(t, m.f.pool.Tick(m.now))
}

func (m *machine) configure(t *rapid.T) {
	cfg := m.f.cfg
	cfg.Servers = nil
	for i := range machineServers {
		id := serverID(i)
		state := rapid.SampledFrom([]snapshot.ServerState{
			"", snapshot.ServerActive, snapshot.ServerActive, snapshot.ServerDraining, snapshot.ServerEjected, "removed",
		}).Draw(t, "state")
		m.operator[id] = state
		if state != "removed" {
			cfg.Servers = append(cfg.Servers, pool.Server{ID: id, Slots: machineSlots, State: state})
		}
	}
	cfg.Limits = floor.Limits{Share: rapid.SampledFrom([]float64{0, 0.3, 0.8, 1}).Draw(t, "share"), MinServers: 1}
	m.f.cfg = cfg
	m.apply(t, m.f.pool.Configure(m.now, cfg))
}

// apply checks each decision and updates the model.
func (m *machine) apply(t *rapid.T, ds []pool.Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case pool.Dispatch:
			m.dispatch(t, d)
		case pool.Refuse:
			m.recordFinal(t, d.Request, model.NotRun)
		case pool.Fail:
			m.recordFinal(t, d.Request, d.Outcome)
		case pool.Complete:
			m.complete(t, d)
		case pool.Abandon:
			m.abandon(t, d.Attempt)
		case pool.ServerChanged:
			if m.status[d.Server] != d.From && m.status[d.Server] != pool.Gone {
				t.Fatalf("%s changes from %s, but was %s", d.Server, d.From, m.status[d.Server])
			}
			m.status[d.Server] = d.To
		}
	}
}

func (m *machine) dispatch(t *rapid.T, d pool.Dispatch) {
	r := m.requests[d.Request]
	if r == nil || r.finalDecisions > 0 {
		t.Fatalf("dispatch of %s, which is unknown or over", d.Request)
	}
	if state := m.operator[d.Server]; state != "" && state != snapshot.ServerActive {
		t.Fatalf("%s gets work although it is %s", d.Server, state)
	}
	if !r.repeatable {
		if r.mayHaveRun > 0 || d.Hedge {
			t.Fatalf("%s may run twice", d.Request)
		}
		if m.status[d.Server] != pool.Serving || m.f.detector.scores[d.Server] > 0 {
			t.Fatalf("%s goes to %s, which is %s", d.Request, d.Server, m.status[d.Server])
		}
	}
	m.attempts[d.Attempt] = &oracleAttempt{request: d.Request, server: d.Server, occupies: true}
	m.attemptIDs = append(m.attemptIDs, d.Attempt)
	if r.dispatched == 0 {
		m.dispatchedRequests++
	}
	r.dispatched++
	r.mayHaveRun++
	r.live++
	m.checkSlots(t, d.Server)
}

func (m *machine) checkSlots(t *rapid.T, s model.ServerID) {
	used := 0
	for _, a := range m.attempts {
		if a.server == s && a.occupies {
			used++
		}
	}
	if used > machineSlots {
		t.Fatalf("%s has %d attempts for %d slots", s, used, machineSlots)
	}
}

func (m *machine) complete(t *rapid.T, d pool.Complete) {
	a := m.attempts[d.Attempt]
	if a == nil || a.request != d.Request || !a.reported {
		t.Fatalf("%s is completed with the answer of another request or none", d.Request)
	}
	m.recordFinal(t, d.Request, model.Answered)
}

func (m *machine) recordFinal(t *rapid.T, id model.RequestID, outcome model.Outcome) {
	r := m.requests[id]
	if r == nil {
		t.Fatalf("final decision for unknown request %s", id)
	}
	r.finalDecisions++
	if r.finalDecisions > 1 {
		t.Fatalf("request %s gets a second final decision", id)
	}
	if outcome == model.NotRun && r.mayHaveRun > 0 {
		t.Fatalf("request %s is reported not run, but may have run", id)
	}
	if outcome == model.Unknown && r.mayHaveRun == 0 {
		t.Fatalf("request %s is reported unknown, but certainly did not run", id)
	}
}

func (m *machine) abandon(t *rapid.T, id model.AttemptID) {
	a := m.attempts[id]
	if a == nil || a.abandoned {
		t.Fatalf("attempt %d is unknown or abandoned before", id)
	}
	a.abandoned = true
	if !a.reported {
		m.requests[a.request].live--
	}
	if a.heldSince.IsZero() {
		a.heldSince = m.now
	}
}

// check compares the pool's view with the model after each event.
func (m *machine) check(t *rapid.T) {
	v := m.f.pool.View(m.now)
	configured, slots, servers, ejected := 0, 0, 0, 0
	for _, s := range v.Servers {
		used := 0
		for _, a := range m.attempts {
			if a.server == s.ID && a.occupies {
				used++
			}
		}
		if used != s.InUse {
			t.Fatalf("%s has %d slots in use, want %d", s.ID, s.InUse, used)
		}
		if m.operator[s.ID] == "removed" {
			continue
		}
		configured += s.Slots
		switch s.Status {
		case pool.Serving, pool.Suspect:
			slots, servers = slots+s.Slots, servers+1
		case pool.Ejected, pool.Probation:
			ejected++
		}
	}
	needed := int(math.Ceil(m.f.cfg.Limits.Share*float64(configured) - 1e-9))
	if ejected > 0 && (slots < needed || servers < m.f.cfg.Limits.MinServers) {
		t.Fatalf("%d slots are left, the floor is %d", slots, needed)
	}
	dispatched := 0
	open := 0
	for _, r := range m.requests {
		dispatched += r.dispatched
		if r.finalDecisions == 0 {
			open++
		}
		if r.finalDecisions > 0 && r.live > 0 {
			t.Fatalf("an attempt of a finished request is not abandoned")
		}
	}
	// One slot is reserved for the other class.
	if v.FreeSlots > 1 && v.Queued > 0 {
		t.Fatalf("%d requests wait although %d slots are free", v.Queued, v.FreeSlots)
	}
	if open != v.Queued+v.Running {
		t.Fatalf("%d requests have no final decision, the pool has %d", open, v.Queued+v.Running)
	}
	// The service time may have changed since the last check. The shorter of the
	// two values gives the larger traffic, and so the upper bound.
	if !m.lastCheck.IsZero() {
		service := min(m.serviceTime, v.ServiceTime).Seconds()
		m.idleRetries += machineRetryShare * machineMinTrafficShare * machineServers * machineSlots / service * m.now.Sub(m.lastCheck).Seconds()
	}
	m.serviceTime, m.lastCheck = v.ServiceTime, m.now
	// Retries of requests that could not be sent do not count against the budget.
	if retries := float64(dispatched - m.dispatchedRequests - m.unsentAttempts); retries > machineRetryBurst+machineRetryShare*float64(m.dispatchedRequests)+m.idleRetries {
		t.Fatalf("%g retries for %d requests exceed the budget", retries, m.dispatchedRequests)
	}
}

// drain advances the time past every deadline and checks that each request has
// exactly one final decision.
func (m *machine) drain(t *rapid.T) {
	m.now = m.now.Add(3 * time.Second)
	m.expireHolds()
	m.apply(t, m.f.pool.Tick(m.now))
	for id, r := range m.requests {
		if r.finalDecisions != 1 {
			t.Fatalf("request %s has %d final decisions", id, r.finalDecisions)
		}
	}
}

// Guards, under random events, against a request that is not repeatable but may
// run twice, a wrong outcome NotRun or Unknown, more attempts than slots, requests
// to leaving servers, requests that are not repeatable to suspect servers,
// ejections below the floor, requests with no or several final decisions, and
// decisions for unknown requests.
func TestPoolMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "submit again": m.submit, "submit more": m.submit,
			"finish": m.finish, "finish more": m.finish,
			"confirm": m.confirm, "cancel": m.cancel, "pass": m.advanceTime, "pass more": m.advanceTime,
			"suspect": m.suspect, "configure": m.configure, "": m.check,
		})
		m.drain(t)
	})
}
