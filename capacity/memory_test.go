package capacity

import (
	"testing"

	. "github.com/onsi/gomega"
)

// BenchmarkStateAtTarget reports the bytes of each part of a daemon's state at
// the target scale: run it with -benchtime 1x.
func BenchmarkStateAtTarget(b *testing.B) {
	for b.Loop() {
		s, err := MeasureState(TargetSizes)
		NewWithT(b).Expect(err).NotTo(HaveOccurred())
		const mb = 1e6
		b.ReportMetric(s.Encoded/mb, "MB-encoded")
		b.ReportMetric(s.Head/mb, "MB-head")
		b.ReportMetric(s.Follower/mb, "MB-follower")
		b.ReportMetric(s.Objects/mb, "MB-objects")
		b.ReportMetric(s.Catalogue/mb, "MB-catalogue")
		b.ReportMetric(s.Total()/mb, "MB-total")
	}
}
