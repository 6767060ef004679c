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

// unlimitedCatalog is a catalogue without rate limits.
type unlimitedCatalog struct{ Catalog }

// Rates implements Catalog.
func (unlimitedCatalog) Rates(model.WorkspaceID, model.RouteName) Rates { return Rates{} }

// Weight implements Catalog.
func (unlimitedCatalog) Weight(model.WorkspaceID) float64 { return 1 }

// Guards against a request that never returns because its pool's goroutine ended
// before it sent a response.
func TestRequestOfClosedOwnerEnds(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(t.Context())
	d := &driver{ring: kernel.NewRing[event]("pool", 1, kernel.Block)}
	w := &Owner{ctx: ctx, ownedPools: map[model.PoolID]*ownedPool{{}: {driver: d, rates: newRateLimits()}}, opts: Options{Catalog: unlimitedCatalog{}}}
	ended := make(chan fleet.Response, 1)
	go func() { ended <- w.run(context.Background(), &fleet.Request{Budget: time.Minute}) }()
	g.Eventually(d.ring.Items()).Should(Receive())
	stop()
	g.Eventually(ended).Should(Receive(HaveField("Outcome", model.Unknown)))
}
