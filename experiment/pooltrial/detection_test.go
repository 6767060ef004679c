package pooltrial

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/detector"
)

// Guards against a pool whose dispatch, hedges and cancellations take the
// evidence away that the detector needs: with the least loaded server chosen for
// lookups, a stalled server kept one unanswered attempt and was found after
// 872 ms at the median and 2.57 s at the 99th percentile.
func TestStallTargetsWithTheRealPool(t *testing.T) {
	const seeds = 30
	g := NewWithT(t)
	fast := MeasureDetections(detector.Ridemark(), FaultStall, 10, seeds)
	t.Log(fast)
	g.Expect(fast.Missed).To(BeZero())
	g.Expect(fast.Median).To(BeNumerically("<=", 500*time.Millisecond))
	g.Expect(fast.P99).To(BeNumerically("<=", time.Second))
	careful := MeasureDetections(detector.Consortium(), FaultStall, 10, seeds)
	t.Log(careful)
	g.Expect(careful.Missed).To(BeZero())
	g.Expect(careful.P99).To(BeNumerically("<=", 3*time.Second))
	g.Expect(careful.FalseEjections).To(BeZero())
}
