package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/cost"
)

var start = time.Unix(1_700_000_000, 0)

func request(path, workspace string) cost.Request {
	return cost.Request{Service: "s", Route: "r", Method: "POST", Path: path, Workspace: workspace, Bytes: 100}
}

// Guards against requests of one route that are taken for equally costly although their
// paths tell them apart, and against estimates of unseen paths that are not the route's.
func TestPathsAreToldApart(t *testing.T) {
	g := NewWithT(t)
	e := &cost.Estimator{}
	for range 200 {
		e.Observe(start, request("render", ""), 900*time.Millisecond)
		e.Observe(start, request("get", ""), 100*time.Millisecond)
	}
	g.Expect(e.Estimate(start, request("render", "")).Mean).To(BeNumerically("~", 900*time.Millisecond, 30*time.Millisecond))
	g.Expect(e.Estimate(start, request("get", "")).Mean).To(BeNumerically("~", 100*time.Millisecond, 30*time.Millisecond))
	unseen := e.Estimate(start, request("new", ""))
	g.Expect(unseen.Mean).To(BeNumerically("~", 500*time.Millisecond, 30*time.Millisecond))
	e.Observe(start, request("rare", ""), 100*time.Millisecond)
	g.Expect(e.Estimate(start, request("rare", "")).Deviation).To(BeNumerically(">", 3*unseen.Deviation))
}

// Guards against a workspace that sends most requests and sets the estimate of the others,
// or one of itself outside the bounds.
func TestWorkspaceCannotSetEstimates(t *testing.T) {
	g := NewWithT(t)
	e := &cost.Estimator{}
	for i := range 4000 {
		e.Observe(start, request("p", fmt.Sprint("w", i%20)), 100*time.Millisecond)
	}
	for range 40_000 {
		e.Observe(start, request("p", "greedy"), 5*time.Second)
	}
	g.Expect(e.Estimate(start, request("p", "w1")).Mean).To(BeNumerically("<", 200*time.Millisecond))
	others := e.Estimate(start, request("p", "")).Mean
	g.Expect(e.Estimate(start, request("p", "greedy")).Mean).To(BeNumerically("<=", 16*others))
}

// Guards against memory or estimates that grow with the number of paths, and against rare
// paths that displace the classes in use.
func TestManyPaths(t *testing.T) {
	g := NewWithT(t)
	e := &cost.Estimator{}
	for range 100 {
		e.Observe(start, request("render", ""), 900*time.Millisecond)
	}
	for i := range 100_000 {
		e.Observe(start, request(fmt.Sprint("x", i), ""), 100*time.Millisecond)
	}
	g.Expect(e.Estimate(start, request("render", "")).Mean).To(BeNumerically(">", 800*time.Millisecond))
	g.Expect(e.Digest(1 << 20)).To(HaveLen(4096))
}

// Guards against old samples that count as much as new ones.
func TestSamplesDecay(t *testing.T) {
	g := NewWithT(t)
	e := &cost.Estimator{}
	for range 100 {
		e.Observe(start, request("p", ""), 100*time.Millisecond)
	}
	later := start.Add(10 * time.Minute)
	for range 20 {
		e.Observe(later, request("p", ""), 400*time.Millisecond)
	}
	g.Expect(e.Estimate(later, request("p", "")).Mean).To(BeNumerically(">", 350*time.Millisecond))
}

// Guards against a host that does not learn from digests, that sends samples twice, and
// that takes damaged digests.
func TestDigests(t *testing.T) {
	g := NewWithT(t)
	a, b := &cost.Estimator{}, &cost.Estimator{}
	for range 50 {
		a.Observe(start, request("p", ""), 300*time.Millisecond)
	}
	b.Merge(start, a.Digest(32))
	g.Expect(b.Estimate(start, request("p", "")).Mean).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
	g.Expect(a.Digest(32)).To(BeEmpty())
	g.Expect(b.Digest(32)).To(BeEmpty())
	before := b.Estimate(start, request("p", ""))
	for _, c := range []cost.Cell{{Key: 1, Weight: math.NaN(), Sum: 1}, {Key: 2, Weight: 1, Sum: math.Inf(1)}, {Key: 3, Weight: 1, Sum: 2, Squares: 1}, {Weight: 1, Sum: 1, Squares: 1}} {
		b.Merge(start, []cost.Cell{c})
	}
	g.Expect(b.Estimate(start, request("p", ""))).To(Equal(before))
}

// Guards against remainders that do not fall with the age where costs are alike, or do not
// rise where they have a long tail.
func TestRemainders(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	alike, tailed := cost.NewRemainders(), cost.NewRemainders()
	g.Expect(alike.Remaining(time.Second, 0)).To(BeNumerically("~", time.Second, 100*time.Millisecond))
	for range 4000 {
		alike.Observe(time.Second, time.Duration((0.9+0.2*random.Float64())*float64(time.Second)))
		took := 0.8
		if random.Float64() < 0.03 {
			took = 7
		}
		tailed.Observe(time.Second, time.Duration(took*float64(time.Second)))
	}
	g.Expect(alike.Remaining(time.Second, 600*time.Millisecond)).To(BeNumerically("<", 550*time.Millisecond))
	g.Expect(tailed.Remaining(time.Second, 2*time.Second)).To(BeNumerically(">", 3*time.Second))
}
