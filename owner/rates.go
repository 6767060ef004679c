package owner

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ratelimit"
	"github.com/agateusher/agateusher/fleet"
)

const (
	// DemandInterval is the interval between demand reports.
	DemandInterval = time.Second
	// demandLifetime is the time after which another pool's report is discarded.
	demandLifetime = 3 * DemandInterval
	// demandSmoothing is the weight of the last interval in the exponential moving
	// average of the demand.
	demandSmoothing = 0.5
)

// Rates are the fleet-wide rate limits that apply to a request, in requests per
// second. Zero means no limit.
type Rates struct {
	Workspace float64
	Route     float64
}

// siblingDemand is the last report from another pool of the same service.
type siblingDemand struct {
	requests   float64 // requests per DemandInterval, smoothed
	receivedAt time.Time
}

// rateLimits limits one pool's requests to its share of the fleet-wide rates. The
// share is the pool's part of the service's demand, because the callers are often
// all in one data centre.
type rateLimits struct {
	mu               sync.Mutex
	limiter          *ratelimit.Limiter
	intervalRequests float64 // limited requests since the last report
	demand           float64 // moving average of intervalRequests
	siblings         map[model.PoolID]siblingDemand
}

func newRateLimits() *rateLimits {
	return &rateLimits{limiter: ratelimit.New(1), siblings: map[model.PoolID]siblingDemand{}}
}

// allow admits a request, or returns false and the time after which to retry.
func (r *rateLimits) allow(now time.Time, q *fleet.Request, rates Rates) (time.Duration, bool) {
	if rates.Workspace <= 0 && rates.Route <= 0 {
		return 0, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intervalRequests++
	return r.limiter.Allow(now, q.Workspace, rates.Workspace, q.Route, rates.Route)
}

// endInterval starts a new interval and returns the smoothed demand in requests per
// interval. It is zero for a pool without limited requests.
func (r *rateLimits) endInterval(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand += demandSmoothing * (r.intervalRequests - r.demand)
	r.intervalRequests = 0
	r.updateShare(now)
	return r.demand
}

// recordSibling records another pool's report.
func (r *rateLimits) recordSibling(now time.Time, id model.PoolID, requests float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.siblings[id] = siblingDemand{requests: requests, receivedAt: now}
	r.updateShare(now)
}

// updateShare sets this pool's share of the fleet-wide rates. It keeps the last share
// while there is no demand.
func (r *rateLimits) updateShare(now time.Time) {
	total := r.demand
	for id, s := range r.siblings {
		if now.Sub(s.receivedAt) > demandLifetime {
			delete(r.siblings, id)
			continue
		}
		total += s.requests
	}
	if total > 0 {
		r.limiter.SetShare(r.demand / total)
	}
}

// PoolDemand is the demand of an owned pool for requests under a rate limit, in
// requests per DemandInterval.
type PoolDemand struct {
	Pool     model.PoolID
	Requests float64
}

// ReportDemand returns the demand of the pools with limited requests, to be sent to
// the owners of the services' other pools. It must be called once per DemandInterval.
func (w *Owner) ReportDemand(now time.Time) []PoolDemand {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var list []PoolDemand
	for id, p := range w.ownedPools {
		if n := p.rates.endInterval(now); n >= minReportedDemand {
			list = append(list, PoolDemand{Pool: id, Requests: n})
		}
	}
	return list
}

// minReportedDemand is the demand below which a pool is not reported, in requests per
// DemandInterval. It ends the reports some seconds after the last limited request.
const minReportedDemand = 0.01

// RecordSiblingDemand records a pool's report in every other pool of the same service
// that this process runs.
func (w *Owner) RecordSiblingDemand(now time.Time, d fleet.Demand) {
	from := model.PoolID{Service: d.Service, DataCentre: d.DataCentre, Shard: d.Shard}
	w.mu.RLock()
	defer w.mu.RUnlock()
	for id, p := range w.ownedPools {
		if id.Service == d.Service && id != from {
			p.rates.recordSibling(now, from, d.Requests)
		}
	}
}
