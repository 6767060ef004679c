package admission

import (
	"time"

	"github.com/agateusher/agateusher/core/balance"
)

const (
	// fullSpendingShare is the accepted share from which the budget is spent at the rate
	// that it sustains. Below, it is spent more slowly in proportion: a repeat after the
	// end of the shedding is more likely to be accepted.
	fullSpendingShare = 0.3
	// Rejected requests are not held if the offered load is at least fullLoad and the
	// accepted share at least acceptedShareAtFullLoad: the servers have slots free for
	// repeats only during the shedding.
	fullLoad                = 0.9
	acceptedShareAtFullLoad = 0.3
	// recoveredShare is the accepted share from which held requests are released at
	// the rate that free slots and the remaining budget allow.
	recoveredShare = 0.8
	// maxHeld bounds the held requests of a service at one daemon.
	maxHeld = 512
	// maxTokens bounds the repeats that a daemon may save up, so that daemons with few
	// requests do not spend the budget in bursts.
	maxTokens = 2
	// slotsPeriod is the time in which held requests would fill the free slots. Other
	// daemons' attempts are known within it.
	slotsPeriod = 100 * time.Millisecond
	// serviceTimeWeight is the weight of the mean service time at one call of SampleServiceTime.
	serviceTimeWeight = 0.02
	// starvationPeriod is the number of releases of which one goes to a request that
	// is not of the highest priority, if there is one. A kind that is served less than
	// a quarter as often as others counts as starved.
	starvationPeriod = 3
)

// Request describes a request to decide on.
type Request struct {
	// Workspace shares the releases of its priority equally with other workspaces.
	Workspace string
	// Priority is zero for the most urgent requests.
	Priority   int
	Idempotent bool
	// Target is the time from which an answer has half of its value; zero: none.
	Target time.Time
	// Deadline is the time from which an answer has no value.
	Deadline time.Time
}

// State is what the service and its retry budget have left in this data centre.
type State struct {
	balance.Capacity
	// ServiceTime is the mean service time; zero if not known.
	ServiceTime time.Duration
}

// Held is a request that waits in a Controller.
type Held struct {
	Request
	// tag is the start tag of the request (start-time fair queueing).
	tag float64
}

// Release is a held request that is sent or refused now.
type Release struct {
	*Held
	// Refuse is set if the request is sure to miss its deadline.
	Refuse bool
}

// Controller decides about the requests of one service. The zero value is ready to use.
type Controller struct {
	results results
	room    room
	// localArrivals and arrivals count the first attempts of this daemon and of all
	// daemons of the data centre.
	localArrivals, arrivals rate
	held                    []*Held
	// tokens is the number of repeats that this daemon may send now, idempotentTokens
	// that of idempotent requests among them, and slots the number of free slots that
	// it may fill; all are of refilledAt.
	tokens, idempotentTokens, slots float64
	refilledAt                      time.Time
	releases                        int
	serviceTime                     time.Duration
	// servedTags holds the finish tag of each workspace's last release, and
	// virtualTime the largest start tag so far (start-time fair queueing).
	servedTags  map[string]float64
	virtualTime float64
	// lastReturn is when the caller that was refused last was told to return.
	lastReturn time.Time
}

// Started records an attempt. local is set for those of this daemon, repeat for those
// beyond the first of their request.
func (c *Controller) Started(now time.Time, local, repeat bool) {
	if repeat {
		return
	}
	c.arrivals.add(now)
	if local {
		c.localArrivals.add(now)
	}
}

// Ended records that a server accepted or rejected an attempt of any daemon.
func (c *Controller) Ended(now time.Time, server balance.ServerKey, rejected bool) {
	c.results.add(now, server, rejected)
	c.results.update(now)
}

// Sheds reports whether most servers of the service reject attempts.
func (c *Controller) Sheds(now time.Time) bool {
	if !c.results.sheds {
		return false
	}
	c.results.update(now)
	return c.results.sheds
}

// HeldCount returns the number of held requests.
func (c *Controller) HeldCount() int { return len(c.held) }

// share returns this daemon's share of the data centre's requests.
func (c *Controller) share(now time.Time) float64 {
	return min(1, (c.localArrivals.perSecond(now)+minRate)/(c.arrivals.perSecond(now)+minRate))
}

// noRoomLater reports whether a repeat serves no more if it is held: many attempts are
// accepted, and after the shedding new requests will need nearly all slots.
func (c *Controller) noRoomLater(now time.Time, s State) bool {
	busy := c.arrivals.perSecond(now) * c.serviceTime.Seconds()
	return c.results.acceptedShare() >= acceptedShareAtFullLoad && busy >= fullLoad*float64(s.Slots)
}

// Hold holds a request that a server has just rejected, until Release returns it. It
// returns nil if the request is not held: it is to be repeated by the usual rules.
func (c *Controller) Hold(now time.Time, r Request, s State) *Held {
	if !c.Sheds(now) || r.Deadline.Sub(now) <= s.ServiceTime || len(c.held) >= maxHeld || c.noRoomLater(now, s) {
		return nil
	}
	if len(c.held) == 0 {
		// The time without held requests earns no repeats and slots.
		c.refilledAt = now
	}
	h := &Held{Request: r}
	c.held = append(c.held, h)
	return h
}
