package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// Guards against a split route whose services get other shares than configured, and
// against a route without a split that goes elsewhere.
func TestServiceOfSplitRoute(t *testing.T) {
	g := NewWithT(t)
	e := &Entry{}
	counts := map[model.ServiceName]int{}
	route := &snapshot.Route{Name: "r", Split: []snapshot.RoutePart{{Service: "a", Weight: 75}, {Service: "b", Weight: 25}}}
	for range 400 {
		counts[e.serviceOf(route)]++
	}
	g.Expect(counts["a"]).To(BeNumerically("~", 300, 5))
	g.Expect(counts["b"]).To(BeNumerically("~", 100, 5))
	g.Expect(e.serviceOf(&snapshot.Route{Name: "r2", Service: "c"})).To(Equal(model.ServiceName("c")))
}
