package owner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

// Guards against a fleet-wide rate limit that every data centre applies in full, and
// against one that is divided equally although all callers use one data centre.
func TestRatesFollowDemand(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	pools := []*rateLimits{newRateLimits(), newRateLimits()}
	ids := []model.PoolID{{Service: "s", DataCentre: "a"}, {Service: "s", DataCentre: "b"}}
	offered := []int{300, 100} // requests a second in each data centre
	rates := Rates{Route: 100}
	allowed := []int{0, 0}
	const seconds = 30
	for s := range seconds {
		second := start.Add(time.Duration(s) * time.Second)
		for i, p := range pools {
			for k := range offered[i] {
				at := second.Add(time.Duration(k) * time.Second / time.Duration(offered[i]))
				if _, ok := p.allow(at, &fleet.Request{Route: "r"}, rates); ok && s >= 10 {
					allowed[i]++
				}
			}
		}
		end := second.Add(time.Second)
		for i, p := range pools {
			pools[1-i].recordSibling(end, ids[i], p.endInterval(end))
		}
	}
	perSecond := []float64{float64(allowed[0]) / (seconds - 10), float64(allowed[1]) / (seconds - 10)}
	g.Expect(perSecond[0] + perSecond[1]).To(BeNumerically("~", 100, 5))
	g.Expect(perSecond[0]).To(BeNumerically("~", 75, 5))
}
