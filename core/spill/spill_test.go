package spill_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/spill"
)

const ms = time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// reports returns reports of three data centres with these queue delays; a
// negative delay means unusable.
func reports(local, near, far time.Duration) []spill.Report {
	return []spill.Report{
		{DataCentre: "far", Distance: spill.OtherRegion, QueueDelay: far, RoundTrip: 60 * ms, Usable: far >= 0},
		{DataCentre: "near", Distance: spill.SameRegion, QueueDelay: near, RoundTrip: 2 * ms, Usable: near >= 0},
		{DataCentre: "local", Distance: spill.Local, QueueDelay: local, Usable: local >= 0},
	}
}

// Guards against traffic that moves without a gain, that uses the link between
// regions without need, that does not leave an overloaded or unusable data
// centre, that oscillates within the hysteresis, or that does not return.
func TestChoice(t *testing.T) {
	type step struct {
		reports []spill.Report
		seconds int
		most    model.DataCentre
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"no delay", []step{{reports(0, 0, 0), 20, "local"}}},
		{"small gain", []step{{reports(11*ms, 0, 0), 20, "local"}}},
		{"region", []step{{reports(50*ms, 0, 0), 20, "near"}}},
		{"remote gain too small", []step{{reports(250*ms, 250*ms, 0), 20, "local"}}},
		{"remote", []step{{reports(400*ms, 400*ms, 0), 30, "far"}}},
		{"hysteresis", []step{{reports(50*ms, 0, 0), 20, "near"}, {reports(9*ms, 0, 0), 20, "near"}}},
		{"return", []step{{reports(50*ms, 0, 0), 20, "near"}, {reports(4*ms, 0, 0), 30, "local"}}},
		{"unusable", []step{{reports(0, 0, 0), 5, "local"}, {reports(-1, 0, 0), 1, "near"}, {reports(-1, -1, 0), 1, "far"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			chooser := spill.New(spill.Config{})
			now := start
			for _, s := range c.steps {
				for range s.seconds {
					chooser.Update(now, s.reports)
					now = now.Add(time.Second)
				}
				g.Expect(chooser.Share(s.most)).To(BeNumerically("~", 1, 0.001))
				dc, ok := chooser.Choose(0.5)
				g.Expect(ok).To(BeTrue())
				g.Expect(dc).To(Equal(s.most))
			}
		})
	}
}

// Guards against moving the whole traffic at one report, which every entry would
// do at the same time.
func TestTrafficMovesInSteps(t *testing.T) {
	g := NewWithT(t)
	chooser := spill.New(spill.Config{})
	for i := range 10 {
		chooser.Update(start.Add(time.Duration(i)*100*ms), reports(50*ms, 0, 0))
	}
	g.Expect(chooser.Share("near")).To(And(BeNumerically(">", 0), BeNumerically("<=", 0.5)))
	none := spill.New(spill.Config{})
	none.Update(start, reports(-1, -1, -1))
	_, ok := none.Choose(0)
	g.Expect(ok).To(BeFalse())
}
