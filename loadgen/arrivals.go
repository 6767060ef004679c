package loadgen

import (
	"math/rand/v2"
	"time"
)

// arrivals generates the intended send times of one workspace.
type arrivals struct {
	kind   ArrivalKind
	rate   float64 // requests per second
	random *rand.Rand
	next   time.Time
}

func newArrivals(kind ArrivalKind, rate float64, random *rand.Rand, start time.Time) *arrivals {
	a := &arrivals{kind: kind, rate: rate, random: random, next: start}
	if kind == FixedRate {
		// A random phase keeps workspaces of equal rate from sending in step.
		a.next = start.Add(time.Duration(random.Float64() / rate * float64(time.Second)))
		return a
	}
	a.advance()
	return a
}

// pop returns the next intended send time and advances the process.
func (a *arrivals) pop() time.Time {
	t := a.next
	a.advance()
	return t
}

func (a *arrivals) advance() {
	gap := 1 / a.rate
	if a.kind == Poisson {
		gap *= a.random.ExpFloat64()
	}
	a.next = a.next.Add(time.Duration(gap * float64(time.Second)))
}

// pick draws an operation at random by weight and returns its index.
func pick(operations []Operation, random *rand.Rand) int {
	total := 0.0
	for _, o := range operations {
		total += o.Weight
	}
	at := random.Float64() * total
	for i, o := range operations {
		if at -= o.Weight; at < 0 {
			return i
		}
	}
	return len(operations) - 1
}
