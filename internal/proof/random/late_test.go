package random

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/internal/proof"
	"github.com/agateusher/agateusher/standin/backend"
	"github.com/agateusher/agateusher/standin/relay"
)

// Guards against an operation that runs after a request with its key received
// "not run". It comes about when a partition delays a request that its caller
// has given up, and delivers it after a later request with the key was refused
// and released the key. Also guards against a released key that cannot be used
// again.
func TestLateDeliveryAfterNotRun(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, *seedFlag)
	caller := proof.NewCaller("", "gate", 4*deadline)
	defer caller.Close()
	issuer := f.host(f.members.ranked(testPool, 1)[0])
	var other *host
	for _, h := range f.hosts {
		if h != issuer {
			other = h
		}
	}
	keys, err := caller.RequestKeys(t.Context(), issuer.callerAddress, "POST", "/payments", 1)
	g.Expect(err).NotTo(HaveOccurred())
	o := &proof.Operation{ID: "late", Key: keys[0], Bytes: 10}
	send := func(h *host) proof.Request {
		s := caller.Send(t.Context(), h.callerAddress, "POST", "/payments?cid=late&bytes=10", keys[0], []byte("late"), 0)
		o.Add(s)
		return s
	}

	g.Expect(other.peerRelays[issuer.id].SetFaults(relay.Faults{Silent: [2]bool{relay.ToServer: true}})).To(Succeed())
	g.Expect(send(other).Outcome).To(Equal(model.Unknown))
	shed := func(rate float64) {
		for _, l := range f.backends.Listings() {
			g.Expect(f.backends.Server(l.ID).SetFaults(backend.Faults{ShedRate: rate})).To(Succeed())
		}
	}
	shed(1)
	g.Expect(send(issuer).Outcome).To(Equal(model.NotRun))
	shed(0)
	g.Expect(other.peerRelays[issuer.id].SetFaults(relay.Faults{})).To(Succeed())
	time.Sleep(settleTime)
	g.Expect(f.executions()).NotTo(ContainElement(HaveField("End", backend.EndCompleted)))
	// The key can still be used, through any entry.
	g.Expect(send(other).Outcome).To(Equal(model.Answered))
	g.Expect(send(issuer).Outcome).To(Equal(model.Answered))
	reportViolations(t, proof.Check([]*proof.Operation{o}, f.executions()))
}
