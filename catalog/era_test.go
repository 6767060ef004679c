package catalog

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/fetch"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/outage"
)

// at returns a revision of an era.
func at(e Era, number uint64) Revision {
	r, err := NewRevision(e, number)
	if err != nil {
		panic(err)
	}
	return r
}

// Guards against an answer of an earlier era that arrives late, and against the content and
// the confirmations of a daemon that does not know yet that the store came back from a copy.
func TestAnswersOfAnEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, now := NewWithT(t), time.Now()
		cache := NewCache(nil)
		source := &fakeSource{epoch: 2, revision: at(1, 70), servers: map[string]*Server{"i-1": {ID: "i-1"}}}
		f := NewFollower(cache, source, func() Role { return Role{First: true, Listed: fetch.Unlisted} }, 0, discardLogger())
		g.Expect(f.syncServers(t.Context(), f.loops[1])).To(Succeed())
		g.Expect(f.syncConfig(t.Context(), f.loops[0])).To(Succeed())

		f.ObservePeerEra(2)
		_, cursor := cache.snapshotServers()
		g.Expect(cursor).To(BeZero(), "the revision is of an earlier era")
		g.Expect(cache.cursorOfConfig()).To(BeZero())
		source.set(func() { source.revision, source.servers = at(1, 90), map[string]*Server{"i-2": {ID: "i-2"}} })
		g.Expect(errors.Is(f.syncServers(t.Context(), f.loops[1]), errOldEra)).To(BeTrue())
		g.Expect(errors.Is(f.syncConfig(t.Context(), f.loops[0]), errOldEra)).To(BeTrue())
		g.Expect(errors.Is(f.AskConfig(t.Context()), errOldEra)).To(BeTrue())
		g.Expect(serverNames(cache)).To(ConsistOf("i-1"))
		time.Sleep(time.Second)
		cache.Confirm(Versions{Epoch: 2, Revision: at(1, 70)}, time.Now())
		config, servers := cache.Ages(time.Now())
		g.Expect(min(config, servers)).To(BeNumerically(">=", time.Second), "nothing of the earlier era confirms content")

		source.set(func() { source.revision = at(2, 61) })
		g.Expect(f.syncServers(t.Context(), f.loops[1])).To(Succeed())
		g.Expect(cache.Versions().Revision).To(Equal(at(2, 61)))
		cache.Merge(now, Snapshot{Servers: map[string]*Server{"i-3": {ID: "i-3"}}, Revision: at(1, 99)})
		g.Expect(cache.Versions().Revision).To(Equal(at(2, 61)), "a peer with content of the earlier era")
	})
}

// Guards against a difference from another daemon that does not confirm the configuration, as
// it names the era with the servers only.
func TestDifferenceConfirmsTheConfiguration(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	peer, cache := NewCache(nil), NewCache(nil)
	for _, c := range []*Cache{peer, cache} {
		c.ObserveEra(3)
		c.putConfig(&Config{Epoch: 2}, at(3, 5), now.Add(-time.Minute))
		c.putServers(map[string]*Server{"i-1": {ID: "i-1"}}, at(3, 6), at(3, 6), now.Add(-time.Minute))
	}
	peer.putConfig(nil, at(3, 7), now)
	peer.putServers(map[string]*Server{}, at(3, 7), at(3, 7), now)
	g.Expect(cache.Merge(now, peer.Snapshot(now, cache.Versions()))).To(BeTrue())
	config, servers := cache.Ages(now)
	g.Expect(config).To(BeZero())
	g.Expect(servers).To(BeZero())
	cache.ObserveEra(4)
	peer.putConfig(nil, at(3, 8), now.Add(time.Second))
	cache.Merge(now.Add(time.Second), peer.Snapshot(now.Add(time.Second), cache.Versions()))
	config, _ = cache.Ages(now.Add(time.Second))
	g.Expect(config).To(Equal(time.Second), "the other daemon does not know of the new era")
}

// Guards against a range of revisions that runs into that of the next era.
func TestRevisionRange(t *testing.T) {
	g := NewWithT(t)
	g.Expect(at(2, 1)).To(BeNumerically(">", at(1, maxRevision)))
	g.Expect(at(3, 7).String()).To(Equal("7@3"))
	g.Expect(at(0, 7).String()).To(Equal("7"))
	for _, r := range [][2]uint64{{maxEra + 1, 1}, {1, maxRevision + 1}} {
		_, err := NewRevision(Era(r[0]), r[1])
		var out *RevisionRangeError
		g.Expect(errors.As(err, &out)).To(BeTrue())
	}
}

// Guards against a server that runs and is never used again, because its entry was missing
// for a moment before the store came back from a copy, and against servers that joined after
// the copy was made and are never dropped.
func TestDeparturesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		set := func(names ...string) map[string]*Server {
			servers := map[string]*Server{}
			for _, name := range names {
				servers[name] = &Server{ID: model.ServerID(name)}
			}
			return servers
		}
		cache := NewCache(nil)
		put := func(r Revision, names ...string) { cache.putServers(set(names...), r, r, time.Now()) }
		excluded := func() (ids []string) {
			for _, d := range cache.View().Departed {
				if d.Until.IsZero() || time.Now().Before(d.Until) {
					ids = append(ids, string(d.ID))
				}
			}
			return ids
		}
		put(at(1, 10), "i-1", "i-2", "i-3")
		put(at(1, 11), "i-1")
		put(at(1, 12), "i-1", "i-3", "i-4")
		g.Expect(excluded()).To(BeEmpty(), "the store's word counts within an era")

		cache.ObserveEra(2)
		put(at(2, 10), "i-1", "i-2", "i-3")
		g.Expect(excluded()).To(ConsistOf("i-2"), "i-3 had come back")
		g.Expect(serverNames(cache)).To(ConsistOf("i-1", "i-2", "i-3", "i-4"))
		time.Sleep(outage.Grace + time.Second)
		g.Expect(cache.ExpireLapsed(time.Now())).To(ConsistOf(model.ServerID("i-4")))
		g.Expect(serverNames(cache)).To(ConsistOf("i-1", "i-2", "i-3"))
		time.Sleep(departureHold)
		g.Expect(excluded()).To(BeEmpty(), "its entry is still there, so that it runs")
		put(at(2, 11), "i-1", "i-2", "i-3", "i-5")
		put(at(3, 10), "i-1", "i-2", "i-3")
		g.Expect(excluded()).To(ConsistOf("i-4"))
		time.Sleep(2 * departureMemory)
		put(at(4, 10), "i-1", "i-2", "i-3")
		g.Expect(excluded()).To(BeEmpty())
	})
}
