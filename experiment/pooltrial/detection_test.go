package pooltrial

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/detector"
)

// Guards against dispatch, hedges and cancellations that deprive the detector of
// evidence. When lookups went to the least loaded server, a stalled server had
// only one unanswered attempt and was detected after 872 ms at the median and
// 2.57 s at the 99th percentile.
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
