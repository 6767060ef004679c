// Package split distributes the requests of a route over services by weight.
//
// A Sequence is low-discrepancy: over any stretch of n requests the number that a
// service gets differs from its weight's share by about the logarithm of n, where
// independent random draws differ by the square root of n. Proportions therefore
// hold in each daemon over short windows, without shared state between daemons.
package split

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/agateusher/agateusher/core/model"
)

// step is the fractional part of the golden ratio, scaled to 64 bits. Its multiples
// modulo 1 are spread most evenly.
const step = 0x9e3779b97f4a7c15

// Sequence chooses among weighted parts. It is safe for concurrent use.
type Sequence struct{ position atomic.Uint64 }

// NewSequence returns a Sequence with a random start, so that the sequences of
// different daemons do not choose the same part at the same time.
func NewSequence() *Sequence {
	s := &Sequence{}
	s.position.Store(rand.Uint64())
	return s
}

// Sequences holds the Sequence of each route. The zero value is empty. It is safe for
// concurrent use.
type Sequences struct{ byRoute sync.Map }

// For returns the Sequence of a route.
func (s *Sequences) For(route model.RouteName) *Sequence {
	if found, ok := s.byRoute.Load(route); ok {
		return found.(*Sequence)
	}
	found, _ := s.byRoute.LoadOrStore(route, NewSequence())
	return found.(*Sequence)
}

// Next returns the index of the part for the next request. Weights are positive
// and relative to each other; there is at least one.
func (s *Sequence) Next(weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	x := float64(s.position.Add(step)) / math.MaxUint64 * total
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}
