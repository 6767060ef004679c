package admission

import "time"

// RetryAfter returns when the caller of a request that is refused now should return:
// after the time in which the work ahead drains, after the callers refused before it,
// and spread at this daemon's share of the rate at which slots become free. It is at
// most limit, since a caller that is told more does not return.
func (c *Controller) RetryAfter(now time.Time, s State, drain, limit time.Duration) time.Duration {
	perSecond := c.share(now) * float64(s.Slots) / max(s.ServiceTime, minServiceTime).Seconds()
	at := now.Add(drain)
	if next := c.lastReturn.Add(time.Duration(float64(time.Second) / max(perSecond, minRate))); next.After(at) {
		at = next
	}
	if latest := now.Add(limit); at.After(latest) {
		return limit
	}
	c.lastReturn = at
	return at.Sub(now)
}
