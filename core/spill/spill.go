// Package spill chooses the data centre for the requests of one service from
// the queue delays that its pools report: the nearest data centre first, another
// one of the region next, another region last and only for a clear gain.
//
// Traffic moves in steps, because every entry sees the same reports: if all of
// them moved at once, the load would swing between data centres.
package spill

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Distance is how far a data centre is from this host.
type Distance uint8

const (
	// Local is the host's own data centre.
	Local Distance = iota
	// SameRegion is another data centre of the region.
	SameRegion
	// OtherRegion is reached over the narrow, billed link between regions.
	OtherRegion
	distances
)

// Report is what is known about the service's pools of one data centre.
type Report struct {
	DataCentre model.DataCentre
	Distance   Distance
	// QueueDelay is the reported wait; RoundTrip the network time to it.
	QueueDelay time.Duration
	RoundTrip  time.Duration
	// Usable is false if it has no server, no reachable owner or only an
	// outdated report.
	Usable bool
}

// cost is the delay that a request would see there.
func (r Report) cost() time.Duration { return r.QueueDelay + r.RoundTrip }

// Config sets when traffic moves. Zero values select the defaults.
type Config struct {
	// Gain is the delay that must be saved for traffic to leave for a data
	// centre of the region or of another one; it returns when less than half of
	// it is saved. Defaults: DefaultRegionGain, DefaultRemoteGain.
	RegionGain, RemoteGain time.Duration
	// Step is the part of the nearer traffic that moves at a time, 0 to 1;
	// default DefaultStep.
	Step float64
	// Interval is the least time between two steps. It should be longer than
	// the reports take to show the effect of a step; default DefaultInterval.
	Interval time.Duration
}

// Defaults of Config. The remote gain exceeds two round trips between regions.
const (
	DefaultRegionGain = 10 * time.Millisecond
	DefaultRemoteGain = 200 * time.Millisecond
	DefaultStep       = 0.25
	DefaultInterval   = time.Second

	// returnShare of the gain: below it traffic returns.
	returnShare = 0.5
	// leastShare is the smallest share that is kept instead of returned.
	leastShare = 0.02
)

// Chooser holds the shares of one service's traffic. Create it with New. It is
// not safe for concurrent use.
type Chooser struct {
	cfg     Config
	reports []Report
	// shares of the data centres; they sum to 1 if one is usable.
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
// moves traffic if a step is due. Traffic leaves an unusable data centre at
// once.
func (c *Chooser) Update(now time.Time, reports []Report) {
	c.reports = slices.DeleteFunc(slices.Clone(reports), func(r Report) bool { return !r.Usable })
	slices.SortFunc(c.reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.cost(), b.cost()),
			cmp.Compare(a.DataCentre, b.DataCentre))
	})
	c.leaveUnusable()
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) < c.cfg.Interval {
		return
	}
	for d := SameRegion; d < distances; d++ {
		if c.step(d) {
			c.lastStep = now
			return
		}
	}
}

// Choose returns the data centre for one request; u is uniform in [0, 1). False
// if no data centre is usable.
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

// Share returns the part of the traffic that goes to a data centre.
func (c *Chooser) Share(d model.DataCentre) float64 { return c.shares[d] }

// leaveUnusable gives the shares of unusable data centres to the nearest one.
func (c *Chooser) leaveUnusable() {
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

// step moves traffic to or from the data centres at a distance and reports
// whether it did.
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
	case gain < time.Duration(returnShare*float64(needed)):
		return c.move(c.cfg.Step, func(r Report) bool { return r.Distance == d }, nearer)
	default:
		return false
	}
}

func (c *Chooser) gain(d Distance) time.Duration {
	if d == OtherRegion {
		return c.cfg.RemoteGain
	}
	return c.cfg.RegionGain
}

// best returns the cheapest report among those that match, or nil.
func (c *Chooser) best(match func(Report) bool) *Report {
	var best *Report
	for i := range c.reports {
		if r := &c.reports[i]; match(*r) && (best == nil || r.cost() < best.cost()) {
			best = r
		}
	}
	return best
}

// move gives a part of the shares of the matching data centres to the target.
func (c *Chooser) move(part float64, from func(Report) bool, to *Report) bool {
	moved := 0.0
	for _, r := range c.reports {
		if !from(r) {
			continue
		}
		share := c.shares[r.DataCentre] * part
		if c.shares[r.DataCentre]-share < leastShare {
			share = c.shares[r.DataCentre]
		}
		c.shares[r.DataCentre] -= share
		moved += share
	}
	c.shares[to.DataCentre] += moved
	return moved > 0
}
