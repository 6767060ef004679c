package model_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
)

// Guards against text that is no rate, such as an infinite or negative one, taken for a
// limit.
func TestParseRateLimit(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]float64{"1": 1, "3.8": 3.8, " 0 ": 0, "0.05": 0.05} {
		g.Expect(model.ParseRateLimit(text)).To(Equal(model.RateLimit{InForce: true, PerSecond: want}), text)
	}
	for _, text := range []string{"", "none", "-1", "NaN", "+Inf", "1 2", "1e999"} {
		g.Expect(model.ParseRateLimit(text)).To(Equal(model.RateLimit{}), text)
	}
}
