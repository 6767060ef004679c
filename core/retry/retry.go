// Package retry bounds the extra load of retries and hedges: a budget limits them
// to a share of the traffic, and a delay defers hedges.
package retry

import "time"

// maxSurplusSeconds bounds the surplus of real traffic that is subtracted from
// later refills by time, in seconds of the minimum traffic.
const maxSurplusSeconds = 1.0

// Budget is a token bucket that allows retries as a share of the requests, up to a
// burst. With little traffic it refills by time, as if there were a minimum
// traffic: otherwise a few callers that wait for a retry would have to wait for
// requests of other callers. Create it with NewBudget.
type Budget struct {
	share, burst, tokens float64
	// surplus is the number of tokens from real traffic beyond those that the
	// minimum traffic would have added.
	surplus    float64
	lastRefill time.Time
}

// NewBudget returns a full budget. A share or burst below zero counts as zero.
func NewBudget(share float64, burst int) *Budget {
	b := &Budget{}
	b.SetLimits(share, burst)
	b.tokens = b.burst
	return b
}

// SetLimits changes the share and the burst, and keeps the tokens up to the burst.
func (b *Budget) SetLimits(share float64, burst int) {
	b.share = max(0, share)
	b.burst = float64(max(0, burst))
	b.tokens = min(b.tokens, b.burst)
}

// Deposit adds the tokens that one request earns.
func (b *Budget) Deposit() {
	b.tokens = min(b.burst, b.tokens+b.share)
	b.surplus += b.share
}

// Refill adds the tokens due since the last call for a minimum traffic of minRate
// requests per second, less those that Deposit has already added.
func (b *Budget) Refill(now time.Time, minRate float64) {
	if b.lastRefill.IsZero() {
		b.lastRefill = now
	}
	due := b.share * minRate * now.Sub(b.lastRefill).Seconds()
	b.lastRefill = now
	earned := min(b.surplus, due)
	b.surplus = min(b.surplus-earned, b.share*minRate*maxSurplusSeconds)
	b.tokens = min(b.burst, b.tokens+due-earned)
}

// MaxWait returns an upper bound of the time until a retry is allowed, for a
// minimum traffic of minRate requests per second. It returns false if no retry
// will be allowed without more requests.
func (b *Budget) MaxWait(minRate float64) (time.Duration, bool) {
	rate := b.share * minRate
	if rate <= 0 || b.burst < 1 {
		return 0, false
	}
	missing := max(0, 1-b.tokens+b.surplus)
	return time.Duration(missing / rate * float64(time.Second)), true
}

// Available reports whether one retry is allowed now.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Withdraw takes one retry from the budget. It returns false if none is available.
func (b *Budget) Withdraw() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	return true
}
