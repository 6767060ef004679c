package split

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// weightOff is the largest deviation of a part's share from its weight's share that
// operators accept.
const weightOff = 0.1

// shares returns the share of each part in n requests that come to random daemons.
func shares(daemons []*Sequence, n int, weights []float64) []float64 {
	counts := make([]float64, len(weights))
	for range n {
		counts[daemons[rand.IntN(len(daemons))].Next(weights)]++
	}
	for i := range counts {
		counts[i] /= float64(n)
	}
	return counts
}

// Guards against the load pattern "a few requests a second over many daemons": each
// daemon sees a handful of a route's requests, and the shares must hold over all of
// them together.
func TestSharesHoldOverManyDaemons(t *testing.T) {
	g := NewWithT(t)
	for _, weights := range [][]float64{{75, 25}, {90, 10}, {1, 1, 1}, {0.2, 0.5, 0.3}} {
		total := 0.0
		for _, w := range weights {
			total += w
		}
		for _, daemons := range []int{1, 48, 442} {
			worst := 0.0
			for range 50 {
				fleet := make([]*Sequence, daemons)
				for i := range fleet {
					fleet[i] = NewSequence()
				}
				for i, share := range shares(fleet, 300, weights) {
					worst = max(worst, math.Abs(share-weights[i]/total))
				}
			}
			g.Expect(worst).To(BeNumerically("<", weightOff), "%v over %d daemons", weights, daemons)
		}
	}
}

// Guards against shares that drift over short windows of one daemon's requests.
func TestSharesHoldInShortWindows(t *testing.T) {
	g := NewWithT(t)
	weights := []float64{75, 25}
	s := NewSequence()
	for range 200 {
		count := 0
		for range 20 {
			count += s.Next(weights)
		}
		g.Expect(float64(count)).To(BeNumerically("~", 5, 2))
	}
}

// Guards against a part of small weight that is never chosen, and against a choice
// outside of the parts.
func TestSmallWeights(t *testing.T) {
	g := NewWithT(t)
	s := NewSequence()
	counts := make([]int, 2)
	for range 10000 {
		counts[s.Next([]float64{0.001, 0.999})]++
	}
	g.Expect(counts[0]).To(BeNumerically("~", 10, 3))
	g.Expect(s.Next([]float64{5})).To(Equal(0))
}
