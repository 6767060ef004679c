package balance

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/cost"
	"github.com/agateusher/agateusher/core/model"
)

// Costs are the terms of a server's cost, in units of the value of one request.
type Costs struct {
	// CrossDataCentreByte is the cost of one byte to another data centre of the
	// region.
	CrossDataCentreByte float64
	// CrossRegionByte is the cost of one byte to another region.
	CrossRegionByte float64
	// IdempotentFailure and NonIdempotentFailure are the costs of an idempotent
	// and of a non-idempotent request that fails with no retry left.
	IdempotentFailure, NonIdempotentFailure float64
	// RetriableFailure is the cost of a failed attempt of a request that can be
	// retried.
	RetriableFailure float64
	// LateResponse is the cost of a response at or after the target latency.
	LateResponse float64
	// UnreachablePath is added for a server that could recently not be connected
	// to, or whose address was recently found to belong to another server.
	UnreachablePath float64
	// NewConnection is added for a server that a new connection has to be opened to. It is
	// low, so that it decides only among servers that are nearly equal.
	NewConnection float64
	// SheddingServer is added for a server that shed a request within its backoff.
	SheddingServer float64
}

// Query describes the attempt to choose a server for.
type Query struct {
	Service model.ServiceName

	Idempotent bool
	// CanRetry is set if the request may be retried should this attempt fail.
	CanRetry bool
	// Request is what is known of the request's cost, for the caller of Choose.
	Request cost.Request
	// Expected is the expected service time; zero: that of the service.
	Expected time.Duration
	// TargetLatency is the latency within which a response has its full value;
	// zero: none.
	TargetLatency time.Duration
	// ExpectedBytes is the expected size of request and response together.
	ExpectedBytes int
	// Excluded lists servers that must not be chosen.
	Excluded []ServerKey
	// Allowed restricts the choice to these servers unless it is empty.
	Allowed []ServerKey
	// LatencyLimit is the longest expected latency at which a request may wait
	// for a slot; zero: unlimited.
	LatencyLimit time.Duration
	// Hedge marks an attempt that is sent while another is unanswered. Only
	// servers with a free slot that are not suspects and have no rate limit are
	// chosen for it.
	Hedge bool
	// Warm lists servers that the attempt needs no new connection to.
	Warm []ServerKey
	// NoPermit leaves out servers with a rate limit.
	NoPermit bool
	// TieBreak selects among servers of equal cost. Any number is valid; random
	// ones spread the load.
	TieBreak uint64
}

// Choice is the chosen server and the values that it was chosen by.
type Choice struct {
	Server Server
	// Request and Expected are those of the query.
	Request  cost.Request
	Expected time.Duration

	Cost               float64
	FailingProbability float64
	// Outstanding is the number of attempts at the server, without this one.
	Outstanding int
	// ExpectedLatency is the estimated time to a response; zero if not known.
	ExpectedLatency time.Duration
	// EvidenceAge is the time since an attempt at the server last succeeded or
	// failed; negative if none did.
	EvidenceAge time.Duration
	// Probe is set if the server was chosen to renew the evidence about it.
	Probe bool
	// Explore is set if the server was chosen because it has been without a request.
	Explore bool
	// QueueFull is set if the server has no free slot and the expected latency
	// exceeds the query's limit.
	QueueFull bool
	// ServerCount is the number of servers of the service, excluded ones included.
	ServerCount int
	// Limit is the server's rate limit. If it is in force, the attempt needs a permit.
	Limit model.RateLimit
	// PermitWait is the time until a permit for one of the servers that were left out
	// for want of permits may be available; zero if there are none.
	PermitWait time.Duration
	// PauseWait is the time until the first pause ends, of the servers that were left out
	// because they asked for one; zero if there are none.
	PauseWait time.Duration
	// NextCost is the cost of the second-best server; zero if there is none or
	// for a probe and for exploration.
	NextCost float64
}

const (
	// probeInterval is how old the evidence about a server may get before an
	// idempotent request that can be retried is sent to renew it.
	probeInterval = 700 * time.Millisecond
	// suspectInterval is the probe interval of suspects.
	suspectInterval = 900 * time.Millisecond
	// maxIdleInterval is how long a server may get no request before the next
	// idempotent one that can be retried is sent to it. A server that is idle
	// for longer counts as lost capacity.
	maxIdleInterval = 1300 * time.Millisecond
	// suspectThreshold is the failing probability from which a server counts as a
	// suspect.
	suspectThreshold = 0.5
	// nonIdempotentMemory is how long a service is expected to have more
	// non-idempotent requests after its last one. Meanwhile probes gather evidence
	// for them.
	nonIdempotentMemory = 5 * time.Second
	// remoteLoadLifetime is how long a load report of another data centre is used.
	remoteLoadLifetime = 2 * time.Second
	// assumedRemoteLoad is the share of busy slots assumed for a server of another
	// data centre without a current load report.
	assumedRemoteLoad = 0.5
)

// Choose returns the server of least cost for an attempt, or one that is due for a
// probe. It returns false if the query, or the lack of permits, rules out every server
// of the service; only PermitWait and PauseWait are valid then.
func (t *Table) Choose(now time.Time, q Query) (Choice, bool) {
	svc, ok := t.services[q.Service]
	if !ok {
		return Choice{}, false
	}
	if !q.Idempotent {
		svc.lastNonIdempotent = now
	}
	// Without budget, a failure cannot be retried.
	retriable := q.Idempotent && q.CanRetry
	q.CanRetry = q.CanRetry && t.AllowRetry(now, q.Service, q.Idempotent)
	if retriable {
		svc.lastProbeable = now
		if s := t.probeTarget(now, svc, q); s != nil {
			c := t.evaluate(now, svc, s, q)
			c.Probe, c.QueueFull = true, false
			return c, true
		}
	}
	if !q.Idempotent && now.Sub(svc.lastProbeable) >= probeMemory {
		if s := t.explore(now, svc, q); s != nil {
			c := t.evaluate(now, svc, s, q)
			c.Explore, c.QueueFull = true, false
			return c, true
		}
	}
	var best Choice
	var permitWait, pauseWait time.Duration
	found := false
	for i := range svc.servers {
		s := svc.servers[(i+int(q.TieBreak%uint64(len(svc.servers))))%len(svc.servers)]
		if slices.Contains(q.Excluded, s.Key) || (len(q.Allowed) > 0 && !slices.Contains(q.Allowed, s.Key)) {
			continue
		}
		if withheld, wait := t.signals.withheld(now, s.Key); withheld {
			if wait > 0 && (pauseWait == 0 || wait < pauseWait) {
				pauseWait = wait
			}
			continue
		}
		if wait := s.permitWait(now); wait > 0 || (s.limit.InForce && (q.Hedge || q.NoPermit)) {
			if permitWait == 0 || wait < permitWait {
				permitWait = max(1, wait)
			}
			continue
		}
		c := t.evaluate(now, svc, s, q)
		if !slices.Contains(q.Warm, s.Key) && q.passesOver(s.Key) {
			c.Cost += passOverCost
		}
		if q.Hedge && (c.Outstanding >= s.Slots || c.FailingProbability >= suspectThreshold) {
			continue
		}
		switch {
		case !found:
			best, found = c, true
		case c.Cost < best.Cost:
			c.NextCost = best.Cost
			best = c
		case best.NextCost == 0 || c.Cost < best.NextCost:
			best.NextCost = c.Cost
		}
	}
	best.PermitWait, best.PauseWait = permitWait, pauseWait
	return best, found
}

// passOverCost is added for the servers that a query passes over: three of four, drawn by
// TieBreak. Daemons that choose before they hear of each other's attempts then rarely choose
// the same server. It is as much as the load of a server whose slots are all in use, so that
// a much better server is not passed over. Servers with a warm connection differ between
// daemons anyway and are not passed over.
const passOverCost = 0.02

// passesOver reports whether the query passes over a server.
func (q *Query) passesOver(k ServerKey) bool {
	// The finalizer of splitmix64 spreads similar keys and numbers.
	x := q.TieBreak ^ uint64(k)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (x^x>>31)%4 != 0
}

// probeTarget returns the server of this data centre that is due for a probe and
// has been without a request for longest; nil if none is due.
func (t *Table) probeTarget(now time.Time, svc *service, q Query) *server {
	// Renewed evidence benefits non-idempotent requests only. It is worth a probe
	// while the budget has room to retry failed probes.
	renew := svc.expectsNonIdempotent(now) && t.budgetUsed(now, svc) < probeBudgetShare
	var oldest *server
	for _, s := range svc.servers {
		if withheld, _ := t.signals.withheld(now, s.Key); withheld {
			continue
		}
		if s.DataCentre != t.opts.DataCentre || slices.Contains(q.Excluded, s.Key) || s.outstanding > 0 ||
			now.Before(s.unreachableUntil) || now.Before(s.shedUntil) || !t.probeDue(now, s, renew) ||
			s.permitWait(now) > 0 || (s.limit.InForce && q.NoPermit) {
			continue
		}
		if !q.CanRetry && t.opts.Model.FailingProbability(s.belief, now) >= suspectThreshold {
			continue // the probe would probably cost the request
		}
		if oldest == nil || probeBefore(now, s, oldest, q.Warm) {
			oldest = s
		}
	}
	return oldest
}

// probeBefore reports whether server a is probed before b: one that is idle for
// maxIdleInterval, then one that no new connection has to be opened to, then the one
// without a request for longest.
func probeBefore(now time.Time, a, b *server, warm []ServerKey) bool {
	aIdle, bIdle := now.Sub(a.lastSent) >= maxIdleInterval, now.Sub(b.lastSent) >= maxIdleInterval
	if aIdle != bIdle {
		return aIdle
	}
	if aWarm, bWarm := slices.Contains(warm, a.Key), slices.Contains(warm, b.Key); aWarm != bWarm && !aIdle {
		return aWarm
	}
	return a.lastSent.Before(b.lastSent)
}

// probeDue reports whether the server has had no request for maxIdleInterval or,
// if renew is set, its evidence is older than the probe interval.
func (t *Table) probeDue(now time.Time, s *server, renew bool) bool {
	idle := now.Sub(s.lastSent)
	if idle >= maxIdleInterval {
		return true
	}
	due := probeInterval
	if t.opts.Model.FailingProbability(s.belief, now) >= suspectThreshold {
		due = suspectInterval
	}
	return renew && idle >= due && now.Sub(s.lastEvidence) >= due
}

// evaluate returns the choice of server s with its cost.
func (t *Table) evaluate(now time.Time, svc *service, s *server, q Query) Choice {
	c := Choice{Server: s.Server, Request: q.Request, Expected: q.Expected, FailingProbability: t.opts.Model.FailingProbability(s.belief, now), Outstanding: s.totalOutstanding(now), EvidenceAge: -1, ServerCount: len(svc.servers), Limit: s.limit.RateLimit}
	if !s.lastEvidence.IsZero() {
		c.EvidenceAge = now.Sub(s.lastEvidence)
	}
	if s.DataCentre != t.opts.DataCentre {
		remote := s.remoteLoads[s.DataCentre]
		switch {
		case now.Sub(remote.ReportedAt) >= remoteLoadLifetime:
			c.Outstanding += int(assumedRemoteLoad * float64(s.Slots))
		case remote.ReportedAt.After(s.lastEvidence):
			c.FailingProbability = max(c.FailingProbability, remote.FailingProbability)
		}
	}
	var load float64
	c.ExpectedLatency, load = t.expectedLatency(now, svc, s, c.Outstanding, q.Expected)
	c.Cost = t.failureCost(now, q)*t.opts.Model.AttemptFailureProbability(c.FailingProbability) + t.latencyCost(c, load, q) + t.transferCost(s, q)
	c.QueueFull = q.LatencyLimit > 0 && c.ExpectedLatency > q.LatencyLimit && c.Outstanding >= s.Slots
	if c.QueueFull {
		c.Cost = refusalCostShare * t.requestFailureCost(q)
	}
	// A server that is half busy gets no preference, so that hosts do not gather at the
	// servers that they used last.
	if 2*c.Outstanding >= s.Slots || !slices.Contains(q.Warm, s.Key) {
		c.Cost += t.opts.Costs.NewConnection
	}
	if now.Before(s.unreachableUntil) {
		c.Cost += t.opts.Costs.UnreachablePath
	}
	if now.Before(s.shedUntil) {
		c.Cost += t.opts.Costs.SheddingServer
	}
	return c
}

// failureCost returns the cost of a failed attempt: that of a failed request, or
// a lower one if the request can be retried. The lower cost rises to the full one
// as the retry budget is used up.
func (t *Table) failureCost(now time.Time, q Query) float64 {
	if !q.Idempotent || !q.CanRetry {
		return t.requestFailureCost(q)
	}
	svc := t.service(q.Service)
	used := min(1, t.budgetUsed(now, svc)/svc.idempotentShare(now))
	return t.opts.Costs.RetriableFailure + used*used*(t.requestFailureCost(q)-t.opts.Costs.RetriableFailure)
}

// refusalCostShare is the cost of a refusal as a share of that of a failed request.
// It is below 1 because the caller may retry.
const refusalCostShare = 0.7

// requestFailureCost returns the cost of a request that fails with no retry left.
func (t *Table) requestFailureCost(q Query) float64 {
	if q.Idempotent {
		return t.opts.Costs.IdempotentFailure
	}
	return t.opts.Costs.NonIdempotentFailure
}

// latencyCost estimates the cost of the server's load and of a late response.
func (t *Table) latencyCost(c Choice, load float64, q Query) float64 {
	cost := loadCost * load * load
	if q.TargetLatency > 0 {
		share := float64(c.ExpectedLatency) / float64(q.TargetLatency)
		cost += t.opts.Costs.LateResponse * min(share*share*share, 1)
	}
	return cost
}

// loadCost is multiplied by the square of a server's load (attempts per slot).
// Servers slow down when nearly full and refuse requests when their queue is full.
const loadCost = 0.02

// transferCost returns the cost of the bytes sent between data centres.
func (t *Table) transferCost(s *server, q Query) float64 {
	switch {
	case s.DataCentre == t.opts.DataCentre:
		return 0
	case s.Region == t.opts.Region:
		return t.opts.Costs.CrossDataCentreByte * float64(q.ExpectedBytes)
	}
	return t.opts.Costs.CrossRegionByte * float64(q.ExpectedBytes)
}
