package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Remove drops a held request, for example because its caller disconnected.
func (c *Controller) Remove(h *Held) {
	if i := slices.Index(c.held, h); i >= 0 {
		c.held = slices.Delete(c.held, i, i+1)
	}
}

// Clear removes all held requests.
func (c *Controller) Clear() { c.held = nil }

// Release removes and returns the requests that are sent or refused now. It is to be
// called every few hundredths of a second while requests are held.
func (c *Controller) Release(now time.Time, s State) []Release {
	if len(c.held) == 0 {
		return nil
	}
	s.ServiceTime = c.serviceTime
	a := c.allowance(now, s)
	order := c.order(now, s)
	c.held = c.held[:0]
	var out []Release
	for _, h := range order {
		switch {
		case a.send(h, now):
			c.recordRelease(h)
			out = append(out, Release{Held: h})
		case a.hopeless(h, now):
			out = append(out, Release{Held: h, Refuse: true})
		default:
			c.held = append(c.held, h)
		}
	}
	c.tokens, c.slots = min(c.tokens, max(0, a.repeats)), max(0, a.slots)
	c.idempotentTokens = min(c.idempotentTokens, max(0, a.idempotentRepeats))
	return out
}

// SampleServiceTime updates the moving average of the mean service time. It is called
// as often as Release.
func (c *Controller) SampleServiceTime(mean time.Duration) {
	if c.serviceTime == 0 {
		c.serviceTime = mean
	}
	c.serviceTime += time.Duration(serviceTimeWeight * float64(mean-c.serviceTime))
}

// allowance is what one call of Release may send.
type allowance struct {
	state State
	// recovered is set if most attempts are accepted again.
	recovered bool
	// repeats is the number of repeats that may be sent, idempotentRepeats that of
	// idempotent requests among them, and slots the number of free slots that they may
	// fill.
	repeats, idempotentRepeats, slots float64
	// share is this daemon's share of the requests.
	share float64
	// waiting is the number of requests so far that stay held.
	waiting float64
}

func (c *Controller) allowance(now time.Time, s State) allowance {
	share, accepted, passed := c.share(now), c.results.acceptedShare(), now.Sub(c.refilledAt).Seconds()
	a := allowance{state: s, share: share, recovered: !c.Sheds(now) || accepted >= recoveredShare}
	room := share * float64(s.FreeSlots)
	c.refilledAt = now
	spending := share * min(1, accepted/fullSpendingShare) * passed
	c.tokens = min(maxTokens, c.tokens+s.BudgetRate*spending)
	c.idempotentTokens = min(maxTokens, c.idempotentTokens+s.IdempotentBudgetRate*spending)
	c.slots = min(max(1, room), c.slots+room*passed/slotsPeriod.Seconds())
	a.repeats, a.idempotentRepeats, a.slots = c.tokens, c.idempotentTokens, c.slots
	if a.recovered {
		a.repeats = max(a.repeats, share*s.NonIdempotentBudgetLeft)
		a.idempotentRepeats = max(a.idempotentRepeats, share*s.BudgetLeft)
	}
	return a
}

// send reports whether the request is sent now, and charges the allowance.
func (a *allowance) send(h *Held, now time.Time) bool {
	if h.Idempotent && (a.idempotentRepeats < 1 || a.state.BudgetLeft < 1) {
		return false
	}
	// The many that wait at the end of the shedding must not make new requests late.
	if a.repeats < 1 || a.state.NonIdempotentBudgetLeft < 1 || h.Deadline.Sub(now) <= a.state.ServiceTime || (a.recovered && a.slots < 1) {
		return false
	}
	a.slots--
	a.repeats--
	a.state.BudgetLeft--
	a.state.NonIdempotentBudgetLeft--
	if h.Idempotent {
		a.idempotentRepeats--
	}
	return true
}

// hopeless reports whether a request that is not sent now is sure to miss its
// deadline: too little time is left, or the requests before it use all repeats that
// the budget covers by then.
func (a *allowance) hopeless(h *Held, now time.Time) bool {
	left := h.Deadline.Sub(now) - a.state.ServiceTime
	budget, perSecond := a.state.BudgetLeft, a.state.IdempotentBudgetRate
	if !h.Idempotent {
		budget, perSecond = a.state.NonIdempotentBudgetLeft, a.state.BudgetRate
	}
	if left <= 0 || a.waiting > a.share*(budget+perSecond*left.Seconds()) {
		return true
	}
	a.waiting++
	return false
}

// order returns the held requests in the order in which they are sent: by priority,
// those that can still meet their target before others, workspaces in turn, and then
// by the time at which they lose value next. Of starvationPeriod releases, one goes to
// a lower priority.
func (c *Controller) order(now time.Time, s State) []*Held {
	sorted := slices.SortedStableFunc(slices.Values(c.held), func(a, b *Held) int {
		return cmp.Or(a.rank(now, s, b), a.due(now, s).Compare(b.due(now, s)))
	})
	next := map[string]float64{}
	for _, h := range sorted {
		tag, ok := next[h.Workspace]
		if !ok {
			tag = max(c.virtualTime, c.servedTags[h.Workspace])
		}
		h.tag = tag
		next[h.Workspace] = tag + 1
	}
	slices.SortStableFunc(sorted, func(a, b *Held) int {
		return cmp.Or(a.rank(now, s, b), cmp.Compare(a.tag, b.tag))
	})
	split := slices.IndexFunc(sorted, func(h *Held) bool { return h.Priority != sorted[0].Priority })
	if split < 0 {
		return sorted
	}
	first, rest := sorted[:split], sorted[split:]
	merged := make([]*Held, 0, len(sorted))
	for i := c.releases; len(first)+len(rest) > 0; i++ {
		from := &first
		if len(first) == 0 || (len(rest) > 0 && i%starvationPeriod == starvationPeriod-1) {
			from = &rest
		}
		merged, *from = append(merged, (*from)[0]), (*from)[1:]
	}
	return merged
}

// rank compares the priority of two requests and whether they can meet their target.
func (h *Held) rank(now time.Time, s State, o *Held) int {
	late := func(h *Held) int {
		if h.late(now, s) {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(h.Priority, o.Priority), cmp.Compare(late(h), late(o)))
}

// late reports whether the request cannot meet its target any more.
func (h *Held) late(now time.Time, s State) bool {
	return !h.Target.IsZero() && h.Target.Sub(now) < s.ServiceTime
}

// due returns when the request loses value next.
func (h *Held) due(now time.Time, s State) time.Time {
	if h.Target.IsZero() || h.late(now, s) {
		return h.Deadline
	}
	return h.Target
}

func (c *Controller) recordRelease(h *Held) {
	if c.servedTags == nil {
		c.servedTags = map[string]float64{}
	}
	c.releases++
	c.virtualTime = max(c.virtualTime, h.tag)
	c.servedTags[h.Workspace] = h.tag + 1
	maps.DeleteFunc(c.servedTags, func(_ string, tag float64) bool { return tag <= c.virtualTime })
}
