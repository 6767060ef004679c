package snapshot

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/model"
)

// drawObjectsWithRoutes returns objects that include routes, and workspaces with
// the default weight and with another weight.
func drawObjectsWithRoutes(t *rapid.T) Objects {
	o := drawObjects(t)
	for i := range o.Workspaces {
		o.Workspaces[i].Weight = rapid.SampledFrom([]float64{1, 1, 3}).Draw(t, "weight")
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "routes") {
		o.Routes = append(o.Routes, Route{Name: model.RouteName(fmt.Sprint("r", i)), PathPrefix: fmt.Sprint("/", i), Methods: []string{"GET"}, Service: "booking"})
	}
	return o.Normalized()
}

// Guards against a host that patches its chunks or its compact objects and gets
// other ones than a host that reads all chunks of the same epoch.
func TestPatchAndCompactMatchFullRead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		from, to := drawObjectsWithRoutes(rt), drawObjectsWithRoutes(rt)
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

// Guards against a compact form that leaves out an object other than a workspace
// with default settings.
func TestCompactLeavesOutOnlyDefaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		o := drawObjectsWithRoutes(rt)
		m, chunks, err := Split(o, nil)
		g.Expect(err).NotTo(HaveOccurred())
		compact, err := JoinCompact(m, chunks.get)
		g.Expect(err).NotTo(HaveOccurred())
		var configured []Workspace
		for _, w := range o.Workspaces {
			if w.Weight != 1 || w.RatePerSecond != 0 {
				configured = append(configured, w)
			}
		}
		o.Workspaces = configured
		g.Expect(compact).To(Equal(o))
	})
}
