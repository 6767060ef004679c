package balance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
)

// Guards against a limit that ends because an answer made before it was named arrives
// late, and against one that stays after an answer without it.
func TestLimitFollowsTheNewestAnswer(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(1)...)
	sent := b.now
	b.now = b.now.Add(time.Second)
	named := model.RateLimit{InForce: true, PerSecond: 2}
	g.Expect(b.table.ObserveLimit(b.now, 1, sent, named).After).To(Equal(named))
	g.Expect(b.table.LimitedServers()).To(Equal(1))
	g.Expect(b.table.ObserveLimit(b.now, 1, sent, model.RateLimit{}).Changed()).To(BeFalse())
	g.Expect(b.choose(nonIdempotentQuery()).Limit).To(Equal(named))
	g.Expect(b.table.ObserveLimit(b.now.Add(time.Second), 1, b.now, model.RateLimit{}).Before).To(Equal(named))
	g.Expect(b.table.LimitedServers()).To(BeZero())
	g.Expect(b.choose(nonIdempotentQuery()).Limit.InForce).To(BeFalse())
}

// Guards against requests that are sent to a limited server without a permit, against
// one that is refused although another server is free, and against hedges that use up
// permits.
func TestNoPermitLeavesServerOut(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	b.table.ObserveLimit(b.now, 1, b.now, model.RateLimit{InForce: true, PerSecond: 2})
	for range 2 {
		b.begin(2)
	}
	c := b.choose(nonIdempotentQuery())
	g.Expect(c.Server.Key).To(Equal(balance.ServerKey(1)))
	g.Expect(c.Limit.InForce).To(BeTrue())
	hedge := idempotentQuery()
	hedge.Hedge, hedge.CanRetry, hedge.Service = true, false, registry
	_, ok := b.table.Choose(b.now, hedge)
	g.Expect(ok).To(BeFalse())

	b.table.DenyPermits(b.now, 1, 400*time.Millisecond)
	b.now = b.now.Add(100 * time.Millisecond)
	c = b.choose(nonIdempotentQuery())
	g.Expect(c.Server.Key).To(Equal(balance.ServerKey(2)))
	g.Expect(c.PermitWait).To(Equal(300 * time.Millisecond))
	c, ok = b.table.Choose(b.now, balance.Query{Service: registry, Excluded: []balance.ServerKey{2}})
	g.Expect(ok).To(BeFalse())
	g.Expect(c.PermitWait).To(Equal(300 * time.Millisecond))

	b.now = b.now.Add(300 * time.Millisecond)
	g.Expect(b.choose(nonIdempotentQuery()).Server.Key).To(Equal(balance.ServerKey(1)))
	noPermit := nonIdempotentQuery()
	noPermit.NoPermit = true
	g.Expect(b.choose(noPermit).Server.Key).To(Equal(balance.ServerKey(2)))
}

// Guards against probes of a limited server without a permit.
func TestNoProbeWithoutPermit(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	b.run(2, balance.Succeeded, 100*time.Millisecond)
	b.table.ObserveLimit(b.now, 1, b.now, model.RateLimit{InForce: true, PerSecond: 0.1})
	b.table.DenyPermits(b.now, 1, 10*time.Second)
	for range 40 {
		b.now = b.now.Add(200 * time.Millisecond)
		g.Expect(b.choose(idempotentQuery()).Server.Key).To(Equal(balance.ServerKey(2)))
	}
}

// Guards against denied permits that still count once the server names no limit.
func TestEndOfLimitEndsDenial(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(1)...)
	b.table.ObserveLimit(b.now, 1, b.now, model.RateLimit{InForce: true, PerSecond: 0.1})
	b.table.DenyPermits(b.now, 1, 10*time.Second)
	_, ok := b.table.Choose(b.now, balance.Query{Service: registry})
	g.Expect(ok).To(BeFalse())
	b.table.ObserveLimit(b.now, 1, b.now, model.RateLimit{})
	_, ok = b.table.Choose(b.now, balance.Query{Service: registry})
	g.Expect(ok).To(BeTrue())
}
