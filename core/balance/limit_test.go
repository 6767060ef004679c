package balance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/balance"
)

// Guards against a limit that ends because an answer made before it was named arrives
// late, and against one that stays after an answer without it.
func TestLimitFollowsTheNewestAnswer(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(1)...)
	sent := b.now
	b.now = b.now.Add(time.Second)
	named := balance.RateLimit{InForce: true, PerSecond: 2}
	g.Expect(b.table.ObserveLimit(b.now, 1, sent, named).After).To(Equal(named))
	g.Expect(b.table.LimitedServers()).To(Equal(1))
	g.Expect(b.table.ObserveLimit(b.now, 1, sent, balance.RateLimit{}).Changed()).To(BeFalse())
	g.Expect(b.choose(nonIdempotentQuery()).Limit).To(Equal(named))
	g.Expect(b.table.ObserveLimit(b.now.Add(time.Second), 1, b.now, balance.RateLimit{}).Before).To(Equal(named))
	g.Expect(b.table.LimitedServers()).To(BeZero())
	g.Expect(b.choose(nonIdempotentQuery()).Limit.InForce).To(BeFalse())
}
