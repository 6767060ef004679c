package capacity

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	committedPage     = "../docs/CAPACITY.md"
	committedMeasured = "../docs/capacity/measured.json"
)

// Guards against a page whose tables differ from the committed measurements.
func TestPageIsGenerated(t *testing.T) {
	g := NewWithT(t)
	m, err := Load(committedMeasured)
	g.Expect(err).NotTo(HaveOccurred())
	page, err := os.ReadFile(committedPage)
	g.Expect(err).NotTo(HaveOccurred())
	generated, err := Generate(string(page), m)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(Equal(generated), "run go run ./cmd/usher-capacity page")
}

// Guards against tables that are computed from a missing measurement, and against
// markers that name an unknown table and stay unfilled.
func TestGenerateReportsProblems(t *testing.T) {
	g := NewWithT(t)
	for _, name := range []string{"target", "unknown"} {
		_, err := Generate("<!-- generated: "+name+" -->\n<!-- end -->", Measurements{})
		g.Expect(err).To(BeAssignableToTypeOf(&MarkerError{}))
	}
}

// Guards against a fit that differs from the line on which its points lie exactly.
func TestFitFindsTheLine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		slope, intercept := rapid.Float64Range(0.01, 1000).Draw(rt, "slope"), rapid.Float64Range(0, 1000).Draw(rt, "intercept")
		f := Fit{}
		for _, x := range []float64{10, 200, 7000} {
			f.Points = append(f.Points, Point{x, intercept + slope*x})
		}
		f = f.fitLine()
		g.Expect(f.Slope).To(BeNumerically("~", slope, 1e-6*slope))
		g.Expect(f.Error).To(BeNumerically("<", 1e-6))
	})
}

// Guards against a daemon whose configuration state exceeds the target of
// 128 MB, at a tenth of the target's objects and of the limit.
func TestStateStaysUnderTheLimit(t *testing.T) {
	s, err := MeasureState(scaled(10))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(s.Total()).To(BeNumerically("<=", memoryLimitBytes/10))
}
