// Package retry bounds how much work the fleet adds on its own: a budget for
// retries and hedges as a share of the traffic, and the delay after which a
// request is hedged.
package retry

// Budget allows retries as a share of the requests, plus a burst that may be
// saved up. Create it with NewBudget.
type Budget struct {
	share, burst, tokens float64
}

// NewBudget returns a full budget. A share or burst below zero counts as zero.
func NewBudget(share float64, burst int) *Budget {
	b := &Budget{}
	b.Set(share, burst)
	b.tokens = b.burst
	return b
}

// Set changes the share and the burst and keeps what was saved, up to the burst.
func (b *Budget) Set(share float64, burst int) {
	b.share = max(0, share)
	b.burst = float64(max(0, burst))
	b.tokens = min(b.tokens, b.burst)
}

// Deposit records one request.
func (b *Budget) Deposit() { b.tokens = min(b.burst, b.tokens+b.share) }

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
