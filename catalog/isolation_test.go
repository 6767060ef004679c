package catalog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/kernel"
)

// isolate runs two daemons of a data centre in virtual time. One of them is cut off from
// the store and from the other for a while; meanwhile i-1 is removed, and the last change
// of the servers comes after the one that the other daemon has seen.
func isolate(t *testing.T, cut time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		connected := &fakeSource{epoch: 1, revision: 10, servers: map[string]*Server{"i-1": {ID: "i-1"}, "i-2": {ID: "i-2"}}}
		door := &fakeSource{epoch: 1, revision: 10, servers: connected.servers}
		stays, returns := NewCache(nil), NewCache(nil)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 2)
		for cache, source := range map[*Cache]*fakeSource{stays: connected, returns: door} {
			f := NewFollower(cache, source, func() Role { return Role{Relay: true, First: true} }, 0, discardLogger())
			go func() { done <- kernel.RunTasks(ctx, f.Tasks()...) }()
		}
		defer func() { cancel(); <-done; <-done }()
		heartbeats := func() {
			stays.ObservePeer(time.Now(), returns.Report(time.Now()), true)
			returns.ObservePeer(time.Now(), stays.Report(time.Now()), true)
		}
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			heartbeats()
		}
		door.set(func() { door.hang = true })
		time.Sleep(cut / 2)
		connected.set(func() { connected.revision, connected.events = 20, []ServerEvent{{Name: "i-1", Removed: true}} })
		time.Sleep(cut / 2)
		g.Expect(serverNames(stays)).To(ConsistOf("i-2"))
		// The store's revision has moved on, so that the returning daemon's is higher.
		door.set(func() {
			door.hang, door.revision, door.events = false, 30, []ServerEvent{{Name: "i-1", Removed: true}}
		})
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			heartbeats()
			stays.Merge(time.Now(), returns.Snapshot(time.Now(), stays.Versions()))
			g.Expect(serverNames(stays)).To(ConsistOf("i-2"), "the daemon that was never cut off uses a removed server again")
		}
		g.Expect(stays.Versions().Revision).To(Equal(Revision(30)))
		g.Expect(serverNames(returns)).To(ConsistOf("i-2"))
	})
}

// Guards against the fault of review/3: a daemon that was cut off takes its isolation
// for an outage of the store, retains servers that left, and passes them on with a
// revision that is higher than that of the others.
func TestReturningDaemonPassesNoRemovedServers(t *testing.T) {
	isolate(t, 5500*time.Millisecond)
	isolate(t, 4*time.Second)
}

// Guards against entries that are retained after an outage being passed on as the
// store's word, whoever retains them, and against a peer of an older version whose
// entries are marked as retained.
func TestRetainedEntriesStayLocal(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	retains, peer := NewCache(nil), NewCache(nil)
	retains.putServers(map[string]*Server{"i-1": {ID: "i-1"}, "i-2": {ID: "i-2"}}, 6, 6, now)
	now = now.Add(5 * time.Second)
	retains.putServers(map[string]*Server{"i-2": {ID: "i-2"}}, 7, 7, now)
	g.Expect(serverNames(retains)).To(ConsistOf("i-1", "i-2"))
	peer.Merge(now, retains.Snapshot(now, Versions{}))
	g.Expect(serverNames(peer)).To(ConsistOf("i-2"))
	g.Expect(retains.ExpireLapsed(now.Add(2100 * time.Millisecond))).To(BeEmpty())
	g.Expect(retains.ExpireLapsed(now.Add(2300 * time.Millisecond))).To(HaveLen(1))
	g.Expect(serverNames(retains)).To(ConsistOf("i-2"))

	peer.Merge(now, Snapshot{Revision: 8, Servers: map[string]*Server{"i-1": {ID: "i-1", GraceRemaining: time.Second}, "i-2": {ID: "i-2"}}})
	g.Expect(serverNames(peer)).To(ConsistOf("i-2"))
}

// Guards against an island: two daemons that were cut off together believe in an outage
// of the store and retain servers that left, until a daemon that the store served all
// the time tells them.
func TestIslandDropsRetainedEntries(t *testing.T) {
	g := NewWithT(t)
	began := time.Now()
	cache := NewCache(nil)
	cache.putServers(map[string]*Server{"i-1": {ID: "i-1"}, "i-2": {ID: "i-2"}}, 6, 6, began)
	for age := 200 * time.Millisecond; age <= 5*time.Second; age += 200 * time.Millisecond {
		cache.ObservePeer(began.Add(age), PeerReport{Age: age}, true)
	}
	now := began.Add(5 * time.Second)
	cache.putServers(map[string]*Server{"i-2": {ID: "i-2"}}, 9, 9, now)
	g.Expect(serverNames(cache)).To(ConsistOf("i-1", "i-2"))
	cache.ObservePeer(now.Add(100*time.Millisecond), PeerReport{Age: 100 * time.Millisecond, Served: 100 * time.Millisecond}, true)
	g.Expect(serverNames(cache)).To(ConsistOf("i-1", "i-2"), "the peer's outage ended at the same time")
	cache.ObservePeer(now.Add(200*time.Millisecond), PeerReport{Age: 100 * time.Millisecond, Served: 20 * time.Second}, true)
	g.Expect(serverNames(cache)).To(ConsistOf("i-2"))
}
