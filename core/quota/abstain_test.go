package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against shares that add up to more than the limit, because hosts vote that are not
// counted in the number of hosts.
func TestHostsOutsideTheFleetDoNotVote(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(20, limit(100), 1)
	for _, dc := range dcs {
		f.byDC[dc][0].SetVoting(false)
	}
	f.after(4*time.Second, func() {
		g.Expect(f.parts()).To(BeNumerically("~", 1-float64(len(dcs))/20, 1e-6))
	})
	f.run(5 * time.Second)
}
