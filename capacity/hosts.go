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
	lightDataCentres = 4
	lightRegions     = 2
	lightRelays      = 2
	lightPeers       = 3
	// hostChanges is the number of changes that are counted for each size.
	hostChanges = 10
	// hostGap is the time between changes while messages are counted.
	hostGap = 200 * time.Millisecond
	// rateWindow is how long store calls are counted for each change rate: the
	// platform's limit for a watch, so that each waiting watch counts once.
	rateWindow = 30 * time.Second
	// confirmTime passes before calls are counted: at its start every host
	// reads the head once.
	confirmTime = 3 * time.Second
	// targetChanges is the number of changes a day at the target.
	targetChanges = 9_600
	daySeconds    = 86_400
)

// lightHost is a follower with counted calls to its peers, in this process.
// Peers and relays are fixed: three neighbours in its data centre, and the
// relays of the other data centres for a relay.
type lightHost struct {
	*configstore.Follower
	holder snapshot.Holder
	id     model.HostID
	dc     int
	relay  bool
	peers  []*lightHost
}

type lightFleet struct {
	fixture *fixture
	hosts   []*lightHost
	// counts of all hosts together
	notices, messages, bytes, regionBytes atomic.Int64
	stop                                  context.CancelFunc
	done                                  sync.WaitGroup
}

// countedSource counts the calls of one host to another.
type countedSource struct {
	fleet    *lightFleet
	from, to *lightHost
}

func (s countedSource) count(data []byte) {
	s.fleet.messages.Add(2)
	s.fleet.bytes.Add(int64(len(data)))
	if s.from.dc%lightRegions != s.to.dc%lightRegions {
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

func newLightFleet(n int) (*lightFleet, error) {
	f, err := newFixture(Sizes{Services: 10, Servers: 320, Routes: 100, Workspaces: 100})
	if err != nil {
		return nil, err
	}
	l := &lightFleet{fixture: f}
	for i := range n {
		l.hosts = append(l.hosts, &lightHost{id: model.HostID(fmt.Sprint("host-", i)), dc: i % lightDataCentres, relay: i < lightRelays*lightDataCentres})
	}
	for i, h := range l.hosts {
		l.connect(i, h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	for _, h := range l.hosts {
		l.done.Go(func() { _ = kernel.RunTasks(ctx, h.Tasks()...) })
	}
	return l, l.await()
}

func (l *lightFleet) connect(i int, h *lightHost) {
	for d := 1; d <= lightPeers; d++ {
		if p := l.hosts[(i+d*lightDataCentres)%len(l.hosts)]; p != h && p.dc == h.dc {
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
		Peers:   func() []configstore.Peer { return l.configPeers(h) },
		OnEpoch: func(a configstore.AppliedEpoch) { l.notify(h, a.Snapshot.Epoch) },
	})
}

func (l *lightFleet) configPeers(h *lightHost) []configstore.Peer {
	peers := make([]configstore.Peer, len(h.peers))
	for i, p := range h.peers {
		peers[i] = l.peer(h, p)
	}
	return peers
}

func (l *lightFleet) peer(from, to *lightHost) configstore.Peer {
	return configstore.Peer{ID: to.id, Local: from.dc == to.dc, Source: countedSource{l, from, to}}
}

// notify sends epoch notices, as a host does when an epoch comes into force.
func (l *lightFleet) notify(h *lightHost, e model.Epoch) {
	for _, p := range h.peers {
		l.notices.Add(1)
		go p.ObserveEpoch(l.peer(p, h), e)
	}
}

// await waits until all hosts run the newest epoch.
func (l *lightFleet) await() error {
	deadline := time.Now().Add(rateWindow)
	for _, h := range l.hosts {
		for h.holder.Epoch() < l.fixture.epoch {
			if time.Now().After(deadline) {
				return &NotInForceError{Epoch: l.fixture.epoch, Have: h.holder.Epoch()}
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

func (l *lightFleet) close() {
	l.stop()
	l.done.Wait()
}

// measureHosts counts messages, bytes and store calls against the number of
// hosts and against the rate of changes.
func measureHosts() ([]Fit, error) {
	notices := Fit{Name: "hosts.notices", Per: "host", Unit: "notices/change", Mechanism: "epoch notices to the heartbeat peers (here 3, and the other data centres' relays for a relay)"}
	messages := Fit{Name: "hosts.messages", Per: "host", Unit: "messages/change", Mechanism: "configstore Follower pull: head call and answer"}
	bytes := Fit{Name: "hosts.bytes", Per: "host", Unit: "bytes/change", Mechanism: "configstore Follower pull: the head, without the encoding of the call"}
	region := Fit{Name: "hosts.region", Per: "host", Unit: "bytes/change", Mechanism: "configstore Follower pull between regions"}
	calls := Fit{Name: "hosts.calls", Per: "host", Unit: "store calls/change", Mechanism: "two relays' watches in each of 4 data centres, and the writer"}
	for _, n := range []int{10, 50, 200} {
		p, err := hostCosts(n)
		if err != nil {
			return nil, err
		}
		for i, f := range []*Fit{&notices, &messages, &bytes, &region, &calls} {
			f.Points = append(f.Points, Point{float64(n), p[i]})
		}
	}
	rates, err := rateCosts()
	return []Fit{notices, messages, bytes, region, calls, rates}, err
}

// hostCosts returns notices, messages, bytes, bytes between regions and store
// calls for each change.
func hostCosts(n int) ([5]float64, error) {
	var p [5]float64
	l, err := newLightFleet(n)
	if err != nil {
		return p, err
	}
	defer l.close()
	time.Sleep(hostGap)
	start := l.counts()
	for i := range hostChanges {
		if err := l.fixture.apply(l.fixture.change(i)); err != nil {
			return p, err
		}
		if err := l.await(); err != nil {
			return p, err
		}
		time.Sleep(hostGap)
	}
	end := l.counts()
	for i := range p {
		p[i] = float64(end[i]-start[i]) / hostChanges
	}
	return p, nil
}

func (l *lightFleet) counts() [5]int64 {
	return [5]int64{l.notices.Load(), l.messages.Load(), l.bytes.Load(), l.regionBytes.Load(), l.fixture.platform.Calls().Total()}
}

// rateCosts counts store calls a second at one, three and ten times the
// target's rate of changes, with 50 hosts of which 8 are relays.
func rateCosts() (Fit, error) {
	f := Fit{Name: "rate.calls", Per: "change/s", Unit: "store calls/s", Mechanism: "8 relays' watches, each counted once when it ends, and the writer"}
	for _, factor := range []float64{1, 3, 10} {
		rate := factor * targetChanges / daySeconds
		l, err := newLightFleet(50)
		if err != nil {
			return f, err
		}
		calls, err := l.callsAt(rate)
		l.close()
		if err != nil {
			return f, err
		}
		f.Points = append(f.Points, Point{rate, calls})
	}
	return f, nil
}

func (l *lightFleet) callsAt(rate float64) (float64, error) {
	time.Sleep(confirmTime)
	before, start := l.fixture.platform.Calls().Total(), time.Now()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for i := 0; time.Since(start) < rateWindow; i++ {
		if err := l.fixture.apply(l.fixture.change(i)); err != nil {
			return 0, err
		}
		<-ticker.C
	}
	return float64(l.fixture.platform.Calls().Total()-before) / time.Since(start).Seconds(), l.await()
}
