package ratelimit

import "time"

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	// rate is the number of tokens added per second, up to burst.
	rate, burst, tokens float64
	updated             time.Time
}

// NewBucket returns a bucket with the given number of tokens. rate is in tokens per
// second and above zero, burst is the capacity in tokens and at least one.
func NewBucket(now time.Time, rate, burst, tokens float64) Bucket {
	return Bucket{rate: rate, burst: burst, tokens: tokens, updated: now}
}

// SetRate changes the rate and the capacity. The bucket keeps its tokens, up to the new
// capacity.
func (b *Bucket) SetRate(now time.Time, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst, b.tokens = rate, burst, min(b.tokens, burst)
}

// Rate returns the number of tokens added per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Tokens returns the number of whole tokens in the bucket.
func (b *Bucket) Tokens(now time.Time) int {
	b.refill(now)
	return int(max(0, b.tokens))
}

// Wait returns the time until the bucket has one token; zero if it has one.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	return max(1, time.Duration((1-b.tokens)/b.rate*float64(time.Second)))
}

// Take removes one token.
func (b *Bucket) Take(now time.Time) {
	b.refill(now)
	b.tokens--
}

// Add adds tokens, up to the capacity.
func (b *Bucket) Add(now time.Time, tokens float64) {
	b.refill(now)
	b.tokens = min(b.tokens+tokens, b.burst)
}

// FullAt returns when the bucket is full if no token is taken.
func (b *Bucket) FullAt() time.Time {
	return b.updated.Add(time.Duration((b.burst - b.tokens) / b.rate * float64(time.Second)))
}

func (b *Bucket) refill(now time.Time) {
	elapsed := max(0, now.Sub(b.updated).Seconds())
	b.tokens, b.updated = min(b.tokens+b.rate*elapsed, b.burst), now
}
