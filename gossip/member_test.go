package gossip

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
)

// referenceOrder orders hosts by preference as relay: by descending weight, then by
// rendezvous hashing.
func referenceOrder(hosts []Host) []model.HostID {
	weights := map[model.HostID]uint32{}
	var ids []model.HostID
	for _, h := range hosts {
		weights[h.ID], ids = h.Weight, append(ids, h.ID)
	}
	ranked := ranking.Rank(relayKey, ids)
	slices.SortStableFunc(ranked, func(a, b model.HostID) int { return cmp.Compare(weights[b], weights[a]) })
	return ranked
}

// Guards against daemons that disagree about the relay or the hub because their ranks
// differ from the order of all hosts: some data centres would have several relays, others
// none.
func TestRankFollowsTheOrderOfRelays(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		var sound, failing []Host
		states := map[model.HostID]bool{}
		for i := range rapid.IntRange(1, 40).Draw(t, "hosts") {
			h := Host{ID: model.HostID(fmt.Sprint("h", i)), DataCentre: "x", Weight: rapid.Uint32Range(0, 2).Draw(t, "weight")}
			states[h.ID] = rapid.Bool().Draw(t, "store failing")
			if states[h.ID] {
				failing = append(failing, h)
			} else {
				sound = append(sound, h)
			}
		}
		want := append(referenceOrder(sound), referenceOrder(failing)...)
		for _, self := range append(append([]Host{}, sound...), failing...) {
			table := newMemberTable()
			for _, h := range append(append([]Host{}, sound...), failing...) {
				if h.ID != self.ID {
					m := &member{Host: h, relayScore: ranking.Score(relayKey, h.ID), lastReceived: now, storeFailing: states[h.ID]}
					table.insert(m)
				}
			}
			if got := table.rank(self, State{StoreFailing: states[self.ID]}, now); got != slices.Index(want, self.ID) {
				t.Fatalf("rank of %s is %d in %v", self.ID, got, want)
			}
		}
	})
}

// Guards against a hub that is not the first daemon in the order of relays, or that is
// still used after it fell silent.
func TestHubIsFirstInOrder(t *testing.T) {
	g := NewWithT(t)
	n := start(t, "self", "x")
	n.starThreshold = 3
	hosts := []Host{n.self}
	now := time.Now()
	for i := range 6 {
		h := Host{ID: model.HostID(fmt.Sprint("h", i)), DataCentre: "x", Weight: uint32(1 + i%3), Address: "127.0.0.1:9"}
		hosts = append(hosts, h)
		n.members.insert(&member{Host: h, relayScore: ranking.Score(relayKey, h.ID), udpAddress: &net.UDPAddr{}, lastReceived: now, lastDirect: now})
	}
	n.mu().Lock()
	defer n.mu().Unlock()
	order := referenceOrder(hosts)
	for i, id := range order[:len(order)-1] {
		hub, star := n.chooseHub(now)
		g.Expect(star).To(BeTrue())
		g.Expect(hub.ID).To(Equal(id), "%d in %v", i, order)
		// The hub falls silent; heartbeats through others keep it live.
		now = now.Add(hubTimeout + time.Millisecond)
		for _, m := range n.members.byID {
			m.lastReceived = now
		}
		n.hub.avoided = map[model.HostID]time.Time{}
		for _, silent := range order[:i] {
			n.hub.avoided[silent] = now.Add(hubAvoidance)
		}
	}
	hub, star := n.chooseHub(now)
	g.Expect(star).To(BeTrue())
	g.Expect(hub).To(BeNil(), "this daemon is the last in order")
}

// BenchmarkRole measures the ranking of a daemon among 442 hosts in 8 data centres.
func BenchmarkRole(b *testing.B) {
	now, table := time.Now(), newMemberTable()
	for i := range 442 {
		h := Host{ID: model.HostID(fmt.Sprint("h", i)), DataCentre: model.DataCentre(fmt.Sprint("d", i%8)), Region: "r"}
		table.insert(&member{Host: h, relayScore: ranking.Score(relayKey, h.ID), lastReceived: now})
	}
	self := Host{ID: "self", DataCentre: "d0", Region: "r"}
	for b.Loop() {
		table.rank(self, State{}, now)
		table.dataCentres("r")
	}
}
