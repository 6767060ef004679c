package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/admission"
)

// Guards against urgent requests that wait behind others, against a kind that is served
// less than a quarter as often as others, and against a workspace that sends 8 times as
// much as each of two others and displaces them. Load: 150 requests a second on a
// service that runs 75 a second, with a latency limit of 1 s, for 60 s.
func TestShortRoomIsShared(t *testing.T) {
	for _, c := range []struct {
		name  string
		kinds []admission.Request
		// weights are the shares of the kinds in the requests, and least the least
		// admitted shares.
		weights []int
		least   []float64
	}{
		{"priorities", []admission.Request{{Priority: 0}, {Priority: 1}, {Priority: 3}}, []int{3, 3, 4}, []float64{0.8, 0.3, 0.2}},
		{"workspaces", []admission.Request{{Workspace: "large"}, {Workspace: "a"}, {Workspace: "b"}}, []int{8, 1, 1}, []float64{0.3, 0.9, 0.9}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(1, 1))
			var controller admission.Controller
			var offered, admitted [3]float64
			backlog, last := 0.0, began
			for now := began; now.Before(began.Add(time.Minute)); now = now.Add(time.Duration(random.ExpFloat64() / 150 * float64(time.Second))) {
				backlog, last = max(0, backlog-75*now.Sub(last).Seconds()), now
				k, pick := 0, random.IntN(10)
				for pick >= c.weights[k] {
					pick, k = pick-c.weights[k], k+1
				}
				fits := backlog/75 < controller.LimitFactor(now, c.kinds[k])
				controller.CountRoom(now, c.kinds[k], fits)
				offered[k]++
				if fits {
					admitted[k]++
					backlog++
				}
			}
			for k := range c.kinds {
				t.Logf("%+v: admitted %.2f", c.kinds[k], admitted[k]/offered[k])
				g.Expect(admitted[k] / offered[k]).To(BeNumerically(">=", c.least[k]))
			}
		})
	}
}
