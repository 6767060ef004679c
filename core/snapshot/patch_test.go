package snapshot

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/model"
)

func drawTuned(t *rapid.T) Objects {
	o := drawObjects(t)
	for i := range o.Workspaces {
		o.Workspaces[i].Weight = rapid.SampledFrom([]float64{1, 1, 3}).Draw(t, "weight")
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "routes") {
		o.Routes = append(o.Routes, Route{Name: model.RouteName(fmt.Sprint("r", i)), PathPrefix: fmt.Sprint("/", i), Methods: []string{"GET"}, Service: "booking"})
	}
	return o.Normalized()
}

// Guards against a host whose patched chunks or compact objects differ from
// those of a host that reads all chunks of the same epoch.
func TestPatchAndCompactFollowTheWholeConfiguration(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		from, to := drawTuned(rt), drawTuned(rt)
		d := Diff(from, to)
		c := Change{ID: "c", Author: "a", Put: d.Put, Delete: d.Delete}
		m, chunks, err := Split(from, nil)
		g.Expect(err).NotTo(HaveOccurred())
		want, all, err := Split(to, m)
		g.Expect(err).NotTo(HaveOccurred())
		compact, err := JoinCompact(m, chunks.get)
		g.Expect(err).NotTo(HaveOccurred())
		wantCompact, err := JoinCompact(want, all.get)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(compact.CompactAfter(c)).To(Equal(wantCompact))
		got, changed, err := Patch(m, chunks.get, c)
		if err != nil {
			g.Expect(err).To(MatchError(ErrBucketCountChanged))
			return
		}
		for _, name := range got.Names() {
			g.Expect(want.Names()).To(ContainElement(name))
		}
		g.Expect(got.Names()).To(HaveLen(len(want.Names())))
		for name, data := range changed {
			g.Expect(data).To(Equal(all[name]))
		}
	})
}

// Guards against a daemon that loses an object other than a workspace at the
// defaults.
func TestCompactLeavesOutOnlyDefaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		o := drawTuned(rt)
		m, chunks, err := Split(o, nil)
		g.Expect(err).NotTo(HaveOccurred())
		compact, err := JoinCompact(m, chunks.get)
		g.Expect(err).NotTo(HaveOccurred())
		var tuned []Workspace
		for _, w := range o.Workspaces {
			if w.Weight != 1 || w.RatePerSecond != 0 {
				tuned = append(tuned, w)
			}
		}
		o.Workspaces = tuned
		g.Expect(compact).To(Equal(o))
	})
}
