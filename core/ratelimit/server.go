package ratelimit

import "time"

const (
	// minServerRate is the rate at which a server gets requests however low its limit
	// is, in requests per second: only an answer shows that the limit has changed.
	minServerRate = 0.25
	// maxServerRate is above what any server takes. It keeps the arithmetic finite.
	maxServerRate = 1e6
	// serverBurstDuration is the time for which unused requests of a server add up.
	serverBurstDuration = 500 * time.Millisecond
)

// NewServerBucket returns the bucket of a backend server that takes the given rate, in
// requests per second, from all callers of the bucket together. It holds one token.
func NewServerBucket(now time.Time, perSecond float64) Bucket {
	rate, burst := serverRate(perSecond)
	return NewBucket(now, rate, burst, 1)
}

// SetServerRate changes the rate of a bucket made by NewServerBucket.
func (b *Bucket) SetServerRate(now time.Time, perSecond float64) {
	if rate, burst := serverRate(perSecond); rate != b.rate {
		b.SetRate(now, rate, burst)
	}
}

func serverRate(perSecond float64) (rate, burst float64) {
	rate = minServerRate
	if perSecond > minServerRate { // false for NaN
		rate = min(perSecond, maxServerRate)
	}
	return rate, 1 + rate*serverBurstDuration.Seconds()
}
