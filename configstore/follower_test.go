package configstore_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/standin/platform"
)

// Guards against a relay that misses an epoch, or that reads chunks although the
// head contains the changes.
func TestRelayFollowsWithoutChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		s := newStore(t, p.Endpoint)
		mustApply(t, s, firstChange(20), 0)
		h := newHost(newStore(t, p.Endpoint), true)
		defer h.run(t)()
		g.Expect(h.next(t).Snapshot.Epoch).To(Equal(model.Epoch(1)))
		synctest.Wait()
		before := p.Calls()
		for i := range 5 {
			mustApply(t, s, drain(string(rune('a'+i)), i), model.Epoch(i+1))
			g.Expect(h.next(t).Snapshot.Epoch).To(Equal(model.Epoch(i + 2)))
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

// Guards against a wrong replay when a change alters the number of chunks.
func TestReplayAcrossBuckets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		s := newStore(t, p.Endpoint)
		mustApply(t, s, firstChange(2048), 0)
		h := newHost(newStore(t, p.Endpoint), true)
		defer h.run(t)()
		h.next(t)
		for e, c := range []snapshot.Change{drain("grow", 3000), {ID: "shrink", Author: "a", Delete: []snapshot.Ref{server(7).Ref(), server(3000).Ref()}}} {
			before := p.Calls().Gets
			mustApply(t, s, c, model.Epoch(e+1))
			h.next(t)
			g.Expect(p.Calls().Gets-before).To(Equal(int64(1)), "only the writer reads the head")
			loaded, err := newStore(t, p.Endpoint).Load(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(loaded.Head.Chunks[snapshot.KindServer]).To(HaveLen(2))
			g.Expect(h.holder.Load()).To(Equal(loaded.Snapshot))
		}
	})
}

// Guards against a host that, when started while the object API is unavailable,
// stays without a configuration, applies a lower epoch than its peers have or
// reports itself as confirmed. Also guards against one that is still unconfirmed
// after the outage.
func TestFreshHostDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		s := newStore(t, p.Endpoint)
		mustApply(t, s, firstChange(20), 0)
		behind, ahead, empty := newHost(s, true), newHost(s, true), newHost(s, false)
		stop := behind.run(t)
		behind.next(t)
		stop()
		mustApply(t, s, drain("a", 1), 1)
		stop = ahead.run(t)
		ahead.next(t)
		stop()
		p.SetFaults(platform.Faults{Outage: platform.OutageHang})
		fresh := newHost(newStore(t, p.Endpoint), false, behind.peer(true), empty.peer(true), ahead.peer(false))
		defer fresh.run(t)()
		g.Expect(fresh.next(t).Snapshot.Epoch).To(Equal(model.Epoch(2)))
		time.Sleep(time.Hour)
		g.Expect(fresh.status()).To(Equal(configstore.Status{Epoch: 2, ChangeID: "a", Confirmed: false}))
		p.SetFaults(platform.Faults{})
		time.Sleep(time.Minute)
		g.Expect(fresh.status().Confirmed).To(BeTrue())
		g.Expect(fresh.epochs).To(BeEmpty())
	})
}

// Guards against a host that is not a relay but calls the object API for every
// change, and against pulls from another data centre when a local relay has the
// epoch.
func TestPullsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		s := newStore(t, p.Endpoint)
		mustApply(t, s, firstChange(20), 0)
		relay := newHost(newStore(t, p.Endpoint), true)
		defer relay.run(t)()
		relay.next(t)
		other := newHost(newStore(t, p.Endpoint), false, relay.peer(true))
		defer other.run(t)()
		other.next(t)
		synctest.Wait()
		callsBefore := p.Calls().Total()
		mustApply(t, s, drain("a", 1), 1)
		relay.next(t)
		calls := p.Calls().Total()

		start := time.Now()
		other.ObserveEpoch(relay.peer(false), 2)
		// A repeated notice must not postpone the pull.
		time.AfterFunc(configstore.DefaultRemotePullDelay/2, func() { other.ObserveEpoch(relay.peer(false), 2) })
		g.Expect(other.next(t).Snapshot.Epoch).To(Equal(model.Epoch(2)))
		g.Expect(time.Since(start)).To(Equal(configstore.DefaultRemotePullDelay))

		mustApply(t, s, drain("b", 2), 2)
		relay.next(t)
		calls += p.Calls().Total() - calls
		start = time.Now()
		other.ObserveEpoch(relay.peer(false), 3)
		other.ObserveEpoch(relay.peer(true), 3)
		g.Expect(other.next(t).Snapshot.Epoch).To(Equal(model.Epoch(3)))
		g.Expect(time.Since(start)).To(BeZero())
		time.Sleep(time.Minute)
		// The calls of two changes (head read, chunk write and head update each)
		// and the relay's watches.
		g.Expect(calls - callsBefore).To(BeNumerically("<=", 8))
		g.Expect(other.holder.Load()).To(Equal(relay.holder.Load()))
	})
}

// brokenPeer hangs or fails when its head is read, or returns corrupt chunks.
type brokenPeer struct {
	configstore.Source
	hang, noHead, damaged bool
}

func (b brokenPeer) Head(ctx context.Context) ([]byte, error) {
	if b.hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if b.noHead {
		return nil, configstore.ErrNoConfiguration
	}
	return b.Source.Head(ctx)
}

func (b brokenPeer) Chunk(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
	data, err := b.Source.Chunk(ctx, name)
	if b.damaged {
		data = append([]byte{'x'}, data...)
	}
	return data, err
}

// Guards against peers that hang, have no head or send corrupt chunks and so
// prevent a host from reaching an epoch that its other peers have.
func TestBrokenPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		s := newStore(t, p.Endpoint)
		mustApply(t, s, firstChange(20), 0)
		relay := newHost(s, true)
		defer relay.run(t)()
		relay.next(t)
		p.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		damaged := configstore.Peer{ID: "damaged", Local: true, Source: brokenPeer{Source: relay.Follower, damaged: true}}
		hanging := configstore.Peer{ID: "hanging", Local: true, Source: brokenPeer{Source: relay.Follower, hang: true}}
		noHead := configstore.Peer{ID: "headless", Local: true, Source: brokenPeer{Source: relay.Follower, noHead: true}}
		start := time.Now()
		h := newHost(newStore(t, p.Endpoint), false, hanging, noHead, damaged)
		defer h.run(t)()
		g.Expect(h.next(t).Snapshot).To(Equal(relay.holder.Load()))
		g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	})
}

// Guards against peers that announce an epoch but cannot be reached, as in an
// asymmetric partition, and so prevent pulls from a peer that can be reached.
func TestUnreachablePeersThatAnnounce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		s := newStore(t, p.Endpoint)
		mustApply(t, s, firstChange(20), 0)
		relay := newHost(s, true)
		defer relay.run(t)()
		relay.next(t)
		h := newHost(newStore(t, p.Endpoint), false, relay.peer(true))
		defer h.run(t)()
		h.next(t)
		for i := range 10 {
			mustApply(t, s, drain(fmt.Sprint("c", i), i), model.Epoch(i+1))
			relay.next(t)
			start := time.Now()
			for tick := 0; h.holder.Epoch() < model.Epoch(i+2); tick++ {
				for j := range 4 {
					h.ObserveEpoch(configstore.Peer{ID: model.HostID(fmt.Sprint("unreachable-", j)), Local: true, Source: brokenPeer{Source: relay.Follower, hang: true}}, model.Epoch(i+2))
				}
				if tick%10 == 9 {
					h.ObserveEpoch(relay.peer(true), model.Epoch(i+2))
				}
				time.Sleep(100 * time.Millisecond)
			}
			// Heartbeats of the peer come every second; the target is 2 s at
			// the 99th percentile in the usual case and 9 s in a partition.
			g.Expect(time.Since(start)).To(BeNumerically("<=", 9*time.Second))
		}
	})
}

// Guards against a host that cannot serve chunks with unknown fields, which
// occur while the fleet is being upgraded.
func TestChunksOfNewerVersion(t *testing.T) {
	g := NewWithT(t)
	p := platform.New(platform.Options{})
	s := newStore(t, p.Endpoint)
	mustApply(t, s, firstChange(5), 0)
	head, err := s.Head(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	chunks := snapshot.Chunks{}
	for _, name := range head.Chunks.Names() {
		data, err := s.Chunk(t.Context(), name)
		g.Expect(err).NotTo(HaveOccurred())
		chunks[name] = data
	}
	old := head.Chunks[snapshot.KindServer][0]
	newer := bytes.Replace(chunks[old], []byte(`{"id"`), []byte(`{"colour":"red","id"`), 1)
	name := snapshot.ChunkNameOf(newer)
	head.Chunks[snapshot.KindServer][0], chunks[name] = name, newer
	raw, err := json.Marshal(head.Head)
	g.Expect(err).NotTo(HaveOccurred())
	h := newHost(s, false)
	g.Expect(h.Deliver(raw, chunks)).To(BeEmpty())
	g.Expect(h.holder.Load().Objects.Servers).To(HaveLen(5))
	g.Expect(h.Chunk(t.Context(), name)).To(Equal(newer))
	g.Expect(h.Chunk(t.Context(), head.Chunks[snapshot.KindService][0])).NotTo(BeEmpty())
}

// Guards against heads and chunks delivered in any order or incompletely that
// take a host back to an older epoch, mix two epochs or are lost.
func TestNeverBackwards(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		p := platform.New(platform.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
		s := newStore(t, p.Endpoint)
		writer := newHost(s, false)
		target := newHost(s, false)
		changes := rapid.IntRange(2, 8).Draw(rt, "changes")
		large := rapid.IntRange(0, 11).Draw(rt, "servers changed at a time")
		var heads [][]byte
		want := map[model.Epoch]*snapshot.Snapshot{}
		all := snapshot.Chunks{}
		for e := range changes {
			c := firstChange(12)
			if e > 0 {
				c = snapshot.Change{ID: fmt.Sprint("c", e), Author: "a", Put: snapshot.Objects{Servers: firstChange(large + 1).Put.Servers}}
				c.Put.Servers[0].Slots = 3 + e
			}
			mustApply(t, s, c, model.Epoch(e))
			loaded, err := s.Load(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			raw, err := newAPI(t, p.Endpoint).Get(context.Background(), configstore.HeadKey)
			g.Expect(err).NotTo(HaveOccurred())
			heads, want[model.Epoch(e+1)] = append(heads, raw.Value), loaded.Snapshot
			for _, name := range loaded.Head.Chunks.Names() {
				all[name], err = s.Chunk(context.Background(), name)
				g.Expect(err).NotTo(HaveOccurred())
			}
		}
		last := model.Epoch(0)
		rt.Repeat(map[string]func(*rapid.T){
			"deliver": func(rt *rapid.T) {
				head := rapid.SampledFrom(heads).Draw(rt, "head")
				missing, err := target.MissingChunks(head)
				g.Expect(err).NotTo(HaveOccurred())
				chunks := snapshot.Chunks{}
				for _, name := range missing {
					if rapid.IntRange(0, 3).Draw(rt, "include") > 0 {
						chunks[name] = all[name]
					}
				}
				left, err := target.Deliver(head, chunks)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(left).To(HaveLen(len(missing) - len(chunks)))
				h, _ := configstore.DecodeHead(head)
				g.Expect(target.holder.Epoch() >= h.Epoch).To(Equal(len(left) == 0))
			},
			"from writer": func(*rapid.T) {
				_, err := writer.Deliver(heads[len(heads)-1], all)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(writer.holder.Epoch()).To(Equal(model.Epoch(changes)))
			},
			"": func(*rapid.T) {
				now := target.holder.Epoch()
				g.Expect(now).To(BeNumerically(">=", last))
				g.Expect(target.status().Epoch).To(Equal(now))
				if now > 0 {
					g.Expect(target.holder.Load()).To(Equal(want[now]))
				}
				last = now
			},
		})
	})
}

// Guards against a relay that returns to an older epoch because its reads are
// stale or fail, and against one that does not recover after an outage of an
// hour.
func TestStaleRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := platform.New(platform.Options{})
		s := newStore(t, p.Endpoint)
		mustApply(t, s, firstChange(20), 0)
		time.Sleep(time.Minute)
		fresh := newHost(s, true)
		defer fresh.run(t)()
		fresh.next(t)
		stale := p.EndpointNamed("stale")
		stale.SetFaults(platform.Faults{ReadLagMs: 20_000})
		mustApply(t, s, drain("a", 1), 1)
		fresh.next(t)
		relay := newHost(newStore(t, stale), true, fresh.peer(false))
		defer relay.run(t)()
		g.Expect(relay.next(t).Snapshot.Epoch).To(Equal(model.Epoch(2)))
		time.Sleep(time.Second)
		g.Expect(relay.status()).To(Equal(configstore.Status{Epoch: 2, ChangeID: "a", Confirmed: false}))
		time.Sleep(time.Minute)
		g.Expect(relay.status().Confirmed).To(BeTrue())

		stale.SetFaults(platform.Faults{Outage: platform.OutageHang})
		time.Sleep(time.Hour)
		mustApply(t, s, drain("b", 2), 2)
		g.Expect(relay.holder.Epoch()).To(Equal(model.Epoch(2)))
		start := time.Now()
		stale.SetFaults(platform.Faults{})
		g.Expect(relay.next(t).Snapshot.Epoch).To(Equal(model.Epoch(3)))
		// The target for a change is 9 s.
		g.Expect(time.Since(start)).To(BeNumerically("<=", 9*time.Second))
	})
}

// Guards against an older head that replaces a newer one when both are delivered
// at the same time.
func TestConcurrentDelivery(t *testing.T) {
	g := NewWithT(t)
	p := platform.New(platform.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	s := newStore(t, p.Endpoint)
	api := newAPI(t, p.Endpoint)
	const changes, deliverers = 40, 6
	var heads [][]byte
	for e := range changes {
		c := firstChange(200)
		if e > 0 {
			c = drain(fmt.Sprint("c", e), e)
		}
		mustApply(t, s, c, model.Epoch(e))
		o, err := api.Get(t.Context(), configstore.HeadKey)
		g.Expect(err).NotTo(HaveOccurred())
		heads = append(heads, o.Value)
	}
	loaded, err := s.Load(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	chunks := snapshot.Chunks{}
	first, err := configstore.DecodeHead(heads[0])
	g.Expect(err).NotTo(HaveOccurred())
	for _, name := range append(first.Chunks.Names(), loaded.Head.Chunks.Names()...) {
		chunks[name], err = s.Chunk(t.Context(), name)
		g.Expect(err).NotTo(HaveOccurred())
	}
	target := newHost(s, false)
	var wg sync.WaitGroup
	for i := range deliverers {
		wg.Go(func() {
			last := model.Epoch(0)
			for e := i % 3; e < changes; e += 1 + i%3 {
				if _, err := target.Deliver(heads[e], chunks); err != nil {
					t.Errorf("deliver epoch %d: %v", e+1, err)
				}
				now := target.status().Epoch
				if now < last || now > target.holder.Epoch() {
					t.Errorf("epoch %d after %d, holder has epoch %d", now, last, target.holder.Epoch())
				}
				last = now
			}
		})
	}
	wg.Wait()
	g.Expect(target.holder.Load()).To(Equal(loaded.Snapshot))
}
