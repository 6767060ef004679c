package edge

import (
	"strings"
	"time"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/cost"
	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
)

const (
	// costDigestInterval is the time between digests of costs to the data centre.
	costDigestInterval = 5 * time.Second
	// maxCostCells bounds the classes in a digest: about 400 bytes. A hub passes it on
	// to all hosts of the data centre.
	maxCostCells = 16
	// maxExpected bounds the expected service time that another daemon may name.
	maxExpected = 10 * time.Minute
)

// costRequest returns what is known of the cost of the request.
func (f *forwarding) costRequest() cost.Request {
	q := cost.Request{Service: string(f.service), Route: string(f.route.Name), Method: f.request.method, Bytes: len(f.request.body)}
	if f.workspace != nil {
		q.Workspace = string(f.workspace.Name)
	}
	rest := strings.Trim(strings.TrimPrefix(f.request.path(), f.route.Prefix), "/")
	q.Path, _, _ = strings.Cut(rest, "/")
	return q
}

// expectedServiceTime returns the expected service time of a request, or the mean of its
// service if no costs are known; zero if that is not known either.
func (s *serverState) expectedServiceTime(q cost.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected := s.costs.Estimate(time.Now(), q).Cautious(); expected > 0 {
		return expected
	}
	return s.table.MeanServiceTime(model.ServiceName(q.Service))
}

// learnCost records the service time of a successful attempt that did not wait for a slot.
// s.mu must be held.
func (s *serverState) learnCost(now time.Time, r attemptResult) {
	if r.verdict != Usable {
		return
	}
	attempt := balance.AttemptKey{Host: s.localHost, Number: r.number}
	if took, ok := s.table.ServiceTime(now, attempt, r.latency); ok {
		s.costs.Observe(now, s.localAttempts[r.number], took)
	}
}

// publishCosts sends the samples since the last digest to the data centre.
func (s *serverState) publishCosts() {
	var cells []cost.Cell
	s.update(func(now time.Time) {
		if now.Sub(s.costsSentAt) >= costDigestInterval {
			s.costsSentAt = now
			cells = s.costs.Digest(maxCostCells)
		}
	})
	if len(cells) == 0 {
		return
	}
	o := &gen.Observation{Kind: gen.Observation_KIND_COSTS}
	for _, c := range cells {
		o.Costs = append(o.Costs, &gen.CostCell{Key: c.Key, Weight: float32(c.Weight), Sum: float32(c.Sum), Squares: float32(c.Squares)})
	}
	s.publish(o)
}

// mergeCosts records the digest of another daemon.
func (s *serverState) mergeCosts(list []*gen.CostCell) {
	cells := make([]cost.Cell, 0, len(list))
	for _, c := range list {
		cells = append(cells, cost.Cell{Key: c.Key, Weight: float64(c.Weight), Sum: float64(c.Sum), Squares: float64(c.Squares)})
	}
	s.update(func(now time.Time) { s.costs.Merge(now, cells) })
}
