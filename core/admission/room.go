package admission

import (
	"maps"
	"time"
)

const (
	// shortTime is how long after a refusal for full queues a service counts as short of
	// room.
	shortTime = 2 * time.Second
	// priorityStep is the share of the latency limit by which each lower priority is
	// refused earlier, and lowestFactor bounds it.
	priorityStep = 0.15
	lowestFactor = 0.55
	// A workspace that gets more than fairExcess times its equal share of its priority
	// is refused at greedyFactor times the limit.
	fairExcess   = 1.25
	greedyFactor = 0.6
	// A kind that is admitted less than starvedShare times as often as all others keeps
	// the full limit. It counts as starved from a quarter on.
	starvedShare = 0.4
	// maxKinds bounds the kinds of requests that are counted.
	maxKinds = 256
)

// kind is a kind of request among which room is shared.
type kind struct {
	priority  int
	workspace string
}

// usage counts the requests of a kind, and those that were admitted.
type usage struct{ offered, admitted rate }

// room shares the room of a service between kinds of requests while it is short.
type room struct {
	kinds      map[kind]usage
	shortUntil time.Time
}

// CountRoom records whether a request found room at the servers for its first attempt.
func (c *Controller) CountRoom(now time.Time, r Request, admitted bool) {
	m := &c.room
	if !admitted {
		m.shortUntil = now.Add(shortTime)
	}
	if m.kinds == nil {
		m.kinds = map[kind]usage{}
	}
	k := kind{r.Priority, r.Workspace}
	u, known := m.kinds[k]
	if !known && len(m.kinds) >= maxKinds {
		maps.DeleteFunc(m.kinds, func(_ kind, u usage) bool { return u.offered.perSecond(now) < minRate })
		if len(m.kinds) >= maxKinds {
			return
		}
	}
	u.offered.add(now)
	if admitted {
		u.admitted.add(now)
	}
	m.kinds[k] = u
}

// LimitFactor returns the factor of the latency limit up to which a request may queue.
// It is 1 unless the service is short of room. Then less urgent requests, and those of
// a workspace that gets more than its share, are refused before others.
func (c *Controller) LimitFactor(now time.Time, r Request) float64 {
	m := &c.room
	if now.After(m.shortUntil) {
		return 1
	}
	var offered, admitted, samePriority, workspaces float64
	own := m.kinds[kind{r.Priority, r.Workspace}]
	for k, u := range m.kinds {
		o, a := u.offered.perSecond(now), u.admitted.perSecond(now)
		if k.priority == r.Priority && o >= minRate {
			samePriority, workspaces = samePriority+a, workspaces+1
		}
		if k.priority != r.Priority || k.workspace != r.Workspace {
			offered, admitted = offered+o, admitted+a
		}
	}
	ownOffered, ownAdmitted := own.offered.perSecond(now), own.admitted.perSecond(now)
	if ownAdmitted*offered < starvedShare*admitted*ownOffered {
		return 1
	}
	factor := max(lowestFactor, 1-priorityStep*float64(r.Priority))
	if workspaces > 1 && ownAdmitted > fairExcess*samePriority/workspaces {
		factor *= greedyFactor
	}
	return factor
}
