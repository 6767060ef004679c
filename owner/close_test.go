package owner

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/kernel"
)

// noCatalog is a catalogue without limits.
type noCatalog struct{ Catalog }

// Rates implements Catalog.
func (noCatalog) Rates(model.WorkspaceID, model.RouteName) Rates { return Rates{} }

// Weight implements Catalog.
func (noCatalog) Weight(model.WorkspaceID) float64 { return 1 }

// Guards against a request that waits for ever because its pool was closed.
func TestRequestOfClosedOwnerEnds(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(t.Context())
	d := &driver{ring: kernel.NewRing[event]("pool", 1, kernel.Block)}
	w := &Owner{ctx: ctx, drivers: map[model.PoolID]*ownedPool{{}: {driver: d, rates: newRateLimits()}}, o: Options{Catalog: noCatalog{}}}
	ended := make(chan fleet.Response, 1)
	go func() { ended <- w.run(context.Background(), &fleet.Request{Budget: time.Minute}) }()
	g.Eventually(d.ring.Items()).Should(Receive())
	stop()
	g.Eventually(ended).Should(Receive(HaveField("Outcome", model.Unknown)))
}
