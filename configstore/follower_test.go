package configstore_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/standin/platform"
)

// Guards against a relay that misses an epoch or reads chunks that the head
// already carries as a change.
func TestRelayFollowsWithoutChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		s := newStore(t, p.Endpoint)
		mustApply(t, s, firstChange(20), 0)
		h := newHost(newStore(t, p.Endpoint), true)
		defer h.run(t)()
		g.Expect((<-h.epochs).Snapshot.Epoch).To(Equal(model.Epoch(1)))
		synctest.Wait()
		before := p.Calls()
		for i := range 5 {
			mustApply(t, s, drain(string(rune('a'+i)), i), model.Epoch(i+1))
			g.Expect((<-h.epochs).Snapshot.Epoch).To(Equal(model.Epoch(i + 2)))
		}
		loaded, err := s.Load(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(h.holder.Load()).To(Equal(loaded.Snapshot))
		g.Expect(h.status()).To(Equal(configstore.Status{Epoch: 6, ChangeID: "e", Confirmed: true}))
		// The writer reads the head for each change and for Load; the relay
		// reads nothing besides its watch.
		g.Expect(p.Calls().Gets - before.Gets).To(Equal(int64(6)))
	})
}

// Guards against a fresh host that stays empty, takes a lower epoch than its
// peers have, or calls itself confirmed while the object API is away; and
// against one that is not confirmed afterwards.
func TestFreshHostDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		s := newStore(t, p.Endpoint)
		mustApply(t, s, firstChange(20), 0)
		behind, ahead, empty := newHost(s, true), newHost(s, true), newHost(s, false)
		stop := behind.run(t)
		<-behind.epochs
		stop()
		mustApply(t, s, drain("a", 1), 1)
		stop = ahead.run(t)
		<-ahead.epochs
		stop()
		p.SetFaults(platform.Faults{Outage: platform.OutageHang})
		fresh := newHost(newStore(t, p.Endpoint), false, behind.peer(true), empty.peer(true), ahead.peer(false))
		defer fresh.run(t)()
		g.Expect((<-fresh.epochs).Snapshot.Epoch).To(Equal(model.Epoch(2)))
		time.Sleep(time.Hour)
		g.Expect(fresh.status()).To(Equal(configstore.Status{Epoch: 2, ChangeID: "a", Confirmed: false}))
		p.SetFaults(platform.Faults{})
		time.Sleep(time.Minute)
		g.Expect(fresh.status().Confirmed).To(BeTrue())
		g.Expect(fresh.epochs).To(BeEmpty())
	})
}
