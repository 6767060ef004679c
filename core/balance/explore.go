package balance

import (
	"slices"
	"time"
)

const (
	// probeMemory is how long a service is expected to have more requests that can probe
	// after its last one. Meanwhile requests that must not repeat do not explore: a probe
	// that fails is retried.
	probeMemory = 5 * time.Second
	// exploreInterval is how long a server may get no request before it is explored.
	exploreInterval = 1400 * time.Millisecond
	// exploreDelay is the mean time in which a server that is due is explored. It is short
	// enough for a request in every 2 s, and much longer than the delay of observations,
	// so that two daemons rarely explore the same server at the same time.
	exploreDelay = 300 * time.Millisecond
	// exploreThreshold is the failing probability from which a server is not explored. A
	// server that failed once is explored after about 3 s, one that failed repeatedly after
	// about 7 s.
	exploreThreshold = 0.25
	// maxExploreLoss bounds the share of the requests that are expected to fail because
	// they explore.
	maxExploreLoss = 0.03
)

// explore returns a server of this data centre that has been without a request for
// exploreInterval, for a request that must not repeat; nil if none is due or the request
// is not drawn to explore. Without it, a server whose evidence is old costs more than the
// load of the others, so that it receives nothing until it is trusted again by time alone.
//
// The draw spreads exploration over requests and hosts: of the requests of the data
// centre, as many explore as servers are due in exploreDelay.
func (t *Table) explore(now time.Time, svc *service, q Query) *server {
	due, last := 0, (*server)(nil)
	offset := int(q.TieBreak % uint64(max(1, len(svc.servers))))
	for i := range svc.servers {
		s := svc.servers[(i+offset)%len(svc.servers)]
		if t.exploreDue(now, s, q) {
			due++
			if last == nil {
				last = s
			}
		}
	}
	if last == nil {
		return nil
	}
	counted := min(t.opts.Budget.Window, now.Sub(t.countingSince)).Seconds()
	needed := float64(due) * counted / (exploreDelay.Seconds() * float64(max(1, svc.arrivals.count(now))))
	failing := t.opts.Model.AttemptFailureProbability(t.opts.Model.FailingProbability(last.belief, now))
	// The low digits of TieBreak select the server, the high ones draw.
	if draw := float64(q.TieBreak>>11) / (1 << 53); draw >= min(needed, maxExploreLoss/failing) {
		return nil
	}
	return last
}

func (t *Table) exploreDue(now time.Time, s *server, q Query) bool {
	if s.DataCentre != t.opts.DataCentre || s.outstanding > 0 || now.Sub(s.lastSent) < exploreInterval || s.limit.InForce ||
		now.Before(s.unreachableUntil) || now.Before(s.shedUntil) || slices.Contains(q.Excluded, s.Key) ||
		t.opts.Model.FailingProbability(s.belief, now) >= exploreThreshold || s.totalOutstanding(now) >= s.Slots {
		return false
	}
	withheld, _ := t.signals.withheld(now, s.Key)
	return !withheld && (len(q.Allowed) == 0 || slices.Contains(q.Allowed, s.Key))
}
