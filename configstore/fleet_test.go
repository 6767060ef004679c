package configstore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/standin/platform"
)

// Links between places, from the description of the current scale. Bytes are
// those of the messages, without TCP/IP headers.
const (
	inDataCentre   = 200 * time.Microsecond
	inRegion       = time.Millisecond
	betweenRegions = 30 * time.Millisecond
	regionBitsPerS = 30e6
	httpHeader     = 300 // bytes of a request or response without its body
	peerMessage    = 150 // bytes of a heartbeat, notice or question
	heartbeatEvery = time.Second
	localPeers     = 3
)

type place struct {
	region model.Region
	dc     model.DataCentre
}

var places = []place{{"lagos", "lagos-1"}, {"lagos", "lagos-2"}, {"abuja", "abuja-1"}, {"abuja", "abuja-2"}}

// links delays messages and counts the bytes between regions.
type links struct {
	bytes atomic.Int64
	mu    sync.Mutex
	free  map[model.Region]time.Time // when the link out of a region is idle
}

func (l *links) send(ctx context.Context, from, to place, bytes int) error {
	delay := inDataCentre
	switch {
	case from.region != to.region:
		delay = betweenRegions + l.queue(from.region, bytes)
	case from.dc != to.dc:
		delay = inRegion
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// queue returns the wait for the link and the time to send the bytes.
func (l *links) queue(from model.Region, bytes int) time.Duration {
	l.bytes.Add(int64(bytes))
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	start := now
	if l.free[from].After(now) {
		start = l.free[from]
	}
	l.free[from] = start.Add(time.Duration(float64(bytes*8) / regionBitsPerS * float64(time.Second)))
	return l.free[from].Sub(now)
}

// apiLink is the way from a place to the object API, which is in lagos-1.
type apiLink struct {
	links *links
	at    place
	next  http.RoundTripper
}

func (a apiLink) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := a.links.send(r.Context(), a.at, places[0], httpHeader+int(max(r.ContentLength, 0))); err != nil {
		return nil, err
	}
	resp, err := a.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	return resp, a.links.send(r.Context(), places[0], a.at, httpHeader+int(resp.ContentLength))
}

// node is a host of the fleet.
type node struct {
	*host
	id    model.HostID
	at    place
	peers []*node
	fleet *fleet
	relay bool
}

type fleet struct {
	platform *platform.Platform
	links    links
	nodes    []*node
	notices  bool // tell peers of a new epoch at once, not only by heartbeat
	applied  func(n *node, e model.Epoch)
}

// newFleet returns n hosts, a quarter in each data centre. Each has a few
// peers in its data centre; relays are also peers of all other relays.
func newFleet(t testing.TB, n int) *fleet {
	f := &fleet{platform: platform.New(platform.Options{}), links: links{free: map[model.Region]time.Time{}}, notices: true}
	for i := range n {
		f.nodes = append(f.nodes, &node{id: model.HostID(fmt.Sprint("host-", i)), at: places[i%len(places)], fleet: f})
	}
	for _, a := range f.nodes {
		a.relay = a.ranksAsRelay()
	}
	for i, a := range f.nodes {
		same := slices.DeleteFunc(slices.Clone(f.nodes), func(b *node) bool { return b.at != a.at })
		self := slices.Index(same, a)
		for d := 1; d <= localPeers && d < len(same); d++ {
			a.peers = append(a.peers, same[(self+d)%len(same)])
		}
		for _, b := range f.nodes {
			if b.at != a.at && a.relay && b.relay {
				a.peers = append(a.peers, b)
			}
		}
		a.host = newFleetHost(t, a, uint64(i))
	}
	return f
}

func (n *node) ranksAsRelay() bool {
	var ids []model.HostID
	for _, m := range n.fleet.nodes {
		if m.at == n.at {
			ids = append(ids, m.id)
		}
	}
	return configstore.IsRelay(n.id, n.at.dc, ids)
}

func newFleetHost(t testing.TB, n *node, seed uint64) *host {
	h := &host{}
	h.Follower = configstore.NewFollower(configstore.FollowerOptions{
		Store: configstore.NewStore(n.fleet.api(t, n.at)), Holder: &h.holder, Rand: rand.New(rand.NewPCG(7, seed)),
		IsRelay: func() bool { return n.relay },
		Peers: func() []configstore.Peer {
			peers := make([]configstore.Peer, len(n.peers))
			for i, p := range n.peers {
				peers[i] = n.peer(p)
			}
			return peers
		},
		OnEpoch: func(a configstore.AppliedEpoch) {
			n.fleet.applied(n, a.Snapshot.Epoch)
			if n.fleet.notices {
				n.exchangeAll(context.Background(), a.Snapshot.Epoch)
			}
		},
	})
	return h
}

func (f *fleet) api(t testing.TB, at place) objectapi.Store {
	next := f.platform.EndpointNamed(string(at.dc)).Transport()
	c, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: "http://platform", Transport: apiLink{&f.links, at, next}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return c
}

// run starts all hosts with heartbeats and returns a function that stops them.
func (f *fleet) run(t testing.TB) func() {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i, n := range f.nodes {
		stop := n.run(t)
		wg.Go(func() {
			defer stop()
			time.Sleep(heartbeatEvery * time.Duration(i) / time.Duration(len(f.nodes)))
			for ctx.Err() == nil {
				n.exchangeAll(ctx, n.holder.Epoch())
				time.Sleep(heartbeatEvery)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
		time.Sleep(time.Second) // messages under way
	}
}

func (n *node) exchangeAll(ctx context.Context, e model.Epoch) {
	for _, p := range n.peers {
		go func() {
			if n.fleet.links.send(ctx, n.at, p.at, peerMessage) != nil {
				return
			}
			p.ObserveEpoch(p.peer(n), e)
			if n.fleet.links.send(ctx, p.at, n.at, peerMessage) == nil {
				n.ObserveEpoch(n.peer(p), p.holder.Epoch())
			}
		}()
	}
}

// peer returns p as n sees it.
func (n *node) peer(p *node) configstore.Peer {
	return configstore.Peer{ID: p.id, Local: p.at == n.at, Source: remote{from: n, to: p}}
}

// remote calls another host's follower over the links.
type remote struct{ from, to *node }

func (r remote) Status(ctx context.Context) (configstore.Status, error) {
	return over(ctx, r, func() (configstore.Status, int, error) {
		s, err := r.to.Status(ctx)
		return s, peerMessage, err
	})
}

func (r remote) Head(ctx context.Context) ([]byte, error) {
	return over(ctx, r, func() ([]byte, int, error) {
		data, err := r.to.Head(ctx)
		return data, peerMessage + len(data), err
	})
}

func (r remote) Chunk(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
	return over(ctx, r, func() ([]byte, int, error) {
		data, err := r.to.Chunk(ctx, name)
		return data, peerMessage + len(data), err
	})
}

func over[T any](ctx context.Context, r remote, call func() (T, int, error)) (T, error) {
	var zero T
	l := &r.from.fleet.links
	if err := l.send(ctx, r.from.at, r.to.at, peerMessage); err != nil {
		return zero, err
	}
	v, bytes, err := call()
	if err != nil {
		return zero, err
	}
	return v, l.send(ctx, r.to.at, r.from.at, bytes)
}
