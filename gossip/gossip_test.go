package gossip

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/agateusher/agateusher/core/model"
	gen "github.com/agateusher/agateusher/gen/agateusher/v1"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/standin"
)

// recorder is a Handler that records its calls.
type recorder struct {
	mu                sync.Mutex
	state             State
	observed          []string
	gone              []model.HostID
	localLoads        []*gen.ServerLoad
	remoteLoads       []*gen.ServerLoad
	remoteLoadSources []model.DataCentre
	outstanding       []uint64
	permitsIssued     int
	peerOutstanding   map[model.HostID][]uint64
	leaving           []*gen.LeavingServer
}

func (r *recorder) with(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *recorder) State() (s State)              { r.with(func() { s = r.state }); return s }
func (r *recorder) PeerState(Host, State)         {}
func (r *recorder) Outstanding() []uint64         { return r.outstanding }
func (r *recorder) LocalLoads() []*gen.ServerLoad { return r.localLoads }
func (r *recorder) PeerGone(h model.HostID)       { r.with(func() { r.gone = append(r.gone, h) }) }
func (r *recorder) Leaving() (list []*gen.LeavingServer) {
	r.with(func() { list = slices.Clone(r.leaving) })
	return list
}
func (r *recorder) LeavingDigest() (sum uint32) {
	for _, l := range r.Leaving() {
		sum += uint32(l.Server)
	}
	return sum
}
func (r *recorder) PeerLeaving(_ model.HostID, list []*gen.LeavingServer) (added []*gen.LeavingServer) {
	r.with(func() {
		for _, l := range list {
			if !slices.ContainsFunc(r.leaving, func(x *gen.LeavingServer) bool { return x.Server == l.Server }) {
				r.leaving, added = append(r.leaving, l), append(added, l)
			}
		}
	})
	return added
}
func (r *recorder) PausesOf(model.HostID) []*gen.ServerPause { return nil }
func (r *recorder) OwnPauses([]*gen.ServerPause)             {}
func (r *recorder) IssuePermit(*gen.PermitRequest) *gen.PermitReply {
	r.with(func() { r.permitsIssued++ })
	return &gen.PermitReply{Granted: true}
}
func (r *recorder) RemoteLoads(from model.DataCentre, l []*gen.ServerLoad) {
	r.with(func() {
		r.remoteLoadSources, r.remoteLoads = append(r.remoteLoadSources, from), append(r.remoteLoads, l...)
	})
}
func (r *recorder) PeerObservation(h model.HostID, o *gen.Observation) {
	r.with(func() { r.observed = append(r.observed, fmt.Sprint(h, "/", o.Attempt)) })
}
func (r *recorder) PeerOutstanding(h model.HostID, numbers []uint64) {
	r.with(func() { r.peerOutstanding[h] = numbers })
}

// node is a Gossiper with its handler.
type node struct {
	*Gossiper
	*recorder
	stop context.CancelFunc
}

func start(t *testing.T, id string, dc model.DataCentre) *node {
	t.Helper()
	g := NewWithT(t)
	address, err := standin.FreeAddress()
	g.Expect(err).NotTo(HaveOccurred())
	return startAt(t, Host{ID: model.HostID(id), DataCentre: dc, Region: "r", Address: address}, "1")
}

func startAt(t *testing.T, self Host, incarnation model.Incarnation) *node {
	t.Helper()
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &recorder{peerOutstanding: map[model.HostID][]uint64{}}
	l, err := Listen(self, incarnation, r, log)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- kernel.RunTasks(ctx, l.Tasks()...) }()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); <-done }) }
	t.Cleanup(stop)
	return &node{Gossiper: l, recorder: r, stop: stop}
}

// mu returns the lock of the Gossiper, as the recorder has one of the same name.
func (n *node) mu() *sync.Mutex { return &n.Gossiper.mu }

// observedHas reports whether an observation was received.
func (n *node) observedHas(text string) (found bool) {
	n.with(func() { found = slices.Contains(n.observed, text) })
	return found
}

// Guards against daemons that do not find each other when only one of them knows
// the other, and against observations that are not passed on.
func TestObservationsReachTheDataCentre(t *testing.T) {
	g := NewWithT(t)
	a, b, far := start(t, "a", "x"), start(t, "b", "x"), start(t, "c", "y")
	a.AddHosts([]Host{b.self, far.self})
	g.Eventually(func() int { return a.LiveCount() + b.LiveCount() }).WithTimeout(2 * time.Second).Should(Equal(4))
	b.outstanding = []uint64{7, 9}
	b.Publish(&gen.Observation{Kind: gen.Observation_KIND_FAILED, Attempt: 3})
	g.Eventually(func() (got []string) {
		a.with(func() { got = append(got, a.observed...) })
		return got
	}).WithTimeout(time.Second).Should(ConsistOf("b/3"))
	g.Eventually(func() (got []uint64) {
		a.with(func() { got = a.peerOutstanding["b"] })
		return got
	}).WithTimeout(time.Second).Should(Equal([]uint64{7, 9}))
	far.with(func() { g.Expect(far.observed).To(BeEmpty()) })
}

// Guards against a data centre with no relay or several, and against a relay that
// is not replaced when it stops or is leaving.
func TestOneRelay(t *testing.T) {
	g := NewWithT(t)
	nodes := []*node{start(t, "a", "x"), start(t, "b", "x"), start(t, "c", "x")}
	var hosts []Host
	for _, n := range nodes {
		hosts = append(hosts, n.self)
	}
	for _, n := range nodes {
		n.AddHosts(hosts)
	}
	relays := func(of []*node) int {
		count := 0
		for _, n := range of {
			if n.Role().Rank == 0 {
				count++
			}
		}
		return count
	}
	g.Eventually(func() int { return nodes[0].LiveCount() + nodes[1].LiveCount() + nodes[2].LiveCount() }).WithTimeout(2 * time.Second).Should(Equal(9))
	g.Expect(relays(nodes)).To(Equal(1))
	var rest []*node
	for _, n := range nodes {
		if n.Role().Rank == 0 {
			n.with(func() { n.state.Leaving = true })
			n.Announce()
		} else {
			rest = append(rest, n)
		}
	}
	g.Eventually(func() int { return relays(rest) }).WithTimeout(500 * time.Millisecond).Should(Equal(1))
	for _, n := range rest {
		if n.Role().Rank == 0 {
			n.stop()
		}
	}
	g.Eventually(func() int { return min(rest[0].Role().Rank, rest[1].Role().Rank) }).WithTimeout(2 * time.Second).Should(Equal(0))
}

// Guards against calls of the store that grow with the number of data centres, and
// against a region without a relay when the present one stops, or is refused by the
// store.
func TestOneRegionRelay(t *testing.T) {
	g := NewWithT(t)
	var nodes []*node
	var hosts []Host
	for i, dc := range []model.DataCentre{"x", "x", "y", "y", "z", "z"} {
		n := start(t, fmt.Sprint("h", i), dc)
		nodes, hosts = append(nodes, n), append(hosts, n.self)
	}
	for _, n := range nodes {
		n.AddHosts(hosts)
	}
	relays := func() (found []*node) {
		for _, n := range nodes {
			if n.Role().RegionRelay {
				found = append(found, n)
			}
		}
		return found
	}
	one := func(not *node) func() bool {
		return func() bool { found := relays(); return len(found) == 1 && found[0] != not }
	}
	g.Eventually(one(nil)).WithTimeout(3 * time.Second).Should(BeTrue())
	g.Consistently(one(nil)).WithTimeout(time.Second).Should(BeTrue())

	refused := relays()[0]
	refused.with(func() { refused.state.StoreFailing = true })
	refused.Announce()
	g.Eventually(one(refused)).WithTimeout(500 * time.Millisecond).Should(BeTrue())
	refused.with(func() { refused.state.StoreFailing = false })
	g.Eventually(one(nil)).WithTimeout(2 * time.Second).Should(BeTrue())

	stopped := relays()[0]
	stopped.stop()
	nodes = slices.DeleteFunc(nodes, func(n *node) bool { return n == stopped })
	g.Eventually(one(stopped)).WithTimeout(2500 * time.Millisecond).Should(BeTrue())
}

// Guards against a region that nobody follows for a while because a preferred host
// restarts: it takes the role of relay although it has just started.
func TestStartingHostsLeaveTheRole(t *testing.T) {
	g := NewWithT(t)
	var nodes []*node
	var hosts []Host
	for i, dc := range []model.DataCentre{"x", "x", "y", "y"} {
		n := start(t, fmt.Sprint("h", i), dc)
		nodes, hosts = append(nodes, n), append(hosts, n.self)
	}
	for _, n := range nodes {
		n.AddHosts(hosts)
	}
	relays := func() (found []*node) {
		for _, n := range nodes {
			if n.Role().RegionRelay {
				found = append(found, n)
			}
		}
		return found
	}
	settling := func(x *node, on bool) { x.with(func() { x.state.Settling = on }) }
	g.Eventually(func() int { return len(relays()) }).WithTimeout(3 * time.Second).Should(Equal(1))
	preferred := relays()[0]
	for _, n := range nodes {
		settling(n, n != nodes[0] && n != nodes[2])
	}
	// In each data centre one host is settled; one of the two is the relay.
	one := func() bool {
		found := relays()
		return len(found) == 1 && (found[0] == nodes[0] || found[0] == nodes[2])
	}
	g.Eventually(one).WithTimeout(2 * time.Second).Should(BeTrue())
	settled := relays()[0]
	settling(nodes[0], true)
	settling(nodes[2], true)
	settling(settled, false)
	g.Eventually(relays).WithTimeout(2 * time.Second).Should(ConsistOf(settled))
	g.Consistently(relays).WithTimeout(1500 * time.Millisecond).Should(ConsistOf(settled))
	settling(settled, true)
	g.Eventually(relays).WithTimeout(2*time.Second).Should(ConsistOf(preferred), "while all are starting one of them is first")
}

// Guards against a daemon that was cut off and is told only up to a second after its
// return whether the store was away: nobody counts as live by then.
func TestAnnounceReachesMembersThatAreNotLive(t *testing.T) {
	g := NewWithT(t)
	a, b := start(t, "a", "x"), start(t, "b", "x")
	a.AddHosts([]Host{b.self})
	g.Eventually(func() int { return a.LiveCount() + b.LiveCount() }).WithTimeout(2 * time.Second).Should(Equal(4))
	silence := time.Now().Add(-time.Second)
	for _, n := range []*node{a, b} {
		n.mu().Lock()
		for _, m := range n.members.byID {
			m.lastReceived, m.lastSent = silence, time.Now()
		}
		n.mu().Unlock()
	}
	a.AnnounceAll()
	g.Eventually(func() int { return a.LiveCount() + b.LiveCount() }).WithTimeout(500 * time.Millisecond).Should(Equal(4))
}

// Guards against a data centre that hears nothing of the region's relay, and follows the
// store by itself, because the hosts that are listed first as its relay do not run.
func TestClaimsReachDataCentresWithDeadHosts(t *testing.T) {
	g := NewWithT(t)
	var nodes []*node
	var hosts []Host
	for _, dc := range []model.DataCentre{"x", "y"} {
		n := start(t, "live-"+string(dc), dc)
		nodes, hosts = append(nodes, n), append(hosts, n.self)
		for i := range 3 {
			hosts = append(hosts, Host{ID: model.HostID(fmt.Sprint("dead-", dc, i)), DataCentre: dc, Region: "r", Address: "127.0.0.1:9", Weight: 9})
		}
	}
	for _, n := range nodes {
		n.AddHosts(hosts)
	}
	one := func() bool { return nodes[0].Role().RegionRelay != nodes[1].Role().RegionRelay }
	g.Eventually(one).WithTimeout(3 * time.Second).Should(BeTrue())
	g.Consistently(one).WithTimeout(2 * time.Second).Should(BeTrue())
}

// Guards against an address in an old list that replaces the one a live daemon sends
// from, and against a restart under another address that is not noticed.
func TestAddressChanges(t *testing.T) {
	g := NewWithT(t)
	a, b := start(t, "a", "x"), start(t, "b", "x")
	a.AddHosts([]Host{b.self})
	g.Eventually(a.LiveCount).WithTimeout(2 * time.Second).Should(Equal(2))
	old := b.self
	old.Address = "127.0.0.1:9"
	a.AddHosts([]Host{old})
	g.Expect(a.Hosts()).To(ContainElement(b.self))
	b.stop()
	moved := b.self
	address, err := standin.FreeAddress()
	g.Expect(err).NotTo(HaveOccurred())
	moved.Address = address
	again := startAt(t, moved, "2")
	again.AddHosts([]Host{a.self})
	g.Eventually(func() (gone []model.HostID) {
		a.with(func() { gone = append(gone, a.recorder.gone...) })
		return gone
	}).WithTimeout(3 * time.Second).Should(ContainElement(model.HostID("b")))
}

// Guards against datagrams that grow with the square of the daemons of a data centre,
// and against a hub whose loss cuts daemons off from each other's observations.
func TestHub(t *testing.T) {
	g := NewWithT(t)
	var nodes []*node
	var hosts []Host
	for i := range 8 {
		n := start(t, fmt.Sprint("h", i), "x")
		n.mu().Lock()
		n.starThreshold = 4
		n.mu().Unlock()
		nodes, hosts = append(nodes, n), append(hosts, n.self)
	}
	for _, n := range nodes {
		n.AddHosts(hosts)
	}
	all := func() bool {
		for _, n := range nodes {
			if n.LiveCount() != len(nodes) {
				return false
			}
		}
		return true
	}
	g.Eventually(all).WithTimeout(3 * time.Second).Should(BeTrue())
	g.Consistently(all).WithTimeout(2 * time.Second).Should(BeTrue())
	attempt := uint64(0)
	reachesAll := func(from *node) func() bool {
		return func() bool {
			attempt++
			from.Publish(&gen.Observation{Kind: gen.Observation_KIND_FAILED, Attempt: attempt})
			text := fmt.Sprint(from.self.ID, "/", attempt)
			deadline := time.Now().Add(100 * time.Millisecond)
			for _, n := range nodes {
				for n != from && !n.observedHas(text) {
					if time.Now().After(deadline) {
						return false
					}
					time.Sleep(time.Millisecond)
				}
			}
			return true
		}
	}
	for _, n := range nodes {
		g.Expect(reachesAll(n)()).To(BeTrue(), "from %s", n.self.ID)
	}
	hub := nodes[slices.IndexFunc(nodes, func(n *node) bool { return n.Role().Rank == 0 })]
	hub.stop()
	nodes = slices.DeleteFunc(nodes, func(n *node) bool { return n == hub })
	for _, n := range nodes {
		g.Eventually(reachesAll(n)).WithTimeout(1500*time.Millisecond).Should(BeTrue(), "from %s", n.self.ID)
	}
}

// Guards against a small host that becomes the relay, and so sends its content to
// the whole data centre, while a larger one is live.
func TestLargeHostsAreRelays(t *testing.T) {
	g := NewWithT(t)
	address := func() string {
		a, err := standin.FreeAddress()
		g.Expect(err).NotTo(HaveOccurred())
		return a
	}
	var nodes []*node
	for i, weight := range []uint32{2, 1, 9, 1} {
		nodes = append(nodes, startAt(t, Host{ID: model.HostID(fmt.Sprint("h", i)), DataCentre: "x", Region: "r", Address: address(), Weight: weight}, "1"))
	}
	for _, n := range nodes {
		// The weight comes from heartbeats if the registry has none.
		n.AddHosts([]Host{{ID: "h0", DataCentre: "x", Region: "r", Address: nodes[0].self.Address}})
		nodes[0].AddHosts([]Host{{ID: n.self.ID, DataCentre: "x", Region: "r", Address: n.self.Address}})
		nodes[2].AddHosts([]Host{n.self})
		n.AddHosts([]Host{nodes[2].self})
	}
	g.Eventually(func() []int { return []int{nodes[0].Role().Rank, nodes[2].Role().Rank} }).WithTimeout(3 * time.Second).Should(Equal([]int{1, 0}))
}

// Guards against attempts of a stopped process that count as outstanding for ever
// because its restart is not noticed.
func TestRestartIsNoticed(t *testing.T) {
	g := NewWithT(t)
	a, b := start(t, "a", "x"), start(t, "b", "x")
	a.AddHosts([]Host{b.self})
	g.Eventually(a.LiveCount).WithTimeout(2 * time.Second).Should(Equal(2))
	b.stop()
	again := startAt(t, b.self, "2")
	again.AddHosts([]Host{a.self})
	g.Eventually(func() (gone []model.HostID) {
		a.with(func() { gone = append(gone, a.recorder.gone...) })
		return gone
	}).WithTimeout(3 * time.Second).Should(ContainElement(model.HostID("b")))
}

// Guards against digests that reach only one daemon of a data centre.
func TestDigestsSpread(t *testing.T) {
	g := NewWithT(t)
	a, b, c, d := start(t, "a", "x"), start(t, "b", "y"), start(t, "c", "y"), start(t, "d", "y")
	hosts := []Host{a.self, b.self, c.self, d.self}
	a.localLoads = []*gen.ServerLoad{{Server: 5, Outstanding: 1, Failing: 900}}
	for _, n := range []*node{a, b, c, d} {
		n.AddHosts(hosts)
	}
	for _, n := range []*node{b, c, d} {
		g.Eventually(func() (count int) {
			n.with(func() { count = len(n.remoteLoads) })
			return count
		}).WithTimeout(3 * time.Second).Should(BeNumerically(">", 0))
	}
}
