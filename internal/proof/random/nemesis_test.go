package random

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/standin/backend"
	"github.com/agateusher/agateusher/standin/relay"
)

const (
	// maxBadServers leaves healthy servers that every owner reaches.
	maxBadServers = 3
	// maxBadHosts leaves one of the three hosts that an entry passes a lookup to.
	maxBadHosts = 2
	minFault    = 50 * time.Millisecond
	maxFault    = 800 * time.Millisecond
	// maxCalm is the longest time between two faults of one kind of victim.
	maxCalm    = 150 * time.Millisecond
	stopNotice = 100 * time.Millisecond
	// maxDown is how long a stopped or killed host stays down.
	maxDown = 400 * time.Millisecond
)

// nemesis injects faults at random until its context ends. At any time at most
// maxBadServers servers and maxBadHosts hosts are affected.
type nemesis struct {
	fleet  *testFleet
	random *rand.Rand

	mu     sync.Mutex
	counts map[string]int
	errs   []error
}

func newNemesis(f *testFleet, seed uint64) *nemesis {
	return &nemesis{fleet: f, random: rand.New(rand.NewPCG(seed, 77)), counts: map[string]int{}}
}

func (n *nemesis) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range maxBadServers {
		random := rand.New(rand.NewPCG(n.random.Uint64(), uint64(i)))
		wg.Go(func() { n.loop(ctx, random, func() { n.disturbServer(ctx, random, i) }) })
	}
	for i := range maxBadHosts {
		random := rand.New(rand.NewPCG(n.random.Uint64(), uint64(maxBadServers+i)))
		wg.Go(func() { n.loop(ctx, random, func() { n.disturbHost(ctx, random, i) }) })
	}
	wg.Wait()
	n.heal()
}

func (n *nemesis) loop(ctx context.Context, random *rand.Rand, disturb func()) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(random.Int64N(int64(maxCalm))))
		disturb()
	}
}

func (n *nemesis) note(kind string, errs ...error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts[kind]++
	for _, err := range errs {
		if err != nil {
			n.errs = append(n.errs, err)
		}
	}
}

// duration draws how long a fault lasts. One in five outlasts the deadline of
// the requests that it holds back, which are then delivered late.
func (n *nemesis) duration(random *rand.Rand) time.Duration {
	if random.IntN(5) == 0 {
		return deadline + time.Duration(random.Int64N(int64(maxFault)))
	}
	return minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
}

// heal ends all faults.
func (n *nemesis) heal() {
	for _, h := range n.fleet.hosts {
		for _, r := range h.relays() {
			n.set(r, relay.Faults{})
		}
		if h.current() == nil {
			h.start()
		}
	}
	for _, l := range n.fleet.backends.Listings() {
		_ = n.fleet.backends.Server(l.ID).SetFaults(backend.Faults{})
	}
}

func (n *nemesis) set(r *relay.Relay, f relay.Faults) {
	if err := r.SetFaults(f); err != nil {
		n.note("relay", err)
	}
}

// serverFaults are the faults that a stand-in server can have.
var serverFaults = map[string]backend.Faults{
	"stall":         {Stall: true},
	"stall-control": {Stall: true, StallControl: true},
	"reset-before":  {ResetRate: 0.5, ResetPoint: backend.ResetBefore},
	"reset-within":  {ResetRate: 0.5, ResetPoint: backend.ResetWithin},
	"reset-after":   {ResetRate: 0.5, ResetPoint: backend.ResetAfter},
	"truncate":      {TruncateRate: 0.5},
	"late":          {LateRate: 0.3, LateMs: 300},
	"shed":          {ShedRate: 0.5},
	"shed-all":      {ShedRate: 1},
	"error":         {ErrorRate: 0.5},
	"slow":          {LatencyFactor: 20},
}

var serverFaultNames = []string{"stall", "stall-control", "reset-before", "reset-within", "reset-after", "truncate", "late", "shed", "shed-all", "error", "slow"}

// disturbServer disturbs one of the servers that belong to this slot, at the
// server or on the links of all owners to it.
func (n *nemesis) disturbServer(ctx context.Context, random *rand.Rand, slot int) {
	id := model.ServerID(fmt.Sprintf("booking-%d", slot+maxBadServers*random.IntN(2)))
	if random.IntN(2) == 0 {
		name := serverFaultNames[random.IntN(len(serverFaultNames))]
		n.note("server "+name, n.fleet.backends.Server(id).SetFaults(serverFaults[name]))
		pause(ctx, n.duration(random))
		n.note("healed", n.fleet.backends.Server(id).SetFaults(backend.Faults{}))
		return
	}
	name, f := linkFault(random)
	n.note("server link " + name)
	for _, h := range n.fleet.hosts {
		n.set(h.links[id], f)
	}
	pause(ctx, n.duration(random))
	for _, h := range n.fleet.hosts {
		n.set(h.links[id], relay.Faults{})
	}
}

// linkFault draws the faults of a link.
func linkFault(random *rand.Rand) (string, relay.Faults) {
	switch random.IntN(6) {
	case 0:
		return "silent to server", relay.Faults{Silent: [2]bool{relay.ToServer: true}}
	case 1:
		return "silent to client", relay.Faults{Silent: [2]bool{relay.ToClient: true}}
	case 2:
		return "refuse", relay.Faults{Refuse: true}
	case 3:
		return "delay", relay.Faults{Delay: time.Duration(random.IntN(30)) * time.Millisecond}
	case 4:
		return "cut", relay.Faults{CutRate: 0.3}
	}
	return "reset", relay.Faults{CutRate: 0.3, Reset: true}
}

// disturbHost kills, stops or isolates one of the hosts of this slot.
func (n *nemesis) disturbHost(ctx context.Context, random *rand.Rand, slot int) {
	h := n.fleet.hosts[slot+maxBadHosts*random.IntN(len(n.fleet.hosts)/maxBadHosts)]
	if ranked := n.fleet.members.ranked(thePool, 1); len(ranked) > 0 && random.IntN(2) == 0 && n.inSlot(ranked[0], slot) {
		h = n.fleet.host(ranked[0])
	}
	switch random.IntN(4) {
	case 0:
		n.note("kill")
		h.kill()
		pause(ctx, time.Duration(random.Int64N(int64(maxDown))))
		h.start()
	case 1:
		n.note("planned stop", h.stop(stopNotice))
		pause(ctx, time.Duration(random.Int64N(int64(maxDown))))
		h.start()
	default:
		n.disturbLinks(ctx, random, h)
	}
}

// inSlot reports whether a host belongs to a slot of disturbHost.
func (n *nemesis) inSlot(id model.HostID, slot int) bool {
	for i, h := range n.fleet.hosts {
		if h.id == id {
			return i%maxBadHosts == slot
		}
	}
	return false
}

// disturbLinks disturbs the links of one or all entries to a host.
func (n *nemesis) disturbLinks(ctx context.Context, random *rand.Rand, h *host) {
	name, f := linkFault(random)
	n.note("owner link " + name)
	one := random.IntN(2) == 0
	var list []*relay.Relay
	for _, other := range n.fleet.hosts {
		if r := other.peers[h.id]; r != nil && !(one && len(list) > 0) {
			list = append(list, r)
		}
	}
	for _, r := range list {
		n.set(r, f)
	}
	pause(ctx, n.duration(random))
	for _, r := range list {
		n.set(r, relay.Faults{})
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
