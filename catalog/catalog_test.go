package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/kernel"
)

func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// Guards against routes that match a prefix in the middle of a segment.
func TestMatch(t *testing.T) {
	g := NewWithT(t)
	table := NewRouteTable(&Config{Routes: []Route{
		{Name: "root", Host: "a.example", Prefix: "/", Services: someService},
		{Name: "ab", Host: "a.example", Prefix: "/ab/", Services: someService},
		{Name: "abc", Host: "a.example", Prefix: "/ab/c/", Services: someService},
		{Name: "other", Host: "b.example", Prefix: "/ab/", Services: someService},
	}, Unreadable: []UnreadableRoute{{Host: "a.example", Prefix: "/new/"}}})
	for _, c := range []struct{ host, path, route string }{
		{"a.example", "/ab/c/d", "abc"},
		{"a.example", "/ab/c", "ab"},
		{"a.example", "/ab/", "ab"},
		{"a.example", "/ab", "root"},
		{"a.example", "/abc/d", "root"},
		{"A.Example:8080", "/ab/x", "ab"},
		{"b.example", "/ab/c/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/ab/", ""},
		{"a.example", "*", ""},
	} {
		r, result := table.Match(c.host, c.path)
		g.Expect(result == Matched).To(Equal(c.route != ""), c.path)
		if result == Matched {
			g.Expect(string(r.Name)).To(Equal(c.route), c.path)
		}
	}
}

var someService = []WeightedService{{Service: "s", Weight: 1}}

// Guards against a request of a route that cannot be decoded being answered 404 or
// served by a route with a shorter prefix, and against a panic on a damaged copy of
// a configuration.
func TestMatchUnreadableRoutes(t *testing.T) {
	g := NewWithT(t)
	config := &Config{
		Routes:     []Route{{Name: "root", Host: "a.example", Prefix: "/", Services: someService}, {Name: "empty", Host: "a.example", Prefix: "/empty/"}},
		Unreadable: []UnreadableRoute{{Host: "a.example", Prefix: "/new/"}},
	}
	for _, c := range []struct {
		host, path string
		result     MatchResult
	}{
		{"a.example", "/x", Matched},
		{"a.example", "/new/x", Undecided},
		{"a.example", "/empty/x", Undecided},
		{"b.example", "/x", Unmatched},
	} {
		r, result := NewRouteTable(config).Match(c.host, c.path)
		g.Expect(result).To(Equal(c.result), c.path)
		g.Expect(r != nil).To(Equal(c.result == Matched), c.path)
	}
	config.Unreadable = append(config.Unreadable, UnreadableRoute{})
	_, result := NewRouteTable(config).Match("b.example", "/x")
	g.Expect(result).To(Equal(Undecided))
}

// Guards against newer content that is replaced by older content.
func TestCacheMovesForward(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	changes := 0
	cache := NewCache(func(*View) { changes++ })
	cache.putConfig(&Config{Epoch: 5}, 10, now)
	cache.putConfig(&Config{Epoch: 4}, 12, now)
	cache.putServers(map[string]*Server{"i-1": {ID: "i-1"}}, 20, 20, now)
	cache.putServers(map[string]*Server{}, 15, 15, now)
	cache.Merge(now, Snapshot{Config: &Config{Epoch: 3}, Servers: map[string]*Server{}, Revision: 7})
	v := cache.View()
	g.Expect(v.Epoch()).To(Equal(model.Epoch(5)))
	g.Expect(v.Servers).To(HaveLen(1))
	g.Expect(changes).To(Equal(2))
}

// Guards against a merge that does not set the receiver's ages to those of the sender.
func TestSnapshotMerge(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	a, b := NewCache(nil), NewCache(nil)
	a.putConfig(&Config{Epoch: 2}, 5, now.Add(-time.Second))
	a.putServers(map[string]*Server{"i-1": {ID: "i-1"}}, 6, 6, now.Add(-time.Second))
	b.Merge(now, a.Snapshot(now, Versions{}))
	config, servers := b.Ages(now)
	g.Expect(config).To(Equal(time.Second))
	g.Expect(servers).To(Equal(time.Second))
	b.Confirm(Versions{Epoch: 2, Revision: 6}, now)
	config, _ = b.Ages(now)
	g.Expect(config).To(BeZero())
	b.Confirm(Versions{Epoch: 1, Revision: 5}, now.Add(time.Second))
	config, _ = b.Ages(now.Add(time.Second))
	g.Expect(config).To(Equal(time.Second))
}

// Guards against changes that are lost or undone when daemons exchange only the
// difference between their versions: the content of a daemon that pulls now and then
// is always that of its peer, and a difference costs as much as its changes.
func TestDifferences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		peer, local := NewCache(nil), NewCache(nil)
		servers := map[string]*Server{}
		for i := range 20 {
			name := fmt.Sprint("i-", i)
			servers[name] = &Server{ID: model.ServerID(name), Service: "s", Slots: 1}
		}
		revision := Revision(5)
		peer.putServers(maps.Clone(servers), revision, revision, now)
		for range rapid.IntRange(1, 3*maxHistory).Draw(t, "steps") {
			name := fmt.Sprint("i-", rapid.IntRange(0, 25).Draw(t, "name"))
			if rapid.Bool().Draw(t, "remove") {
				delete(servers, name)
			} else {
				servers[name] = &Server{ID: model.ServerID(name), Service: "s", Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
			}
			revision += Revision(rapid.IntRange(1, 3).Draw(t, "gap"))
			peer.putServers(maps.Clone(servers), revision, revision, now)
			if rapid.IntRange(0, 4).Draw(t, "pull") != 0 {
				continue
			}
			has := local.Versions()
			data, err := json.Marshal(peer.Snapshot(now, has))
			if err != nil {
				t.Fatal(err)
			}
			var e Snapshot
			if err := json.Unmarshal(data, &e); err != nil {
				t.Fatal(err)
			}
			if e.Since == 0 && has.Revision != 0 && revision-has.Revision < maxHistory/3 {
				t.Fatalf("the whole set was sent for %d revisions", revision-has.Revision)
			}
			if !local.Merge(now, e) {
				t.Fatal("a difference to the own version was refused")
			}
			got, _ := local.serversAt()
			if len(got) != len(servers) {
				t.Fatalf("%d servers instead of %d", len(got), len(servers))
			}
			for name, s := range servers {
				if got[name] == nil || got[name].Slots != s.Slots {
					t.Fatalf("server %s is %v instead of %v", name, got[name], s)
				}
			}
		}
	})
}

// Guards against a difference being applied to content of another revision, and
// against damaged messages that panic.
func TestMergeRefusesForeignDifferences(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	cache := NewCache(nil)
	cache.putServers(map[string]*Server{"i-1": {ID: "i-1"}}, 10, 10, now)
	g.Expect(cache.Merge(now, Snapshot{Since: 12, Revision: 13, Removed: []string{"i-1"}})).To(BeFalse())
	g.Expect(cache.Merge(now, Snapshot{Since: 8, Revision: 9, Removed: []string{"i-1"}})).To(BeTrue(), "older than the own content")
	g.Expect(serverNames(cache)).To(ConsistOf("i-1"))
	g.Expect(cache.Merge(now, Snapshot{Since: 10, Revision: 14, Servers: map[string]*Server{"i-2": nil}})).To(BeTrue())
	g.Expect(serverNames(cache)).To(ConsistOf("i-1"))
}

// Guards against a relay that takes longer than 1.1 s to apply a change.
func TestRelayFollows(t *testing.T) {
	follow(t, 0, func(g *WithT, f *fakeSource, cache *Cache) {
		g.Expect(serverNames(cache)).To(ConsistOf("i-1", "i-2"))
		f.set(func() {
			f.epoch, f.revision = 2, 11
			f.events = []ServerEvent{{Name: "i-1", Removed: true}, {Name: "i-3", Server: &Server{ID: "i-3"}}, {Name: "i-2"}}
		})
		time.Sleep(1100 * time.Millisecond)
		g.Expect(cache.View().Epoch()).To(Equal(model.Epoch(2)))
		g.Expect(serverNames(cache)).To(ConsistOf("i-3"))
	})
}

// Guards against daemons that call the store although the relay confirms their
// content, and against ones that never call it when the relay is silent.
func TestNonRelaysReadOnlyWhenStale(t *testing.T) {
	follow(t, 3, func(g *WithT, f *fakeSource, cache *Cache) {
		before := f.callCount()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			cache.Confirm(cache.Versions(), time.Now())
		}
		g.Expect(f.callCount()).To(Equal(before))
		f.set(func() { f.epoch, f.revision = 2, 11 })
		time.Sleep(2200 * time.Millisecond)
		g.Expect(cache.View().Epoch()).To(Equal(model.Epoch(2)))
	})
}

// Guards against a data centre whose daemons all keep calling the store during
// an outage.
func TestNonRelaysBackOff(t *testing.T) {
	follow(t, 5, func(g *WithT, f *fakeSource, cache *Cache) {
		f.set(func() { f.err, f.calls = errDown, 0 })
		time.Sleep(12 * time.Second)
		// Each of the two loops calls the store after 1.7, 3.2, 6.2 and 12.2 s.
		g.Expect(f.callCount()).To(And(BeNumerically(">=", 4), BeNumerically("<=", 8)))
	})
	follow(t, 0, func(g *WithT, f *fakeSource, cache *Cache) {
		f.set(func() { f.err, f.calls = errDown, 0 })
		time.Sleep(12 * time.Second)
		g.Expect(f.callCount()).To(BeNumerically(">", 40))
	})
}

// Guards against a watch that blocks forever on a connection without a response.
func TestSilentWatch(t *testing.T) {
	follow(t, 0, func(g *WithT, f *fakeSource, cache *Cache) {
		f.set(func() { f.hang = true })
		time.Sleep(3 * time.Second)
		f.set(func() { f.hang, f.epoch, f.revision = false, 2, 11 })
		time.Sleep(2600 * time.Millisecond)
		g.Expect(cache.View().Epoch()).To(Equal(model.Epoch(2)))
	})
}

// Guards against a relay that waits for events that never come, because the store
// silently stopped serving it after the watch began: a leaving server would get work
// until the watch ends.
func TestSilentlyRefusedRelay(t *testing.T) {
	follow(t, 0, func(g *WithT, f *fakeSource, cache *Cache) {
		time.Sleep(1150 * time.Millisecond) // shortly after the second watch began
		f.set(func() { f.hang, f.calls = true, 0 })
		time.Sleep(1100 * time.Millisecond)
		g.Expect(f.callCount()).To(BeNumerically(">", 0), "the relay noticed nothing")
		_, age := cache.Ages(time.Now())
		g.Expect(age).To(BeNumerically(">", time.Second))
	})
}

// Guards against a relay whose calls of the store grow without changes, and against
// content that a healthy store does not confirm often enough.
func TestCallsOfAnIdleRelay(t *testing.T) {
	follow(t, 0, func(g *WithT, f *fakeSource, cache *Cache) {
		f.set(func() { f.calls, f.pings = 0, 0 })
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			config, servers := cache.Ages(time.Now())
			g.Expect(max(config, servers)).To(BeNumerically("<", 600*time.Millisecond))
		}
		f.set(func() {
			g.Expect(f.calls).To(BeNumerically("<=", 52), "two watches of 1.2 s in 30 s")
			g.Expect(f.pings).To(BeNumerically("<=", 76))
		})
	})
}

// Guards against a start of the whole fleet that reads the whole content from the
// store once for each daemon, and against a daemon that waits for others for ever.
func TestBootstrapFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := &fakeSource{epoch: 1, revision: 10, servers: map[string]*Server{"i-1": {ID: "i-1"}}}
		peer, cache := NewCache(nil), NewCache(nil)
		peer.putConfig(&Config{Epoch: 1}, 10, time.Now())
		peer.putServers(map[string]*Server{"i-1": {ID: "i-1"}}, 10, 10, time.Now())
		alone := NewCache(nil)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 2)
		for _, c := range []*Cache{cache, alone} {
			f := NewFollower(c, source, func() Role { return Role{First: true, Known: time.Minute, Alone: true} }, 500*time.Millisecond, discardLogger())
			go func() { done <- kernel.RunTasks(ctx, f.Tasks()...) }()
		}
		time.Sleep(200 * time.Millisecond)
		cache.Merge(time.Now(), peer.Snapshot(time.Now(), Versions{}))
		time.Sleep(250 * time.Millisecond)
		g.Expect(source.callCount()).To(BeZero())
		g.Expect(alone.View().Complete()).To(BeFalse())
		time.Sleep(150 * time.Millisecond)
		g.Expect(alone.View().Complete()).To(BeTrue())
		g.Expect(source.callCount()).To(Equal(2))
		cancel()
		<-done
		<-done
	})
}

// Guards against changes that are missed when the store no longer keeps its
// history.
func TestHistoryGone(t *testing.T) {
	follow(t, 0, func(g *WithT, f *fakeSource, cache *Cache) {
		f.set(func() {
			f.err = ErrHistoryGone
			delete(f.servers, "i-1")
			f.revision = 20
		})
		time.Sleep(1100 * time.Millisecond)
		f.set(func() { f.err = nil })
		time.Sleep(200 * time.Millisecond)
		g.Expect(serverNames(cache)).To(ConsistOf("i-2"))
	})
}

// Guards against servers that are removed at once because their entries lapsed
// during an outage of the store, and against ones that are kept beyond the grace
// period.
func TestLapsedEntries(t *testing.T) {
	follow(t, 0, func(g *WithT, f *fakeSource, cache *Cache) {
		f.set(func() { f.err = errDown })
		time.Sleep(5 * time.Second)
		g.Expect(serverNames(cache)).To(ConsistOf("i-1", "i-2"))
		f.set(func() {
			f.err = nil
			f.revision = 30
			f.events = []ServerEvent{{Name: "i-1", Removed: true}, {Name: "i-2", Removed: true}}
		})
		// The first response ends the outage; the second one has the events.
		time.Sleep(1800 * time.Millisecond)
		g.Expect(serverNames(cache)).To(ConsistOf("i-1", "i-2"))
		f.set(func() {
			f.revision = 31
			f.events = []ServerEvent{{Name: "i-2", Server: &Server{ID: "i-2"}}}
		})
		time.Sleep(1500 * time.Millisecond)
		cache.ExpireLapsed(time.Now())
		g.Expect(serverNames(cache)).To(ConsistOf("i-2"))
	})
}

// Guards against a server that has left and gets work for the grace period of lapsed
// entries, because the store had refused this daemon, but no other, for a while.
func TestRefusedDaemonSeesRemovals(t *testing.T) {
	follow(t, 0, func(g *WithT, f *fakeSource, cache *Cache) {
		f.set(func() { f.err = errDown })
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			cache.Confirm(cache.Versions(), time.Now()) // by the heartbeat of another daemon
		}
		f.set(func() {
			f.err, f.revision = nil, 30
			f.events = []ServerEvent{{Name: "i-1", Removed: true}}
		})
		time.Sleep(400 * time.Millisecond)
		g.Expect(serverNames(cache)).To(ConsistOf("i-2"))
	})
}

// Guards against a view that is passed on after a newer one: the configuration
// and the servers are updated by separate goroutines.
func TestViewsMoveForward(t *testing.T) {
	g := NewWithT(t)
	var epoch model.Epoch
	var revision Revision
	backwards, overlapping := 0, 0
	var running atomic.Int32
	cache := NewCache(func(v *View) {
		if running.Add(1) > 1 {
			overlapping++
		}
		defer running.Add(-1)
		if v.Epoch() < epoch || v.Revision < revision {
			backwards++
		}
		// Gives the other goroutine time to pass a later view on.
		time.Sleep(20 * time.Microsecond)
		epoch, revision = max(epoch, v.Epoch()), max(revision, v.Revision)
	})
	var wg sync.WaitGroup
	const changes = 2000
	wg.Go(func() {
		for i := range changes {
			cache.putConfig(&Config{Epoch: model.Epoch(i + 1)}, 0, time.Now())
		}
	})
	wg.Go(func() {
		for i := range changes {
			cache.putServers(map[string]*Server{}, Revision(i+1), 0, time.Now())
		}
	})
	wg.Wait()
	g.Expect(backwards).To(BeZero())
	g.Expect(overlapping).To(BeZero(), "views passed on at the same time")
	g.Expect(epoch).To(Equal(model.Epoch(changes)))
	g.Expect(revision).To(Equal(Revision(changes)))
}
