package balance

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Costs weigh the reasons against a server, in units of one request's worth.
type Costs struct {
	// CrossDataCentreByte is the cost of one byte to another data centre of the region.
	CrossDataCentreByte float64
	// CrossRegionByte is the cost of one byte to another region.
	CrossRegionByte float64
	// IdempotentFailure is the cost of an idempotent request that fails for good, and
	// NonIdempotentFailure that of another.
	IdempotentFailure, NonIdempotentFailure float64
	// RetriableFailure is the cost of a failed attempt of a request that can be repeated.
	RetriableFailure float64
	// LateResponse is the cost of an answer after its target latency.
	LateResponse float64
	// UnreachablePath is the cost of a path that failed lately.
	UnreachablePath float64
	// SheddingServer is the cost of a server that refused a request just now.
	SheddingServer float64
}

// Query describes the attempt that needs a server.
type Query struct {
	Service model.ServiceName
	// Idempotent marks an idempotent request.
	Idempotent bool
	// CanRetry is set if the request may be sent once more should this attempt fail.
	CanRetry bool
	// TargetLatency is the latency within which an answer has its full worth.
	TargetLatency time.Duration
	// ExpectedBytes is the expected size of the exchange.
	ExpectedBytes int
	// Excluded lists servers that the request must not be sent to.
	Excluded []ServerKey
	// Allowed limits the choice to these servers unless it is empty.
	Allowed []ServerKey
	// LatencyLimit is the longest time to an answer that is worth waiting for a slot;
	// zero: any.
	LatencyLimit time.Duration
	// Hedge marks an attempt beside one that is unanswered: only a server with
	// a free slot that seems to serve will do.
	Hedge bool
	// TieBreak orders servers of equal cost; any number.
	TieBreak uint64
}

// Choice is a server with what decided for it.
type Choice struct {
	Server             Server
	Cost               float64
	FailingProbability float64
	// Outstanding attempts at the server, this one left out.
	Outstanding int
	// ExpectedLatency is the estimated time to an answer; zero if it is not known.
	ExpectedLatency time.Duration
	// EvidenceAge is the time since an attempt there last ended; negative if
	// none did.
	EvidenceAge time.Duration
	// Probe marks an attempt that was sent to gather evidence.
	Probe bool
	// QueueFull is set if the request would wait for a slot for longer than its
	// limit.
	QueueFull bool
	// ServerCount is the number of servers considered.
	ServerCount int
	// NextCost is the cost of the best other server; zero if there was none.
	NextCost float64
}

const (
	// probeInterval is how long evidence about a server may age before an
	// idempotent request with a spare attempt is used to renew it.
	probeInterval = 700 * time.Millisecond
	// suspectInterval is the same for servers that seem to fail.
	suspectInterval = 900 * time.Millisecond
	// starvedAfter is how long a server may be without any request before the
	// next idempotent one is sent there: servers that are passed over for
	// longer count as lost capacity.
	starvedAfter = 1300 * time.Millisecond
	// suspected is the probability from which a server counts as a suspect.
	suspected = 0.5
	// guardedFor is how long after a request that must not repeat evidence is
	// gathered for the next one.
	guardedFor = 5 * time.Second
	// remoteLoadLifetime is how long a load report counts.
	remoteLoadLifetime = 2 * time.Second
	// remoteShare is the part of its slots that a server in another data
	// centre is assumed to use if there is no report.
	remoteShare = 0.5
)

// Choose returns the server for an attempt. It returns false if the service has
// no server that was not tried.
func (t *Table) Choose(now time.Time, q Query) (Choice, bool) {
	group, ok := t.services[q.Service]
	if !ok {
		return Choice{}, false
	}
	if !q.Idempotent {
		group.guarded = now
	}
	if q.Idempotent && q.CanRetry {
		if s := t.probeTarget(now, group, q); s != nil {
			c := t.describe(now, group, s, q)
			c.Probe, c.QueueFull = true, false
			return c, true
		}
	}
	var best Choice
	found := false
	for i := range group.servers {
		s := group.servers[(i+int(q.TieBreak%uint64(len(group.servers))))%len(group.servers)]
		if slices.Contains(q.Excluded, s.Key) || (len(q.Allowed) > 0 && !slices.Contains(q.Allowed, s.Key)) {
			continue
		}
		c := t.describe(now, group, s, q)
		if q.Hedge && (c.Outstanding >= s.Slots || c.FailingProbability >= suspected) {
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
	return best, found
}

// probeTarget returns the server of this data centre whose evidence is due for
// renewal by an idempotent request, nil if there is none.
func (t *Table) probeTarget(now time.Time, group *service, q Query) *server {
	// Evidence serves requests that must not repeat, as long as failed probes
	// can be repeated.
	renew := group.isGuarded(now) && t.budgetUsed(now, group) < probeShare
	var oldest *server
	for _, s := range group.servers {
		if s.DataCentre != t.opts.DataCentre || slices.Contains(q.Excluded, s.Key) || s.outstanding > 0 ||
			now.Before(s.unreachableUntil) || now.Before(s.shedUntil) || !t.probeDue(now, s, renew) {
			continue
		}
		if oldest == nil || s.probed.Before(oldest.probed) {
			oldest = s
		}
	}
	return oldest
}

func (t *Table) probeDue(now time.Time, s *server, renew bool) bool {
	idle := now.Sub(s.probed)
	if idle >= starvedAfter {
		return true
	}
	due := probeInterval
	if t.opts.Model.FailingProbability(s.belief, now) >= suspected {
		due = suspectInterval
	}
	return renew && idle >= due && now.Sub(s.heard) >= due
}

func (t *Table) describe(now time.Time, group *service, s *server, q Query) Choice {
	c := Choice{Server: s.Server, FailingProbability: t.opts.Model.FailingProbability(s.belief, now), Outstanding: s.load(now), EvidenceAge: -1, ServerCount: len(group.servers)}
	if !s.heard.IsZero() {
		c.EvidenceAge = now.Sub(s.heard)
	}
	if s.DataCentre != t.opts.DataCentre {
		home := s.elsewhere[s.DataCentre]
		switch {
		case now.Sub(home.ReportedAt) >= remoteLoadLifetime:
			c.Outstanding += int(remoteShare * float64(s.Slots))
		case home.ReportedAt.After(s.heard):
			c.FailingProbability = max(c.FailingProbability, home.FailingProbability)
		}
	}
	c.ExpectedLatency = t.expected(now, group, s, c.Outstanding)
	c.Cost = t.failureCost(now, q)*t.opts.Model.AttemptFailureProbability(c.FailingProbability) + t.lateness(c, q) + t.transfer(s, q)
	c.QueueFull = q.LatencyLimit > 0 && c.ExpectedLatency > q.LatencyLimit && c.Outstanding >= s.Slots
	if c.QueueFull {
		c.Cost = refusalShare * t.lost(q)
	}
	if now.Before(s.unreachableUntil) {
		c.Cost += t.opts.Costs.UnreachablePath
	}
	if now.Before(s.shedUntil) {
		c.Cost += t.opts.Costs.SheddingServer
	}
	return c
}

// failureCost is what a failed attempt costs: the whole request, or only the
// time of an attempt if the request can be sent once more. That costs the more
// the less is left of the retry budget.
func (t *Table) failureCost(now time.Time, q Query) float64 {
	if !q.Idempotent || !q.CanRetry {
		return t.lost(q)
	}
	group := t.service(q.Service)
	used := min(1, t.budgetUsed(now, group)/group.repeatableShare(now))
	return t.opts.Costs.RetriableFailure + used*used*(t.lost(q)-t.opts.Costs.RetriableFailure)
}

// expected estimates the time to an answer, waiting for a slot included; zero if
// the service time is not known.
func (t *Table) expected(now time.Time, group *service, s *server, outstanding int) time.Duration {
	work := group.work
	if s.work > work && now.Sub(s.timed) < slowMemory {
		work = s.work
	}
	if now.Before(s.WarmedUpAt) {
		work *= coldFactor
	}
	return time.Duration(float64(work) * rounds(outstanding, s.Slots))
}

// refusalShare is the part of a lost request that a refusal costs: the caller
// may come back.
const refusalShare = 0.7

// lost is the cost of a request that fails for good.
func (t *Table) lost(q Query) float64 {
	if q.Idempotent {
		return t.opts.Costs.IdempotentFailure
	}
	return t.opts.Costs.NonIdempotentFailure
}

// coldFactor is how much longer a server takes while it warms up.
const coldFactor = 2

// lateness estimates the cost of waiting for a slot and of a slow server.
func (t *Table) lateness(c Choice, q Query) float64 {
	load := float64(c.Outstanding) / float64(max(1, c.Server.Slots))
	cost := busyCost * load * load
	if q.TargetLatency > 0 {
		share := float64(c.ExpectedLatency) / float64(q.TargetLatency)
		cost += t.opts.Costs.LateResponse * min(share*share*share, 1)
	}
	return cost
}

// busyCost times the square of a server's load is a cost of its own: servers
// slow down when nearly full and refuse requests when their queue is.
const busyCost = 0.02

func (t *Table) transfer(s *server, q Query) float64 {
	switch {
	case s.DataCentre == t.opts.DataCentre:
		return 0
	case s.Region == t.opts.Region:
		return t.opts.Costs.CrossDataCentreByte * float64(q.ExpectedBytes)
	}
	return t.opts.Costs.CrossRegionByte * float64(q.ExpectedBytes)
}
