package backend

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// DistributionKind is the shape of a distribution of service times.
type DistributionKind string

// Distributions of service times.
const (
	Exponential DistributionKind = "exponential"
	Lognormal   DistributionKind = "lognormal"
	Fixed       DistributionKind = "fixed"
)

// defaultSigma gives a lognormal distribution whose 99th percentile is about
// 4.5 times its mean.
const defaultSigma = 0.8

// Distribution describes service times.
type Distribution struct {
	Kind DistributionKind `json:"kind"`
	Mean time.Duration    `json:"mean"`
	// Sigma is the standard deviation of the logarithm, for Lognormal only.
	Sigma float64 `json:"sigma,omitempty"`
}

// sampler draws service times and random faults. It is safe for concurrent use.
type sampler struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newSampler(seed uint64) *sampler {
	return &sampler{random: rand.New(rand.NewPCG(seed, 0x5ca1ab1e))}
}

// duration draws one service time. An unknown kind is treated as Fixed.
func (s *sampler) duration(d Distribution) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := float64(d.Mean)
	switch d.Kind {
	case Exponential:
		return time.Duration(s.random.ExpFloat64() * mean)
	case Lognormal:
		sigma := d.Sigma
		if sigma <= 0 {
			sigma = defaultSigma
		}
		mu := math.Log(mean) - sigma*sigma/2
		return time.Duration(math.Exp(mu + sigma*s.random.NormFloat64()))
	default:
		return d.Mean
	}
}

// chance returns true with probability p.
func (s *sampler) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < p
}
