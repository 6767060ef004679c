package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/balance"
)

// fill starts attempts in all slots of a server, with an expected service time.
func (b *tableDriver) fill(k balance.ServerKey, expected time.Duration) {
	for range 2 {
		b.table.Expect(b.begin(k), expected)
	}
}

// Guards against a request that waits behind long ones although a server with as many
// short ones is there, in this data centre and by the report of another.
func TestExpectedWorkDecidesAmongFullServers(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	b.run(1, balance.Succeeded, 100*time.Millisecond)
	b.run(2, balance.Succeeded, 100*time.Millisecond)
	b.fill(1, 50*time.Millisecond)
	b.fill(2, 800*time.Millisecond)
	for i := range 10 {
		q := nonIdempotentQuery()
		q.TieBreak = uint64(i)
		g.Expect(b.choose(q).Server.Key).To(BeEquivalentTo(1))
	}
	b.table.ApplyReport(b.now, "b", map[balance.ServerKey]balance.Load{1: {Outstanding: 1, Work: 10 * time.Second}, 2: {Outstanding: 1, Work: time.Millisecond}})
	g.Expect(b.choose(nonIdempotentQuery()).Server.Key).To(BeEquivalentTo(2))
}

// Guards against a server that counts as slow because it ran a costly request.
func TestCostlyRequestsDoNotMakeServersSlow(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	for k := range balance.ServerKey(2) {
		b.run(k+1, balance.Succeeded, 100*time.Millisecond)
	}
	a := b.begin(1)
	b.table.Expect(a, time.Second)
	b.now = b.now.Add(time.Second)
	b.table.AttemptFinished(b.now, 1, a, balance.Succeeded, time.Second)
	for range 8 {
		b.run(2, balance.Succeeded, 100*time.Millisecond)
	}
	q := nonIdempotentQuery()
	q.Expected, q.Excluded = 100*time.Millisecond, []balance.ServerKey{2}
	g.Expect(b.choose(q).ExpectedLatency).To(BeNumerically("~", 100*time.Millisecond, 30*time.Millisecond))
}

// Guards against hosts that send to the same server because they have not heard of each
// other's attempts yet.
func TestHostsDoNotGatherAtOneServer(t *testing.T) {
	g := NewWithT(t)
	for mean, longest := range map[time.Duration]time.Duration{480 * time.Millisecond: 100 * time.Millisecond, 960 * time.Millisecond: 800 * time.Millisecond} {
		w := (&warmTrial{random: rand.New(rand.NewPCG(1, 2)), events: map[time.Duration][]func(){}}).play(mean, 0.02)
		t.Logf("mean %v: wait p99 %v p99.9 %v", mean, w.wait(0.99), w.wait(0.999))
		g.Expect(w.wait(0.99)).To(BeNumerically("<", longest))
	}
}
