package owner

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ratelimit"
	"github.com/agateusher/agateusher/fleet"
)

const (
	// DemandInterval is the time between demand reports.
	DemandInterval = time.Second
	// demandLifetime is how long another pool's report counts.
	demandLifetime = 3 * DemandInterval
	// demandSmoothing is the weight of the last interval in the moving mean.
	demandSmoothing = 0.5
)

// Rates are the fleet-wide limits of a request, in requests a second; zero: no
// limit.
type Rates struct {
	Workspace float64
	Route     float64
}

type siblingDemand struct {
	requests float64
	at       time.Time
}

// rateLimits limits one pool's requests to this pool's part of the fleet-wide
// rates. The part follows the pool's share of the service's demand, because
// callers are often all in one data centre.
type rateLimits struct {
	mu       sync.Mutex
	limiter  *ratelimit.Limiter
	count    float64 // since the last report
	demand   float64 // moving mean of count
	siblings map[model.PoolID]siblingDemand
}

func newRateLimits() *rateLimits {
	return &rateLimits{limiter: ratelimit.New(1), siblings: map[model.PoolID]siblingDemand{}}
}

// allow takes one request, or says when to try again.
func (r *rateLimits) allow(now time.Time, q *fleet.Request, rates Rates) (time.Duration, bool) {
	if rates.Workspace <= 0 && rates.Route <= 0 {
		return 0, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	return r.limiter.Allow(now, q.Workspace, rates.Workspace, q.Route, rates.Route)
}

// report ends an interval and returns the smoothed demand, which is zero for a
// pool without limited requests.
func (r *rateLimits) report(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand += demandSmoothing * (r.count - r.demand)
	r.count = 0
	r.split(now)
	return r.demand
}

// sibling takes another pool's report.
func (r *rateLimits) sibling(now time.Time, id model.PoolID, requests float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.siblings[id] = siblingDemand{requests: requests, at: now}
	r.split(now)
}

func (r *rateLimits) split(now time.Time) {
	total := r.demand
	for id, s := range r.siblings {
		if now.Sub(s.at) > demandLifetime {
			delete(r.siblings, id)
			continue
		}
		total += s.requests
	}
	if total > 0 {
		r.limiter.SetShare(r.demand / total)
	}
}

// PoolDemand is the demand of one owned pool.
type PoolDemand struct {
	Pool     model.PoolID
	Requests float64
}

// ReportDemand ends an interval of DemandInterval and returns the pools with
// limited requests, for the owners of the services' other pools.
func (w *Owner) ReportDemand(now time.Time) []PoolDemand {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var list []PoolDemand
	for id, p := range w.drivers {
		if n := p.rates.report(now); n >= minReportedDemand {
			list = append(list, PoolDemand{Pool: id, Requests: n})
		}
	}
	return list
}

// minReportedDemand ends the reports of a pool some seconds after its last
// limited request.
const minReportedDemand = 0.01

// RecordSiblingDemand takes a report from another pool's owner for every shard of the
// same service that this process runs.
func (w *Owner) RecordSiblingDemand(now time.Time, d fleet.Demand) {
	from := model.PoolID{Service: d.Service, DataCentre: d.DataCentre, Shard: d.Shard}
	w.mu.RLock()
	defer w.mu.RUnlock()
	for id, p := range w.drivers {
		if id.Service == d.Service && id != from {
			p.rates.sibling(now, from, d.Requests)
		}
	}
}
