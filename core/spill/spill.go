// Package spill chooses the data centre for the requests of one service by the
// queue delays that the service's pools report: the nearest data centre first,
// then another one of the same region, and another region only if it saves much
// more delay.
//
// Traffic moves in steps, because every entry sees the same reports: if each moved
// all of its traffic at once, the load would oscillate between data centres.
package spill

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Distance classifies how far a data centre is from this host.
type Distance uint8

const (
	// Local is the host's own data centre.
	Local Distance = iota
	// SameRegion is another data centre of the region.
	SameRegion
	// OtherRegion is a data centre of another region. The link between regions
	// has little bandwidth and its traffic is billed.
	OtherRegion
	numDistances
)

// Report describes the service's pools in one data centre.
type Report struct {
	DataCentre model.DataCentre
	Distance   Distance
	// QueueDelay is the reported queueing delay, RoundTrip the network
	// round-trip time to the data centre.
	QueueDelay time.Duration
	RoundTrip  time.Duration
	// Usable is false if the data centre has no server or no reachable owner, or
	// if its report is outdated.
	Usable bool
}

// cost is the expected delay of a request sent to the data centre.
func (r Report) cost() time.Duration { return r.QueueDelay + r.RoundTrip }

// Config sets when traffic moves. Zero values select the defaults.
type Config struct {
	// RegionGain and RemoteGain are the delays that must be saved for traffic to
	// move to another data centre of the region or to another region. It returns
	// when less than half of that is saved. Defaults: DefaultRegionGain,
	// DefaultRemoteGain.
	RegionGain, RemoteGain time.Duration
	// Step is the share of the traffic that moves in one step, 0 to 1; default
	// DefaultStep.
	Step float64
	// Interval is the minimum time between two steps. It should be longer than
	// the time until the reports show the effect of a step; default
	// DefaultInterval.
	Interval time.Duration
}

// Defaults of Config. The remote gain exceeds two round trips between regions.
const (
	DefaultRegionGain = 10 * time.Millisecond
	DefaultRemoteGain = 200 * time.Millisecond
	DefaultStep       = 0.25
	DefaultInterval   = time.Second

	// returnGainRatio is the part of the gain below which traffic returns.
	returnGainRatio = 0.5
	// minShare is the smallest share that a step may leave at a data centre; a
	// smaller rest moves with the step.
	minShare = 0.02
)

// Chooser divides the traffic of one service between data centres. Create it with
// New. It is not safe for concurrent use.
type Chooser struct {
	cfg     Config
	reports []Report
	// shares holds the share of the traffic of each data centre, 0 to 1. The
	// shares sum to 1 if a data centre is usable.
	shares   map[model.DataCentre]float64
	lastStep time.Time
}

// New returns a chooser without reports.
func New(cfg Config) *Chooser {
	cfg.RegionGain = cmp.Or(cfg.RegionGain, DefaultRegionGain)
	cfg.RemoteGain = cmp.Or(cfg.RemoteGain, DefaultRemoteGain)
	cfg.Step = cmp.Or(cfg.Step, DefaultStep)
	cfg.Interval = cmp.Or(cfg.Interval, DefaultInterval)
	return &Chooser{cfg: cfg, shares: make(map[model.DataCentre]float64)}
}

// Update takes the latest reports, one for each data centre with a pool, and
// moves traffic if Interval has passed since the last step. All traffic leaves an
// unusable data centre at once.
func (c *Chooser) Update(now time.Time, reports []Report) {
	c.reports = slices.DeleteFunc(slices.Clone(reports), func(r Report) bool { return !r.Usable })
	slices.SortFunc(c.reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.cost(), b.cost()),
			cmp.Compare(a.DataCentre, b.DataCentre))
	})
	c.drainUnusable()
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) < c.cfg.Interval {
		return
	}
	for d := SameRegion; d < numDistances; d++ {
		if c.step(d) {
			c.lastStep = now
			return
		}
	}
}

// Choose returns the data centre for one request; u is uniform in [0, 1). It
// returns false if no data centre is usable.
func (c *Chooser) Choose(u float64) (model.DataCentre, bool) {
	for _, r := range c.reports {
		if u -= c.shares[r.DataCentre]; u < 0 {
			return r.DataCentre, true
		}
	}
	if len(c.reports) == 0 {
		return "", false
	}
	return c.reports[0].DataCentre, true
}

// Share returns the share of the traffic that goes to a data centre, 0 to 1.
func (c *Chooser) Share(d model.DataCentre) float64 { return c.shares[d] }

// drainUnusable moves the shares of unusable data centres to the nearest usable
// one.
func (c *Chooser) drainUnusable() {
	rest := 1.0
	shares := make(map[model.DataCentre]float64, len(c.reports))
	for _, r := range c.reports {
		shares[r.DataCentre] = c.shares[r.DataCentre]
		rest -= c.shares[r.DataCentre]
	}
	if len(c.reports) > 0 {
		shares[c.reports[0].DataCentre] += rest
	}
	c.shares = shares
}

// step moves traffic between the data centres at distance d and nearer ones, and
// reports whether it moved any.
func (c *Chooser) step(d Distance) bool {
	nearer := c.best(func(r Report) bool { return r.Distance < d })
	target := c.best(func(r Report) bool { return r.Distance == d })
	if nearer == nil || target == nil {
		return false
	}
	gain := nearer.cost() - target.cost()
	needed := c.gain(d)
	switch {
	case gain > needed:
		return c.move(c.cfg.Step, func(r Report) bool { return r.Distance < d }, target)
	case gain < time.Duration(returnGainRatio*float64(needed)):
		return c.move(c.cfg.Step, func(r Report) bool { return r.Distance == d }, nearer)
	default:
		return false
	}
}

// gain returns the delay that must be saved for traffic to move to distance d.
func (c *Chooser) gain(d Distance) time.Duration {
	if d == OtherRegion {
		return c.cfg.RemoteGain
	}
	return c.cfg.RegionGain
}

// best returns the matching report with the lowest cost, or nil.
func (c *Chooser) best(match func(Report) bool) *Report {
	var best *Report
	for i := range c.reports {
		if r := &c.reports[i]; match(*r) && (best == nil || r.cost() < best.cost()) {
			best = r
		}
	}
	return best
}

// move moves a part of the shares of the matching data centres to the target and
// reports whether it moved any. A rest below minShare moves too.
func (c *Chooser) move(part float64, from func(Report) bool, to *Report) bool {
	moved := 0.0
	for _, r := range c.reports {
		if !from(r) {
			continue
		}
		share := c.shares[r.DataCentre] * part
		if c.shares[r.DataCentre]-share < minShare {
			share = c.shares[r.DataCentre]
		}
		c.shares[r.DataCentre] -= share
		moved += share
	}
	c.shares[to.DataCentre] += moved
	return moved > 0
}
