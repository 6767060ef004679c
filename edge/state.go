package edge

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/cost"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/permit"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/telemetry"
)

// serverState holds the evidence about backend servers that the daemons of a data
// centre share. It is safe for concurrent use.
type serverState struct {
	localHost model.HostID
	regions   map[model.DataCentre]model.Region
	log       telemetry.Logger
	// publish sends an observation to the other daemons of the data centre.
	publish func(*gen.Observation)

	mu          sync.Mutex
	table       *balance.Table
	lastAttempt uint64
	// localAttempts has this daemon's unfinished attempts.
	localAttempts map[uint64]cost.Request
	costs         cost.Estimator
	costsSentAt   time.Time
	permits       *permit.Issuer
	// budgetExhausted is set for services whose retry budget has refused a retry
	// and has not been regained since.
	budgetExhausted map[model.ServiceName]bool
	admissions      admissions
}

func newServerState(s Settings, log telemetry.Logger) *serverState {
	return &serverState{
		localHost: s.Host.ID, regions: s.Regions, log: log, localAttempts: map[uint64]cost.Request{}, permits: permit.NewIssuer(), budgetExhausted: map[model.ServiceName]bool{},
		table: balance.NewTable(balance.Options{
			DataCentre: s.Host.DataCentre, Region: s.Host.Region, Model: failureModel, Costs: choiceCosts,
			Budget: balance.Budget{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window.Std()},
		}),
	}
}

// setServers applies the servers of a view. Draining servers are left out, so that
// they get no requests.
func (s *serverState) setServers(v *catalog.View) {
	list := make([]balance.Server, 0, len(v.Servers))
	for i := range v.Servers {
		entry := &v.Servers[i]
		if entry.Draining {
			continue
		}
		list = append(list, balance.Server{
			Key: balance.ServerKey(entry.Key()), ID: entry.ID, Service: entry.Service, DataCentre: entry.DataCentre,
			Region: s.regions[entry.DataCentre], Address: entry.Address, Slots: entry.Slots, WarmedUpAt: entry.WarmAt,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.table.SetServers(now, list, len(s.regions))
	for _, d := range v.Departed {
		l := balance.Leaving{Server: balance.ServerKey(d.Key), Age: now.Sub(d.At)}
		if !d.Until.IsZero() {
			if l.Left = d.Until.Sub(now); l.Left <= 0 {
				continue
			}
		}
		s.table.ObserveLeaving(now, l)
	}
}

// update changes the table under the lock, which it releases also after a panic.
func (s *serverState) update(change func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(time.Now())
}

// startAttempt chooses a server and records the attempt. It returns a reason other
// than model.ReasonNone if no server is available. An attempt at a server whose limit is
// in force is not recorded and has the number zero; it needs a permit and a call of
// startPermitted.
func (s *serverState) startAttempt(q balance.Query, retry bool) (c balance.Choice, number uint64, reason model.Reason) {
	s.update(func(now time.Time) {
		var ok bool
		q.Expected = s.costs.Estimate(now, q.Request).Cautious()
		c, ok = s.table.Choose(now, q)
		switch {
		case !ok && c.PauseWait > 0:
			reason = model.ReasonShed
		case !ok && c.PermitWait > 0:
			reason = model.ReasonServerLimit
		case !ok:
			reason = model.ReasonNoServer
		case c.QueueFull:
			reason = model.ReasonQueueFull
		case !c.Limit.InForce:
			number = s.recordStart(now, c, retry)
		}
	})
	if number != 0 {
		s.publishStart(c, number, retry)
	}
	return c, number, reason
}

// startPermitted records an attempt for which a permit was issued. It returns zero if
// the server has left meanwhile or said that it wants no requests.
func (s *serverState) startPermitted(c balance.Choice, retry bool) (number uint64) {
	s.update(func(now time.Time) {
		if s.table.MayReceive(now, c.Server.Key) {
			number = s.recordStart(now, c, retry)
		}
	})
	if number != 0 {
		s.publishStart(c, number, retry)
	}
	return number
}

// recordStart records the start of an attempt of this daemon and returns its number.
// s.mu must be held.
func (s *serverState) recordStart(now time.Time, c balance.Choice, retry bool) uint64 {
	s.lastAttempt++
	s.localAttempts[s.lastAttempt] = c.Request
	attempt := balance.AttemptKey{Host: s.localHost, Number: s.lastAttempt}
	s.table.AttemptStarted(now, c.Server.Key, attempt, retry)
	s.table.Expect(attempt, c.Expected)
	s.admitStarted(now, c.Server.Key, true, retry)
	return s.lastAttempt
}

func (s *serverState) publishStart(c balance.Choice, number uint64, retry bool) {
	s.publish(&gen.Observation{Kind: gen.Observation_KIND_STARTED, Server: uint64(c.Server.Key), Attempt: number, Repeat: retry, ExpectedMs: uint32(c.Expected.Milliseconds())})
}

// verdictObservations maps verdicts to the observations that are published and
// recorded.
var verdictObservations = [...]struct {
	kind   gen.Observation_Kind
	result balance.Result
}{
	Usable:             {gen.Observation_KIND_SUCCEEDED, balance.Succeeded},
	ServerFailure:      {gen.Observation_KIND_FAILED, balance.Failed},
	Refused:            {gen.Observation_KIND_SHED, balance.Shed},
	Misdirected:        {gen.Observation_KIND_MISDIRECTED, balance.Misdirected},
	MismatchedResponse: {gen.Observation_KIND_FAILED, balance.Failed},
	InvalidResponse:    {gen.Observation_KIND_FAILED, balance.Failed},
	ConnectionLost:     {gen.Observation_KIND_FAILED, balance.Failed},
	StaleConnection:    {gen.Observation_KIND_ABANDONED, balance.Abandoned},
	Withheld:           {gen.Observation_KIND_ABANDONED, balance.Abandoned},
	ConnectFailed:      {gen.Observation_KIND_ABANDONED, balance.Abandoned},
	Cancelled:          {gen.Observation_KIND_ABANDONED, balance.Abandoned},
	TimedOut:           {gen.Observation_KIND_TIMED_OUT, balance.TimedOut},
}

// finishAttempt records the result of an attempt and publishes it.
func (s *serverState) finishAttempt(r attemptResult) {
	o := verdictObservations[r.verdict]
	key := r.choice.Server.Key
	observation := &gen.Observation{Kind: o.kind, Server: uint64(key), Attempt: r.number, LatencyMs: uint32(r.latency.Milliseconds())}
	var limit model.RateLimit
	if r.resp != nil {
		limit = r.resp.limit
		observation.PauseMs = uint32(r.resp.pause.Milliseconds())
	}
	if limit.InForce {
		observation.Limit = &limit.PerSecond
	}
	var change balance.BeliefChange
	var limitChange balance.LimitChange
	s.update(func(now time.Time) {
		s.learnCost(now, r)
		delete(s.localAttempts, r.number)
		limitChange = s.observeLimit(now, key, o.result, r.latency, limit)
		change = s.table.AttemptFinished(now, key, balance.AttemptKey{Host: s.localHost, Number: r.number}, o.result, r.latency)
		s.admitEnded(now, key, o.result)
		if r.verdict == ConnectFailed {
			s.table.MarkUnreachable(now, key, unreachableDuration)
		}
	})
	s.logBeliefChange(change, r.verdict.String(), s.localHost)
	s.logLimitChange(limitChange, s.localHost)
	s.publish(observation)
}

// observeLimit records the limit that an answer named, or that a successful answer
// named none.
func (s *serverState) observeLimit(now time.Time, key balance.ServerKey, r balance.Result, latency time.Duration, l model.RateLimit) balance.LimitChange {
	if !l.InForce && r != balance.Succeeded {
		return balance.LimitChange{}
	}
	return s.table.ObserveLimit(now, key, now.Add(-latency), l)
}

// recordCutStream records that a server did not deliver the rest of a response
// whose attempt was finished with its first part.
func (s *serverState) recordCutStream(key balance.ServerKey) {
	var change balance.BeliefChange
	s.update(func(now time.Time) {
		change = s.table.AttemptFinished(now, key, balance.AttemptKey{Host: s.localHost}, balance.Failed, 0)
	})
	s.logBeliefChange(change, "cut-stream", s.localHost)
	s.publish(&gen.Observation{Kind: gen.Observation_KIND_FAILED, Server: uint64(key)})
}

// observationResults maps the observations of other daemons to results.
var observationResults = map[gen.Observation_Kind]balance.Result{
	gen.Observation_KIND_SUCCEEDED:   balance.Succeeded,
	gen.Observation_KIND_FAILED:      balance.Failed,
	gen.Observation_KIND_SHED:        balance.Shed,
	gen.Observation_KIND_ABANDONED:   balance.Abandoned,
	gen.Observation_KIND_MISDIRECTED: balance.Misdirected,
	gen.Observation_KIND_TIMED_OUT:   balance.TimedOut,
}

// applyPeerObservation records an observation of another daemon of the data centre.
func (s *serverState) applyPeerObservation(h model.HostID, o *gen.Observation) {
	key, attempt := balance.ServerKey(o.Server), balance.AttemptKey{Host: h, Number: o.Attempt}
	result, latency := observationResults[o.Kind], time.Duration(o.LatencyMs)*time.Millisecond
	limit := model.RateLimit{InForce: o.Limit != nil, PerSecond: o.GetLimit()}
	if o.Kind == gen.Observation_KIND_COSTS {
		s.mergeCosts(o.Costs)
		return
	}
	var change balance.BeliefChange
	var limitChange balance.LimitChange
	s.update(func(now time.Time) {
		if o.Kind == gen.Observation_KIND_STARTED {
			s.table.AttemptStarted(now, key, attempt, o.Repeat)
			s.admitStarted(now, key, false, o.Repeat)
			s.table.Expect(attempt, min(time.Duration(o.ExpectedMs)*time.Millisecond, maxExpected))
			return
		}
		limitChange = s.observeLimit(now, key, result, latency, limit)
		change = s.table.AttemptFinished(now, key, attempt, result, latency)
		s.admitEnded(now, key, result)
		s.table.ObservePeerPause(now, h, key, time.Duration(o.PauseMs)*time.Millisecond)
	})
	s.logBeliefChange(change, "peer", h)
	s.logLimitChange(limitChange, h)
}

// suspectThreshold is the probability of failing from which a server is logged as
// suspect.
const suspectThreshold = 0.5

// logBeliefChange logs when a server becomes suspect or stops being suspect.
func (s *serverState) logBeliefChange(c balance.BeliefChange, evidence string, from model.HostID) {
	before, after := c.Before >= suspectThreshold, c.After >= suspectThreshold
	if before == after {
		return
	}
	event := "server_trusted"
	if after {
		event = "server_suspected"
	}
	s.log.WithFields(telemetry.Fields{
		"event": event, "server": c.Server, "evidence": evidence, "from": from,
		"failing_before": round3(c.Before), "failing": round3(c.After),
	}).Info("a backend server became suspect or stopped being suspect")
}

// logLimitChange logs that a server named another limit, or none any more, in an
// answer to the host from.
func (s *serverState) logLimitChange(c balance.LimitChange, from model.HostID) {
	if !c.Changed() {
		return
	}
	fields := telemetry.Fields{"event": "server_limited", "server": c.Server, "per_second": round3(c.After.PerSecond), "from": from}
	if c.Before.InForce {
		fields["before"] = round3(c.Before.PerSecond)
	}
	if !c.After.InForce {
		fields["event"] = "server_unlimited"
		delete(fields, "per_second")
	}
	s.log.WithFields(fields).Info("a backend server set, changed or ended its rate limit")
}

func (s *serverState) limitedServers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.LimitedServers()
}

// tick counts long unanswered attempts as evidence against their servers.
func (s *serverState) tick() {
	var changes []balance.BeliefChange
	s.update(func(now time.Time) { changes = s.table.Tick(now) })
	s.publishCosts()
	for _, c := range changes {
		s.logBeliefChange(c, "stall", s.localHost)
	}
}

// localOutstanding returns the numbers of this daemon's unfinished attempts.
func (s *serverState) localOutstanding() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	numbers := make([]uint64, 0, len(s.localAttempts))
	for n := range s.localAttempts {
		numbers = append(numbers, n)
	}
	return numbers
}

// retainPeerAttempts removes all attempts of another daemon but the listed ones: the
// observations of their ends were lost.
func (s *serverState) retainPeerAttempts(h model.HostID, numbers []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RetainAttempts(h, numbers)
}

func (s *serverState) removeHost(h model.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RemoveHost(h)
}

// forgetPeerAttempts removes the attempts of all other daemons.
func (s *serverState) forgetPeerAttempts() {
	s.update(func(time.Time) { s.table.RetainHost(s.localHost) })
}

func (s *serverState) allowRetry(name model.ServiceName, idempotent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	allowed := s.table.AllowRetry(now, name, idempotent)
	s.logBudget(name, s.table.BudgetUse(now, name), allowed)
	return allowed
}

// budgetRegainedShare is the used share of an exhausted retry budget below which it
// is logged as available again.
const budgetRegainedShare = 0.8

// logBudget logs when the retry budget of a service first refuses a retry, and when
// it is available again. s.mu must be held.
func (s *serverState) logBudget(name model.ServiceName, use balance.BudgetUse, allowed bool) {
	event := ""
	switch {
	case !allowed && !s.budgetExhausted[name]:
		event = "retry_budget_exhausted"
	case allowed && s.budgetExhausted[name] && use.UsedShare < budgetRegainedShare:
		event = "retry_budget_regained"
	default:
		return
	}
	s.budgetExhausted[name] = !allowed
	s.log.WithFields(telemetry.Fields{
		"event": event, "service": name, "requests": use.Requests, "repeats": use.Retries, "used": round3(use.UsedShare),
	}).Info("the retry budget of a service is exhausted or available again")
}

func (s *serverState) allowHedge(name model.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return !s.sheds(now, name) && s.table.AllowHedge(now, name)
}

// perMille is the scale of the probabilities in load digests.
const perMille = 1000

// localLoads returns the load digest of this data centre, which other data centres
// receive.
func (s *serverState) localLoads() []*gen.ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*gen.ServerLoad
	s.table.Report(time.Now(), func(k balance.ServerKey, l balance.Load) {
		out = append(out, &gen.ServerLoad{Server: uint64(k), Outstanding: uint32(max(0, l.Outstanding)), Failing: uint32(l.FailingProbability * perMille), WorkMs: uint32(l.Work.Milliseconds())})
	})
	return out
}

// applyRemoteLoads records the load digest of another data centre.
func (s *serverState) applyRemoteLoads(from model.DataCentre, loads []*gen.ServerLoad) {
	list := make(map[balance.ServerKey]balance.Load, len(loads))
	for _, l := range loads {
		list[balance.ServerKey(l.Server)] = balance.Load{Outstanding: int(l.Outstanding), FailingProbability: float64(l.Failing) / perMille, Work: time.Duration(l.WorkMs) * time.Millisecond}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ApplyReport(time.Now(), from, list)
}

// round3 rounds a non-negative number to three decimals.
func round3(v float64) float64 { return float64(int(v*perMille+0.5)) / perMille }
