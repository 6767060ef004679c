package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/kernel"
)

const (
	smallFleetDataCentres         = 4
	smallFleetRegions             = 2
	smallFleetRelaysPerDataCentre = 2
	smallFleetPeersPerHost        = 3
	// countedChanges is the number of changes over which costs are averaged at
	// each size.
	countedChanges = 10
	// changeInterval is the pause after each change while messages are counted.
	changeInterval = 200 * time.Millisecond
	// callCountDuration is how long store calls are counted at each change rate.
	// It equals the platform's time limit for a watch, so that each pending watch
	// counts once.
	callCountDuration = 30 * time.Second
	// confirmDuration is the wait before calls are counted, because every host
	// reads the head once when it starts.
	confirmDuration = 3 * time.Second
	// targetChanges is the number of changes a day at the target.
	targetChanges = 9_600
	daySeconds    = 86_400
)

// followerHost is a configuration follower in this process whose calls to peers
// are counted. Relays and peers are fixed: a host's peers are three neighbours in its
// data centre and, for a relay, the relays of the other data centres.
type followerHost struct {
	*configstore.Follower
	holder snapshot.Holder
	id     model.HostID
	dc     int
	relay  bool
	peers  []*followerHost
}

// followerFleet is a fleet of followers without daemons or connections, which
// share one stand-in platform.
type followerFleet struct {
	fixture *fixture
	hosts   []*followerHost
	// Counts over all hosts.
	notices, messages, bytes, regionBytes atomic.Int64
	stop                                  context.CancelFunc
	done                                  sync.WaitGroup
}

// countedSource is a configstore.Source that counts the calls of one host to
// another.
type countedSource struct {
	fleet    *followerFleet
	from, to *followerHost
}

func (s countedSource) count(data []byte) {
	s.fleet.messages.Add(2)
	s.fleet.bytes.Add(int64(len(data)))
	if s.from.dc%smallFleetRegions != s.to.dc%smallFleetRegions {
		s.fleet.regionBytes.Add(int64(len(data)))
	}
}

// Status implements configstore.Source.
func (s countedSource) Status(ctx context.Context) (configstore.Status, error) {
	s.count(nil)
	return s.to.Status(ctx)
}

// Head implements configstore.Source.
func (s countedSource) Head(ctx context.Context) ([]byte, error) {
	data, err := s.to.Head(ctx)
	s.count(data)
	return data, err
}

// Chunk implements configstore.Source.
func (s countedSource) Chunk(ctx context.Context, name snapshot.ChunkName) ([]byte, error) {
	data, err := s.to.Chunk(ctx, name)
	s.count(data)
	return data, err
}

func newFollowerFleet(n int) (*followerFleet, error) {
	f, err := newFixture(Sizes{Services: 10, Servers: 320, Routes: 100, Workspaces: 100})
	if err != nil {
		return nil, err
	}
	l := &followerFleet{fixture: f}
	for i := range n {
		l.hosts = append(l.hosts, &followerHost{id: model.HostID(fmt.Sprint("host-", i)), dc: i % smallFleetDataCentres, relay: i < smallFleetRelaysPerDataCentre*smallFleetDataCentres})
	}
	for i, h := range l.hosts {
		l.connect(i, h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	for _, h := range l.hosts {
		l.done.Go(func() { _ = kernel.RunTasks(ctx, h.Tasks()...) })
	}
	return l, l.awaitEpoch()
}

func (l *followerFleet) connect(i int, h *followerHost) {
	for d := 1; d <= smallFleetPeersPerHost; d++ {
		if p := l.hosts[(i+d*smallFleetDataCentres)%len(l.hosts)]; p != h && p.dc == h.dc {
			h.peers = append(h.peers, p)
		}
	}
	for _, p := range l.hosts {
		if h.relay && p.relay && p.dc != h.dc {
			h.peers = append(h.peers, p)
		}
	}
	h.Follower = configstore.NewFollower(configstore.FollowerOptions{
		Store: configstore.NewStore(l.fixture.api), Holder: &h.holder, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		IsRelay: func() bool { return h.relay },
		Peers:   func() []configstore.Peer { return l.peersOf(h) },
		OnEpoch: func(a configstore.AppliedEpoch) { l.notify(h, a.Snapshot.Epoch) },
	})
}

func (l *followerFleet) peersOf(h *followerHost) []configstore.Peer {
	peers := make([]configstore.Peer, len(h.peers))
	for i, p := range h.peers {
		peers[i] = l.peer(h, p)
	}
	return peers
}

func (l *followerFleet) peer(from, to *followerHost) configstore.Peer {
	return configstore.Peer{ID: to.id, Local: from.dc == to.dc, Source: countedSource{l, from, to}}
}

// notify sends epoch notices to the peers, as a host does once it has applied an
// epoch.
func (l *followerFleet) notify(h *followerHost, e model.Epoch) {
	for _, p := range h.peers {
		l.notices.Add(1)
		go p.ObserveEpoch(l.peer(p, h), e)
	}
}

// awaitEpoch waits until all hosts run the newest epoch. Returns an
// *EpochNotAppliedError after callCountDuration.
func (l *followerFleet) awaitEpoch() error {
	deadline := time.Now().Add(callCountDuration)
	for _, h := range l.hosts {
		for h.holder.Epoch() < l.fixture.epoch {
			if time.Now().After(deadline) {
				return &EpochNotAppliedError{Epoch: l.fixture.epoch, Applied: h.holder.Epoch()}
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

func (l *followerFleet) close() {
	l.stop()
	l.done.Wait()
}

// measureHosts counts messages, bytes and store calls as functions of the number
// of hosts, and store calls as a function of the rate of changes.
func measureHosts() ([]Fit, error) {
	notices := Fit{Name: "hosts.notices", Per: "host", Unit: "notices/change", Mechanism: "epoch notices to the heartbeat peers (here 3, and the other data centres' relays for a relay)"}
	messages := Fit{Name: "hosts.messages", Per: "host", Unit: "messages/change", Mechanism: "configstore Follower pull: head call and answer"}
	bytes := Fit{Name: "hosts.bytes", Per: "host", Unit: "bytes/change", Mechanism: "configstore Follower pull: the head, without the encoding of the call"}
	region := Fit{Name: "hosts.region", Per: "host", Unit: "bytes/change", Mechanism: "configstore Follower pull between regions"}
	calls := Fit{Name: "hosts.calls", Per: "host", Unit: "store calls/change", Mechanism: "two relays' watches in each of 4 data centres, and the writer"}
	for _, n := range []int{10, 50, 200} {
		p, err := followerFleetCosts(n)
		if err != nil {
			return nil, err
		}
		for i, f := range []*Fit{&notices, &messages, &bytes, &region, &calls} {
			f.Points = append(f.Points, Point{float64(n), p[i]})
		}
	}
	rates, err := changeRateFit()
	return []Fit{notices, messages, bytes, region, calls, rates}, err
}

// followerFleetCosts returns the notices, messages, bytes, bytes between regions
// and store calls of a change in a fleet of n hosts.
func followerFleetCosts(n int) ([5]float64, error) {
	var p [5]float64
	l, err := newFollowerFleet(n)
	if err != nil {
		return p, err
	}
	defer l.close()
	time.Sleep(changeInterval)
	start := l.counts()
	for i := range countedChanges {
		if err := l.fixture.apply(l.fixture.change(i)); err != nil {
			return p, err
		}
		if err := l.awaitEpoch(); err != nil {
			return p, err
		}
		time.Sleep(changeInterval)
	}
	end := l.counts()
	for i := range p {
		p[i] = float64(end[i]-start[i]) / countedChanges
	}
	return p, nil
}

func (l *followerFleet) counts() [5]int64 {
	return [5]int64{l.notices.Load(), l.messages.Load(), l.bytes.Load(), l.regionBytes.Load(), l.fixture.platform.Calls().Total()}
}

// changeRateFit counts store calls a second at one, three and ten times the
// target's rate of changes, with 50 hosts of which 8 are relays.
func changeRateFit() (Fit, error) {
	f := Fit{Name: "rate.calls", Per: "change/s", Unit: "store calls/s", Mechanism: "8 relays' watches, each counted once when it ends, and the writer"}
	for _, factor := range []float64{1, 3, 10} {
		rate := factor * targetChanges / daySeconds
		l, err := newFollowerFleet(50)
		if err != nil {
			return f, err
		}
		calls, err := l.callsAtChangeRate(rate)
		l.close()
		if err != nil {
			return f, err
		}
		f.Points = append(f.Points, Point{rate, calls})
	}
	return f, nil
}

// callsAtChangeRate returns the store calls a second while rate changes a second
// are applied.
func (l *followerFleet) callsAtChangeRate(rate float64) (float64, error) {
	time.Sleep(confirmDuration)
	before, start := l.fixture.platform.Calls().Total(), time.Now()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for i := 0; time.Since(start) < callCountDuration; i++ {
		if err := l.fixture.apply(l.fixture.change(i)); err != nil {
			return 0, err
		}
		<-ticker.C
	}
	return float64(l.fixture.platform.Calls().Total()-before) / time.Since(start).Seconds(), l.awaitEpoch()
}
