package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/spill"
	"github.com/agateusher/agateusher/fleet"
)

const (
	// loadLifetime is how long a load report is valid. A pool without a valid
	// report is assumed to be idle: traffic moves there in small steps, and the
	// first responses carry a new report.
	loadLifetime = 500 * time.Millisecond
	// unreachablePeriod is how long a data centre without a reachable owner is
	// excluded from the choice.
	unreachablePeriod = time.Second
	// updateInterval is the time between evaluations of a service's load reports.
	updateInterval = 50 * time.Millisecond
	// Round-trip times between data centres of one region and between regions.
	regionRoundTrip = 2 * time.Millisecond
	remoteRoundTrip = 60 * time.Millisecond
)

type loadReport struct {
	load             fleet.Load
	receivedAt       time.Time
	unreachableUntil time.Time
}

// placement chooses a pool for each request of one service.
type placement struct {
	mu         sync.Mutex
	chooser    *spill.Chooser
	lastUpdate time.Time
	reports    map[model.DataCentre]loadReport
}

// placements holds the placement of each service that this entry serves.
type placements struct {
	mu       sync.RWMutex
	services map[model.ServiceName]*placement
}

func newPlacements() *placements { return &placements{services: map[model.ServiceName]*placement{}} }

func (t *placements) forService(service model.ServiceName) *placement {
	t.mu.RLock()
	p, ok := t.services[service]
	t.mu.RUnlock()
	if ok {
		return p
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.services[service]; ok {
		return p
	}
	p = &placement{chooser: spill.New(spill.Config{}), reports: map[model.DataCentre]loadReport{}}
	t.services[service] = p
	return p
}

// recordLoad stores the load report of a pool's response.
func (p *placement) recordLoad(dc model.DataCentre, l fleet.Load) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[dc] = loadReport{load: l, receivedAt: now}
}

// markUnreachable records that no owner in the data centre can be reached.
func (p *placement) markUnreachable(dc model.DataCentre) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.reports[dc]
	r.unreachableUntil = time.Now().Add(unreachablePeriod)
	p.reports[dc] = r
	p.lastUpdate = time.Time{}
}

// order returns the pools to try, starting with one in the chosen data centre.
// choices must be sorted by distance.
func (p *placement) order(choices []PoolChoice) []PoolChoice {
	if len(choices) < 2 {
		return choices
	}
	now := time.Now()
	p.mu.Lock()
	if now.Sub(p.lastUpdate) >= updateInterval {
		p.lastUpdate = now
		p.chooser.Update(now, p.spillReports(now, choices))
	}
	dc, ok := p.chooser.Choose(rand.Float64())
	p.mu.Unlock()
	if !ok {
		return choices
	}
	return moveToFront(choices, dc)
}

// moveToFront moves a pool of the data centre to the front: a random one if the
// service has several shards there.
func moveToFront(choices []PoolChoice, dc model.DataCentre) []PoolChoice {
	var local []int
	for i, c := range choices {
		if c.Pool.DataCentre == dc {
			local = append(local, i)
		}
	}
	if len(local) == 0 {
		return choices
	}
	first := local[rand.IntN(len(local))]
	ordered := make([]PoolChoice, 0, len(choices))
	ordered = append(ordered, choices[first])
	ordered = append(ordered, choices[:first]...)
	return append(ordered, choices[first+1:]...)
}

func (p *placement) spillReports(now time.Time, choices []PoolChoice) []spill.Report {
	var list []spill.Report
	seen := map[model.DataCentre]bool{}
	for _, c := range choices {
		dc := c.Pool.DataCentre
		if seen[dc] {
			continue
		}
		seen[dc] = true
		r := p.reports[dc]
		delay := r.load.QueueDelay
		if now.Sub(r.receivedAt) > loadLifetime {
			delay = 0
		}
		list = append(list, spill.Report{
			DataCentre: dc, Distance: spill.Distance(c.Distance), QueueDelay: delay,
			RoundTrip: roundTrip(c.Distance), Usable: now.After(r.unreachableUntil),
		})
	}
	return list
}

func roundTrip(distance int) time.Duration {
	switch spill.Distance(distance) {
	case spill.Local:
		return 0
	case spill.SameRegion:
		return regionRoundTrip
	}
	return remoteRoundTrip
}
