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

// Latency and bandwidth of the links between hosts at the current scale. Message
// sizes exclude TCP/IP headers.
const (
	inDataCentre        = 200 * time.Microsecond
	inRegion            = time.Millisecond
	betweenRegions      = 30 * time.Millisecond
	regionBitsPerSecond = 30e6
	httpHeaderBytes     = 300 // request or response without its body
	peerMessageBytes    = 150 // heartbeat, epoch notice or status call
	heartbeatInterval   = time.Second
	localPeerCount      = 3
)

type site struct {
	region model.Region
	dc     model.DataCentre
}

var sites = []site{{"lagos", "lagos-1"}, {"lagos", "lagos-2"}, {"abuja", "abuja-1"}, {"abuja", "abuja-2"}}

// links simulates the network: it delays messages and counts the bytes sent
// between regions.
type links struct {
	bytes  atomic.Int64
	mu     sync.Mutex
	freeAt map[model.Region]time.Time // when the outgoing link of a region becomes idle
}

func (l *links) send(ctx context.Context, from, to site, bytes int) error {
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

// queue reserves the outgoing link of a region and returns the time until the
// bytes are sent: the wait for the link and the transmission time.
func (l *links) queue(from model.Region, bytes int) time.Duration {
	l.bytes.Add(int64(bytes))
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	start := now
	if l.freeAt[from].After(now) {
		start = l.freeAt[from]
	}
	l.freeAt[from] = start.Add(time.Duration(float64(bytes*8) / regionBitsPerSecond * float64(time.Second)))
	return l.freeAt[from].Sub(now)
}

// apiLink is the link from a site to the object API, which is in lagos-1.
type apiLink struct {
	links *links
	site  site
	next  http.RoundTripper
}

func (a apiLink) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := a.links.send(r.Context(), a.site, sites[0], httpHeaderBytes+int(max(r.ContentLength, 0))); err != nil {
		return nil, err
	}
	resp, err := a.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	return resp, a.links.send(r.Context(), sites[0], a.site, httpHeaderBytes+int(resp.ContentLength))
}

// node is a host of the fleet.
type node struct {
	*host
	id    model.HostID
	site  site
	peers []*node
	fleet *fleet
	relay bool
}

type fleet struct {
	platform    *platform.Platform
	links       links
	nodes       []*node
	notifyPeers bool // announce a new epoch to peers at once, not only by heartbeat
	onApplied   func(n *node, e model.Epoch)
}

// newFleet returns n hosts, spread evenly over the data centres. Each host has
// up to localPeerCount peers in its data centre. Relays are also peers of the
// relays of other data centres.
func newFleet(t testing.TB, n int) *fleet {
	f := &fleet{platform: platform.New(platform.Options{}), links: links{freeAt: map[model.Region]time.Time{}}, notifyPeers: true}
	for i := range n {
		f.nodes = append(f.nodes, &node{id: model.HostID(fmt.Sprint("host-", i)), site: sites[i%len(sites)], fleet: f})
	}
	for _, a := range f.nodes {
		a.relay = a.ranksAsRelay()
	}
	for i, a := range f.nodes {
		same := slices.DeleteFunc(slices.Clone(f.nodes), func(b *node) bool { return b.site != a.site })
		self := slices.Index(same, a)
		for d := 1; d <= localPeerCount && d < len(same); d++ {
			a.peers = append(a.peers, same[(self+d)%len(same)])
		}
		for _, b := range f.nodes {
			if b.site != a.site && a.relay && b.relay {
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
		if m.site == n.site {
			ids = append(ids, m.id)
		}
	}
	return configstore.IsRelay(n.id, n.site.dc, ids)
}

func newFleetHost(t testing.TB, n *node, seed uint64) *host {
	h := &host{}
	h.Follower = configstore.NewFollower(configstore.FollowerOptions{
		Store: configstore.NewStore(n.fleet.api(t, n.site)), Holder: &h.holder, Rand: rand.New(rand.NewPCG(7, seed)),
		IsRelay: func() bool { return n.relay },
		Peers: func() []configstore.Peer {
			peers := make([]configstore.Peer, len(n.peers))
			for i, p := range n.peers {
				peers[i] = n.peer(p)
			}
			return peers
		},
		OnEpoch: func(a configstore.AppliedEpoch) {
			n.fleet.onApplied(n, a.Snapshot.Epoch)
			if n.fleet.notifyPeers {
				n.exchangeEpochs(context.Background(), a.Snapshot.Epoch)
			}
		},
	})
	return h
}

func (f *fleet) api(t testing.TB, at site) objectapi.Store {
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
			time.Sleep(heartbeatInterval * time.Duration(i) / time.Duration(len(f.nodes)))
			for ctx.Err() == nil {
				n.exchangeEpochs(ctx, n.holder.Epoch())
				time.Sleep(heartbeatInterval)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
		time.Sleep(time.Second) // for messages in transit
	}
}

// exchangeEpochs sends an epoch to all peers, each of which replies with its own.
func (n *node) exchangeEpochs(ctx context.Context, e model.Epoch) {
	for _, p := range n.peers {
		go func() {
			if n.fleet.links.send(ctx, n.site, p.site, peerMessageBytes) != nil {
				return
			}
			p.ObserveEpoch(p.peer(n), e)
			if n.fleet.links.send(ctx, p.site, n.site, peerMessageBytes) == nil {
				n.ObserveEpoch(n.peer(p), p.holder.Epoch())
			}
		}()
	}
}

// peer returns the Peer through which n calls p.
func (n *node) peer(p *node) configstore.Peer {
	return configstore.Peer{ID: p.id, Local: p.site == n.site, Source: remote{from: n, to: p}}
}

// remote is a Source that calls another host's follower over the links.
type remote struct{ from, to *node }

func (r remote) Status(ctx context.Context) (configstore.Status, error) {
	return callOverLinks(ctx, r, func() (configstore.Status, int, error) {
		s, err := r.to.Status(ctx)
		return s, peerMessageBytes, err
	})
}

func (r remote) Head(ctx context.Context) ([]byte, error) {
	return callOverLinks(ctx, r, func() ([]byte, int, error) {
		data, err := r.to.Head(ctx)
		return data, peerMessageBytes + len(data), err
	})
}

func (r remote) Chunk(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
	return callOverLinks(ctx, r, func() ([]byte, int, error) {
		data, err := r.to.Chunk(ctx, name)
		return data, peerMessageBytes + len(data), err
	})
}

// callOverLinks sends a request over the links, makes the call and sends a reply
// of the size that the call returned.
func callOverLinks[T any](ctx context.Context, r remote, call func() (T, int, error)) (T, error) {
	var zero T
	l := &r.from.fleet.links
	if err := l.send(ctx, r.from.site, r.to.site, peerMessageBytes); err != nil {
		return zero, err
	}
	v, bytes, err := call()
	if err != nil {
		return zero, err
	}
	return v, l.send(ctx, r.to.site, r.from.site, bytes)
}
