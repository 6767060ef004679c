package balance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/balance"
)

// Guards against a leaving server that gets requests again when its entry disappears and
// comes back, against probes and hedges at it, and against a new start of the server that
// is taken for the old one.
func TestLeavingServerIsNotChosen(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	g.Expect(b.table.ObserveLeaving(b.now, balance.Leaving{Server: 1})).To(BeTrue())
	g.Expect(b.table.ObserveLeaving(b.now, balance.Leaving{Server: 1})).To(BeFalse())
	g.Expect(b.table.MayReceive(b.now, 1)).To(BeFalse())
	b.table.SetServers(b.now, local(2)[1:], 2)
	b.table.SetServers(b.now, local(2), 2)
	for range 10 {
		b.now = b.now.Add(2 * time.Second) // probes are due
		g.Expect(b.choose(idempotentQuery()).Server.Key).To(Equal(balance.ServerKey(2)))
		b.run(2, balance.Succeeded, 10*time.Millisecond)
	}
	_, ok := b.table.Choose(b.now, balance.Query{Service: registry, Idempotent: true, Allowed: []balance.ServerKey{1}})
	g.Expect(ok).To(BeFalse())
	restarted := local(2)
	restarted[0].Key = 7
	b.table.SetServers(b.now, restarted, 2)
	g.Expect(b.table.MayReceive(b.now, 7)).To(BeTrue())
	g.Expect(b.choose(idempotentQuery()).Server.Key).To(Equal(balance.ServerKey(7)))
}

// Guards against marks of leaving servers that grow without bound, that displace the marks
// of listed servers, or that daemons forget at different times and send each other for
// ever.
func TestLeavingServersAreBounded(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	b.table.ObserveLeaving(b.now, balance.Leaving{Server: 1})
	for i := range 2000 {
		b.now = b.now.Add(time.Millisecond)
		b.table.ObserveLeaving(b.now, balance.Leaving{Server: balance.ServerKey(100 + i)})
	}
	g.Expect(b.table.LeavingServers(b.now)).To(HaveLen(512))
	g.Expect(b.table.MayReceive(b.now, 1)).To(BeFalse())
	other := newTableDriver(local(2)...)
	for _, l := range b.table.LeavingServers(b.now) {
		other.table.ObserveLeaving(b.now, l)
	}
	g.Expect(other.table.LeavingDigest(b.now)).To(And(Equal(b.table.LeavingDigest(b.now)), Not(BeZero())))
	b.now = b.now.Add(59*time.Minute + 59*time.Second)
	before := b.table.LeavingDigest(b.now)
	b.table.ObserveLeaving(b.now, balance.Leaving{Server: 99})
	g.Expect(b.table.LeavingDigest(b.now)).NotTo(Equal(before))
	other.table.ObserveLeaving(b.now, balance.Leaving{Server: 99})
	g.Expect(other.table.LeavingServers(b.now)).To(Equal(b.table.LeavingServers(b.now)))
	b.now = b.now.Add(2 * time.Second)
	g.Expect(b.table.LeavingServers(b.now)).To(HaveLen(1))
	g.Expect(other.table.LeavingDigest(b.now)).To(Equal(b.table.LeavingDigest(b.now)))
	b.now = b.now.Add(time.Hour)
	g.Expect(b.table.LeavingDigest(b.now)).To(BeZero())
	g.Expect(other.table.ObserveLeaving(b.now, balance.Leaving{Server: 9, Age: 2 * time.Hour})).To(BeFalse())
	g.Expect(b.table.MayReceive(b.now, 1)).To(BeFalse(), "a listed server is leaving as long as it is listed")
}

// Guards against requests within a pause, against a shorter pause that ends a longer one,
// against a pause that never ends, and against other daemons that adopt it.
func TestPauseIsKept(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(1)...)
	b.table.ObservePause(b.now, 1, 3*time.Second)
	b.table.ObservePause(b.now, 1, time.Second)
	b.table.SetServers(b.now, nil, 2)
	b.table.SetServers(b.now, local(1), 2)
	b.now = b.now.Add(2900 * time.Millisecond)
	c, ok := b.table.Choose(b.now, balance.Query{Service: registry, Idempotent: true, CanRetry: true})
	g.Expect(ok).To(BeFalse())
	g.Expect(c.PauseWait).To(Equal(100 * time.Millisecond))
	g.Expect(b.table.PausedServers(b.now)).To(Equal(1))
	b.now = b.now.Add(100 * time.Millisecond)
	g.Expect(b.table.MayReceive(b.now, 1)).To(BeTrue())
	b.table.ObservePause(b.now, 1, 1000*time.Hour)
	b.now = b.now.Add(balance.MaxPause)
	g.Expect(b.table.MayReceive(b.now, 1)).To(BeTrue())

	other := newTableDriver(local(2)...)
	other.table.ObservePeerPause(other.now, "h9", 1, time.Hour)
	g.Expect(other.table.PeerPauses(other.now.Add(time.Minute), "h9")).To(Equal([]balance.Pause{{Server: 1, Left: balance.MaxPause - time.Minute}}))
	g.Expect(other.table.PeerPauses(other.now.Add(balance.MaxPause), "h9")).To(BeEmpty())
	g.Expect(other.table.MayReceive(other.now, 1)).To(BeTrue())
	g.Expect(other.choose(nonIdempotentQuery()).Server.Key).To(Equal(balance.ServerKey(2)))
	other.now = other.now.Add(400 * time.Millisecond)
	other.begin(2)
	g.Expect(other.choose(nonIdempotentQuery()).Server.Key).To(Equal(balance.ServerKey(1)))
}

// Guards against a server that is withheld for a time and never used again, or that other
// daemons are told of for longer than that.
func TestAbsentServerReturns(t *testing.T) {
	g := NewWithT(t)
	b := newTableDriver(local(2)...)
	table, now := b.table, b.now
	g.Expect(table.LeavingDigest(now)).To(BeZero())
	g.Expect(table.ObserveLeaving(now, balance.Leaving{Server: 1, Left: 8 * time.Second})).To(BeTrue())
	g.Expect(table.ObserveLeaving(now.Add(time.Second), balance.Leaving{Server: 1, Left: 5 * time.Second})).To(BeFalse(), "what another daemon has left of it")
	g.Expect(table.MayReceive(now, 1)).To(BeFalse())
	g.Expect(table.LeavingDigest(now)).NotTo(BeZero())
	g.Expect(table.LeavingServers(now.Add(time.Second))).To(ConsistOf(balance.Leaving{Server: 1, Left: 7 * time.Second}))
	later := now.Add(8 * time.Second)
	g.Expect(table.MayReceive(later, 1)).To(BeTrue())
	g.Expect(table.LeavingServers(later)).To(BeEmpty())
	g.Expect(table.LeavingDigest(later.Add(time.Millisecond))).To(BeZero())
	table.ObserveLeaving(later, balance.Leaving{Server: 1, Left: time.Hour})
	g.Expect(table.MayReceive(later.Add(time.Minute), 1)).To(BeTrue(), "a damaged message")
	for i := range 2000 {
		table.ObserveLeaving(later, balance.Leaving{Server: balance.ServerKey(100 + i), Left: time.Second})
	}
	g.Expect(len(table.LeavingServers(later))).To(BeNumerically("<=", 128), "the list fits in one datagram")
}
