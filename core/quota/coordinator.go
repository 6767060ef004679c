package quota

import (
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

const (
	// clientLifetime is how long an issuer that does not report any more is remembered.
	// Everything that it gave or was granted has ended by then.
	clientLifetime = 2 * time.Second
	// activeTime is how long after its last report an issuer is considered when the
	// rate is divided.
	activeTime = time.Second
	// headroom is the factor by which an issuer's part exceeds its demand, if there is
	// enough.
	headroom = 1.3
)

// coordinator moves rate between issuers.
type coordinator struct{ pools map[Key]*pool }

// pool is the exchange of one workspace's rate.
type pool struct {
	clients     map[model.HostID]*client
	solicitedAt time.Time
}

// client is an issuer as the coordinator knows it.
type client struct {
	dc          model.DataCentre
	own, demand float64
	wants       bool
	reportedAt  time.Time
	stamp       Stamp
	// gift is the last gift. rest is what is still used of earlier, larger ones.
	gift, rest transfer
	grants     transfers
}

// held returns what the client has given until a time or longer.
func (c *client) held(until time.Time) (part float64) {
	for _, x := range []transfer{c.gift, c.rest} {
		if !x.until.Before(until) {
			part += x.part
		}
	}
	return part
}

// free returns the part of the gifts that last until a time which no other client than
// except may hold.
func (p *pool) free(now, until time.Time, except *client) (part float64) {
	for _, c := range p.clients {
		part += c.held(until)
		if c != except {
			part -= c.grants.most(now)
		}
	}
	return part
}

// lastGrant returns when the last grant ends.
func (p *pool) lastGrant() (until time.Time) {
	for _, c := range p.clients {
		if last := c.grants.last(); last.After(until) {
			until = last
		}
	}
	return until
}

// receive records a gift of a client. A smaller gift than the last releases only what
// backs no grant.
func (p *pool) receive(now time.Time, c *client, part float64, until time.Time) {
	held := c.held(now)
	if part < held {
		release := min(held-part, max(0, p.free(now, p.lastGrant(), nil)))
		ends := c.gift.until
		if c.rest.part > 0 && now.Before(c.rest.until) && c.rest.until.Before(ends) {
			ends = c.rest.until
		}
		c.rest = transfer{part: held - part - release, until: ends}
	} else {
		c.rest = transfer{}
	}
	c.gift = transfer{part: part, until: until}
}

// handle processes a report and returns the reply. minPart returns the least part of a
// workspace that is worth holding.
func (o *coordinator) handle(now time.Time, self, from model.HostID, dc model.DataCentre, r Report, minPart func(Key) float64) Lease {
	lease := Lease{Stamp: stampOf(now), Echo: r.Stamp}
	giftUntil := time.Time{}
	if r.Coordinator == self {
		giftUntil = r.Echo.expiry(now, giftLifetime)
	}
	for _, e := range r.Entries {
		p := o.pools[e.Workspace]
		if p == nil {
			p = &pool{clients: map[model.HostID]*client{}}
			o.pools[e.Workspace] = p
		}
		c := p.clients[from]
		if c == nil {
			c = &client{dc: dc}
			p.clients[from] = c
		}
		if r.Stamp <= c.stamp {
			continue // A late or duplicate report.
		}
		c.stamp, c.reportedAt, c.own, c.demand, c.wants = r.Stamp, now, e.Own, e.Demand, e.Wants
		if r.Coordinator == self {
			c.grants.prune(now, e.Seen)
		}
		if now.Before(giftUntil) {
			p.receive(now, c, e.Gift, giftUntil)
		}
		target := p.target(now, c, minPart(e.Workspace))
		entry := LeaseEntry{Workspace: e.Workspace, Held: c.held(now), Wish: max(0, e.Own-target), Continue: p.wanted(now)}
		until := now.Add(grantLifetime)
		if entry.Grant = min(target-e.Own, p.free(now, until, c)); entry.Grant > 0 {
			c.grants = append(c.grants, transfer{part: entry.Grant, stamp: lease.Stamp, until: until})
		} else {
			entry.Grant = 0
		}
		lease.Entries = append(lease.Entries, entry)
	}
	return lease
}

// target returns the part of the limit that a client should have: its demand with some
// headroom, and a share of what nobody asks for. If there is not enough, small
// demands come first.
func (p *pool) target(now time.Time, c *client, minPart float64) float64 {
	type need struct {
		client *client
		part   float64
	}
	var needs []need
	total, wanted := 0.0, 0.0
	for _, x := range p.clients {
		if now.Sub(x.reportedAt) < activeTime {
			n := max(headroom*x.demand, min(x.own, minPart))
			needs = append(needs, need{x, n})
			total, wanted = total+x.own, wanted+n
		}
	}
	slices.SortFunc(needs, func(a, b need) int {
		if a.part < b.part {
			return -1
		}
		return 1
	})
	spare := 0.0
	if total > wanted {
		spare = (total - wanted) * c.own / total
	}
	for i, n := range needs {
		part := min(n.part, total/float64(len(needs)-i))
		if n.client == c {
			return part + spare
		}
		total -= part
	}
	return c.own
}

// wanted reports whether an issuer asks for more than its own part.
func (p *pool) wanted(now time.Time) bool {
	for _, c := range p.clients {
		if c.wants && now.Sub(c.reportedAt) < activeTime {
			return true
		}
	}
	return false
}

// solicit returns, for each data centre, the workspaces of which its issuer is asked to
// report, because another one wants more rate.
func (o *coordinator) solicit(now time.Time, dcs []model.DataCentre) map[model.DataCentre][]Key {
	asked := map[model.DataCentre][]Key{}
	for key, p := range o.pools {
		if now.Sub(p.solicitedAt) < reportInterval {
			continue
		}
		reporting := map[model.DataCentre]bool{}
		for host, c := range p.clients {
			switch age := now.Sub(c.reportedAt); {
			case age >= clientLifetime:
				delete(p.clients, host)
			case age < activeTime:
				reporting[c.dc] = true
			}
		}
		if len(p.clients) == 0 {
			delete(o.pools, key)
		}
		if !p.wanted(now) {
			continue
		}
		p.solicitedAt = now
		for _, dc := range dcs {
			if !reporting[dc] {
				asked[dc] = append(asked[dc], key)
			}
		}
	}
	return asked
}
