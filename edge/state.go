package edge

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/telemetry"
)

// state is the shared evidence about backend servers. It is safe for concurrent
// use.
type state struct {
	self    model.HostID
	regions map[model.DataCentre]model.Region
	log     telemetry.Logger
	// observe passes an observation on to the data centre.
	observe func(*gen.Observation)

	mu    sync.Mutex
	table *balance.Table
	next  uint64
	own   map[uint64]struct{}
	// exhausted services had a repeat refused and no room since.
	exhausted map[model.ServiceName]bool
}

func newState(s Settings, log telemetry.Logger) *state {
	return &state{
		self: s.Host.ID, regions: s.Regions, log: log, own: map[uint64]struct{}{}, exhausted: map[model.ServiceName]bool{},
		table: balance.NewTable(balance.Options{
			DataCentre: s.Host.DataCentre, Region: s.Host.Region, Model: beliefModel, Costs: costs,
			Budget: balance.Budget{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window.Std()},
		}),
	}
}

// setServers applies the servers of a view; those that are leaving take no
// requests.
func (s *state) setServers(v *catalog.View) {
	list := make([]balance.Server, 0, len(v.Servers))
	for i := range v.Servers {
		x := &v.Servers[i]
		if x.Draining {
			continue
		}
		list = append(list, balance.Server{
			Key: balance.ServerKey(x.Key()), ID: x.ID, Service: x.Service, DataCentre: x.DataCentre,
			Region: s.regions[x.DataCentre], Address: x.Address, Slots: x.Slots, WarmedUpAt: x.WarmAt,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetServers(time.Now(), list, len(s.regions))
}

// begin chooses a server and records the attempt. The reason is set if there is
// no server for it.
func (s *state) begin(q balance.Query, repeat bool) (balance.Choice, uint64, model.Reason) {
	s.mu.Lock()
	now := time.Now()
	c, ok := s.table.Choose(now, q)
	if !ok || c.QueueFull {
		s.mu.Unlock()
		if ok {
			return c, 0, model.ReasonQueueFull
		}
		return c, 0, model.ReasonNoServer
	}
	s.next++
	number := s.next
	s.own[number] = struct{}{}
	s.table.AttemptStarted(now, c.Server.Key, balance.AttemptKey{Host: s.self, Number: number}, repeat)
	s.mu.Unlock()
	s.observe(&gen.Observation{Kind: gen.Observation_KIND_STARTED, Server: uint64(c.Server.Key), Attempt: number, Repeat: repeat})
	return c, number, model.ReasonNone
}

// observations maps verdicts to what the data centre is told.
var observations = [...]struct {
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
	ConnectFailed:      {gen.Observation_KIND_ABANDONED, balance.Abandoned},
	Cancelled:          {gen.Observation_KIND_ABANDONED, balance.Abandoned},
}

// end records the end of an attempt and tells the data centre.
func (s *state) end(r attemptResult) {
	o := observations[r.verdict]
	key := r.choice.Server.Key
	s.mu.Lock()
	now := time.Now()
	delete(s.own, r.number)
	change := s.table.AttemptFinished(now, key, balance.AttemptKey{Host: s.self, Number: r.number}, o.result, r.latency)
	if r.verdict == ConnectFailed {
		s.table.MarkUnreachable(now, key, unreachableHold)
	}
	s.mu.Unlock()
	s.logChange(change, r.verdict.String(), s.self)
	s.observe(&gen.Observation{Kind: o.kind, Server: uint64(key), Attempt: r.number, LatencyMs: uint32(r.latency.Milliseconds())})
}

// results maps what another daemon observed.
var results = map[gen.Observation_Kind]balance.Result{
	gen.Observation_KIND_SUCCEEDED:   balance.Succeeded,
	gen.Observation_KIND_FAILED:      balance.Failed,
	gen.Observation_KIND_SHED:        balance.Shed,
	gen.Observation_KIND_ABANDONED:   balance.Abandoned,
	gen.Observation_KIND_MISDIRECTED: balance.Misdirected,
}

// observed records what another daemon of the data centre observed.
func (s *state) observed(h model.HostID, o *gen.Observation) {
	key, attempt := balance.ServerKey(o.Server), balance.AttemptKey{Host: h, Number: o.Attempt}
	s.mu.Lock()
	now := time.Now()
	if o.Kind == gen.Observation_KIND_STARTED {
		s.table.AttemptStarted(now, key, attempt, o.Repeat)
		s.mu.Unlock()
		return
	}
	change := s.table.AttemptFinished(now, key, attempt, results[o.Kind], time.Duration(o.LatencyMs)*time.Millisecond)
	s.mu.Unlock()
	s.logChange(change, "peer", h)
}

// suspectLevel is the probability of failing at which a server counts as
// suspect in logs.
const suspectLevel = 0.5

// logChange writes a line when a server becomes a suspect or stops being one.
func (s *state) logChange(c balance.BeliefChange, evidence string, from model.HostID) {
	before, after := c.Before >= suspectLevel, c.After >= suspectLevel
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
	}).Info("belief about a backend server changed")
}

// tick turns unanswered attempts into evidence.
func (s *state) tick() {
	s.mu.Lock()
	changes := s.table.Tick(time.Now())
	s.mu.Unlock()
	for _, c := range changes {
		s.logChange(c, "stall", s.self)
	}
}

// outstanding lists this daemon's attempts that have not ended.
func (s *state) outstanding() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	numbers := make([]uint64, 0, len(s.own))
	for n := range s.own {
		numbers = append(numbers, n)
	}
	return numbers
}

// peerOutstanding forgets attempts of another daemon whose ends were not heard.
func (s *state) peerOutstanding(h model.HostID, numbers []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RetainAttempts(h, numbers)
}

func (s *state) hostGone(h model.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RemoveHost(h)
}

func (s *state) work(name model.ServiceName) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.MeanServiceTime(name)
}

func (s *state) allowRepeat(name model.ServiceName, repeatable bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	allowed := s.table.AllowRetry(now, name, repeatable)
	s.logBudget(name, s.table.BudgetUse(now, name), allowed)
	return allowed
}

// budgetRegained is the used part of a retry budget below which it counts as
// available again after it was exhausted.
const budgetRegained = 0.8

// logBudget writes a line when a service's retry budget first refuses a repeat,
// and when it has room again. s.mu is held.
func (s *state) logBudget(name model.ServiceName, use balance.BudgetUse, allowed bool) {
	event := ""
	switch {
	case !allowed && !s.exhausted[name]:
		event = "retry_budget_exhausted"
	case allowed && s.exhausted[name] && use.UsedShare < budgetRegained:
		event = "retry_budget_regained"
	default:
		return
	}
	s.exhausted[name] = !allowed
	s.log.WithFields(telemetry.Fields{
		"event": event, "service": name, "requests": use.Requests, "repeats": use.Retries, "used": round3(use.UsedShare),
	}).Info("the retry budget of a service changed")
}

func (s *state) allowHedge(name model.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.AllowHedge(time.Now(), name)
}

// thousand is the scale of probabilities in digests.
const thousand = 1000

// loads returns the digest of this data centre.
func (s *state) loads() []*gen.ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*gen.ServerLoad
	s.table.Report(time.Now(), func(k balance.ServerKey, l balance.Load) {
		out = append(out, &gen.ServerLoad{Server: uint64(k), Outstanding: uint32(max(0, l.Outstanding)), Failing: uint32(l.FailingProbability * thousand)})
	})
	return out
}

// loaded records the digest of another data centre.
func (s *state) loaded(from model.DataCentre, loads []*gen.ServerLoad) {
	list := make(map[balance.ServerKey]balance.Load, len(loads))
	for _, l := range loads {
		list[balance.ServerKey(l.Server)] = balance.Load{Outstanding: int(l.Outstanding), FailingProbability: float64(l.Failing) / thousand}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ApplyReport(time.Now(), from, list)
}

func round3(v float64) float64 { return float64(int(v*thousand+0.5)) / thousand }
