// Package retry bounds how much work the fleet adds on its own: a budget for
// retries and hedges as a share of the traffic, and the delay after which a
// request is hedged.
package retry

import "time"

// aheadTime bounds, in seconds of the least traffic, how much real traffic
// counts against the refill by time.
const aheadTime = 1.0

// Budget allows retries as a share of the requests, plus a burst that may be
// saved up. In a quiet pool it fills by time, as if there were some least
// traffic: otherwise a few callers that wait for a retry would wait for the
// requests of others. Create it with NewBudget.
type Budget struct {
	share, burst, tokens float64
	// ahead is what real traffic has earned beyond the least traffic, in tokens.
	ahead    float64
	refilled time.Time
}

// NewBudget returns a full budget. A share or burst below zero counts as zero.
func NewBudget(share float64, burst int) *Budget {
	b := &Budget{}
	b.SetLimits(share, burst)
	b.tokens = b.burst
	return b
}

// SetLimits changes the share and the burst and keeps what was saved, up to the burst.
func (b *Budget) SetLimits(share float64, burst int) {
	b.share = max(0, share)
	b.burst = float64(max(0, burst))
	b.tokens = min(b.tokens, b.burst)
}

// Deposit records one request.
func (b *Budget) Deposit() {
	b.tokens = min(b.burst, b.tokens+b.share)
	b.ahead += b.share
}

// Refill lets time pass. Traffic below least, in requests a second, counts as
// least; traffic above it is counted by Deposit alone.
func (b *Budget) Refill(now time.Time, least float64) {
	if b.refilled.IsZero() {
		b.refilled = now
	}
	due := b.share * least * now.Sub(b.refilled).Seconds()
	b.refilled = now
	earned := min(b.ahead, due)
	b.ahead = min(b.ahead-earned, b.share*least*aheadTime)
	b.tokens = min(b.burst, b.tokens+due-earned)
}

// MaxWait returns how long a retry has to wait at the latest; false if it will
// never be allowed without more requests.
func (b *Budget) MaxWait(least float64) (time.Duration, bool) {
	rate := b.share * least
	if rate <= 0 || b.burst < 1 {
		return 0, false
	}
	missing := max(0, 1-b.tokens+b.ahead)
	return time.Duration(missing / rate * float64(time.Second)), true
}

// Available reports whether one retry is allowed now.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Withdraw takes one retry from the budget; false if it has none.
func (b *Budget) Withdraw() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	return true
}
