package catalog

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/outage"
)

// PeerReport is what another daemon says about its content in a heartbeat.
type PeerReport struct {
	// Age is the time since the store last confirmed the content.
	Age time.Duration
	// Served is for how long the store is known to have confirmed content without a
	// gap; zero if it does not do so now or if the daemon is of an older version.
	Served time.Duration
}

// Report returns the report of this daemon.
func (c *Cache) Report(now time.Time) PeerReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return PeerReport{Age: max(ageOf(now, c.configConfirmedAt), ageOf(now, c.serversConfirmedAt)), Served: c.outages.Served(now)}
}

// ObservePeer records the report of another daemon; local is set for a daemon of the
// same data centre. Retained servers are dropped at once if the report shows that the
// store was not away.
func (c *Cache) ObservePeer(now time.Time, r PeerReport, local bool) {
	c.mu.Lock()
	c.outages.ObservePeer(now, r.Age, r.Served, local)
	_, inGrace := c.outages.GraceEnd(now)
	refuted := len(c.retained) > 0 && !inGrace && !c.departures.inGrace(now)
	if refuted {
		for _, s := range c.retained {
			c.departures.add(s, departure{at: now, era: c.revision.Era()})
		}
		c.retained = map[string]*Server{}
	}
	c.mu.Unlock()
	if refuted {
		c.publish()
	}
}

// serversConfirmed records that the store confirmed the servers. c.mu must be held.
func (c *Cache) serversConfirmed(at time.Time) {
	if at.After(c.serversConfirmedAt) {
		c.serversConfirmedAt = at
	}
	c.outages.Confirmed(at)
}

// retainMissing retains the servers that are missing in next while entries may still
// come back after an outage of the store. c.mu must be held.
func (c *Cache) retainMissing(next map[string]*Server, now time.Time) {
	for name := range c.retained {
		if _, ok := next[name]; ok {
			delete(c.retained, name)
		}
	}
	end, inGrace := c.outages.GraceEnd(now)
	if !inGrace {
		return
	}
	for name, s := range c.servers {
		if _, ok := next[name]; ok {
			continue
		}
		kept := *s
		kept.GraceUntil = end
		c.retained[name] = &kept
	}
}

// retainUnlisted retains the servers that are missing in the older copy from which the
// store came back: they may have registered after it was made. Those that still run write
// their entries again as after an outage. c.mu must be held.
func (c *Cache) retainUnlisted(next map[string]*Server, now time.Time) {
	for name := range c.retained {
		if _, ok := next[name]; ok {
			delete(c.retained, name)
		}
	}
	for name, s := range c.servers {
		if _, ok := next[name]; ok || s.Draining {
			continue
		}
		kept := *s
		kept.GraceUntil = now.Add(outage.Grace)
		c.retained[name] = &kept
	}
}

// ExpireLapsed drops the servers whose entries did not come back within the grace
// period, and returns their IDs.
func (c *Cache) ExpireLapsed(now time.Time) (expired []model.ServerID) {
	c.mu.Lock()
	for name, s := range c.retained {
		if now.After(s.GraceUntil) {
			expired = append(expired, s.ID)
			c.departures.add(s, departure{at: now, era: c.revision.Era()})
			delete(c.retained, name)
		}
	}
	c.mu.Unlock()
	if len(expired) > 0 {
		c.publish()
	}
	return expired
}
