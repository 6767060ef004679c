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
	// maxFaultyServers leaves healthy servers that every owner can reach.
	maxFaultyServers = 3
	// maxFaultyHosts leaves a healthy one among the three hosts to which an entry
	// forwards a lookup.
	maxFaultyHosts   = 2
	minFaultDuration = 50 * time.Millisecond
	maxFaultDuration = 800 * time.Millisecond
	// maxFaultInterval is the longest time between two faults in one slot.
	maxFaultInterval = 150 * time.Millisecond
	stopNotice       = 100 * time.Millisecond
	// maxDowntime is how long a stopped or killed host stays down.
	maxDowntime = 400 * time.Millisecond
)

// faultInjector injects random faults until its context is cancelled. At any
// time at most maxFaultyServers servers and maxFaultyHosts hosts are affected,
// because each fault loop has a slot with hosts or servers of its own.
type faultInjector struct {
	fleet  *testFleet
	random *rand.Rand

	mu     sync.Mutex
	counts map[string]int
	errs   []error
}

func newFaultInjector(f *testFleet, seed uint64) *faultInjector {
	return &faultInjector{fleet: f, random: rand.New(rand.NewPCG(seed, 77)), counts: map[string]int{}}
}

func (n *faultInjector) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range maxFaultyServers {
		random := rand.New(rand.NewPCG(n.random.Uint64(), uint64(i)))
		wg.Go(func() { n.loop(ctx, random, func() { n.injectServerFault(ctx, random, i) }) })
	}
	for i := range maxFaultyHosts {
		random := rand.New(rand.NewPCG(n.random.Uint64(), uint64(maxFaultyServers+i)))
		wg.Go(func() { n.loop(ctx, random, func() { n.injectHostFault(ctx, random, i) }) })
	}
	wg.Wait()
	n.clearFaults()
}

func (n *faultInjector) loop(ctx context.Context, random *rand.Rand, inject func()) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(random.Int64N(int64(maxFaultInterval))))
		inject()
	}
}

func (n *faultInjector) record(kind string, errs ...error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts[kind]++
	for _, err := range errs {
		if err != nil {
			n.errs = append(n.errs, err)
		}
	}
}

// faultDuration draws the duration of a fault. One in five lasts longer than the
// deadline, so that delayed requests are delivered after their deadline.
func (n *faultInjector) faultDuration(random *rand.Rand) time.Duration {
	if random.IntN(5) == 0 {
		return deadline + time.Duration(random.Int64N(int64(maxFaultDuration)))
	}
	return minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

// clearFaults ends all faults and starts the hosts that are down.
func (n *faultInjector) clearFaults() {
	for _, h := range n.fleet.hosts {
		for _, r := range h.relays() {
			n.setRelayFaults(r, relay.Faults{})
		}
		if h.current() == nil {
			h.start()
		}
	}
	for _, l := range n.fleet.backends.Listings() {
		_ = n.fleet.backends.Server(l.ID).SetFaults(backend.Faults{})
	}
}

func (n *faultInjector) setRelayFaults(r *relay.Relay, f relay.Faults) {
	if err := r.SetFaults(f); err != nil {
		n.record("relay", err)
	}
}

// serverFaults are the faults to inject at a stand-in server, by name.
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

// injectServerFault injects a fault at one of the slot's servers or on the links
// from all owners to it.
func (n *faultInjector) injectServerFault(ctx context.Context, random *rand.Rand, slot int) {
	id := model.ServerID(fmt.Sprintf("booking-%d", slot+maxFaultyServers*random.IntN(2)))
	if random.IntN(2) == 0 {
		name := serverFaultNames[random.IntN(len(serverFaultNames))]
		n.record("server "+name, n.fleet.backends.Server(id).SetFaults(serverFaults[name]))
		pause(ctx, n.faultDuration(random))
		n.record("healed", n.fleet.backends.Server(id).SetFaults(backend.Faults{}))
		return
	}
	name, f := linkFault(random)
	n.record("server link " + name)
	for _, h := range n.fleet.hosts {
		n.setRelayFaults(h.serverRelays[id], f)
	}
	pause(ctx, n.faultDuration(random))
	for _, h := range n.fleet.hosts {
		n.setRelayFaults(h.serverRelays[id], relay.Faults{})
	}
}

// linkFault draws a link fault and returns its name with it.
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

// injectHostFault kills or stops one of the slot's hosts, or injects a fault on
// the links to it. Half of the time it prefers the pool's owner, if that belongs
// to the slot.
func (n *faultInjector) injectHostFault(ctx context.Context, random *rand.Rand, slot int) {
	h := n.fleet.hosts[slot+maxFaultyHosts*random.IntN(len(n.fleet.hosts)/maxFaultyHosts)]
	if ranked := n.fleet.members.ranked(testPool, 1); len(ranked) > 0 && random.IntN(2) == 0 && n.inSlot(ranked[0], slot) {
		h = n.fleet.host(ranked[0])
	}
	switch random.IntN(4) {
	case 0:
		n.record("kill")
		h.kill()
		pause(ctx, time.Duration(random.Int64N(int64(maxDowntime))))
		h.start()
	case 1:
		n.record("planned stop", h.stop(stopNotice))
		pause(ctx, time.Duration(random.Int64N(int64(maxDowntime))))
		h.start()
	default:
		n.injectHostLinkFault(ctx, random, h)
	}
}

// inSlot reports whether a host belongs to a slot of disturbHost.
func (n *faultInjector) inSlot(id model.HostID, slot int) bool {
	for i, h := range n.fleet.hosts {
		if h.id == id {
			return i%maxFaultyHosts == slot
		}
	}
	return false
}

// injectHostLinkFault injects a fault on the links from one or all entries to a
// host.
func (n *faultInjector) injectHostLinkFault(ctx context.Context, random *rand.Rand, h *host) {
	name, f := linkFault(random)
	n.record("owner link " + name)
	one := random.IntN(2) == 0
	var list []*relay.Relay
	for _, other := range n.fleet.hosts {
		if r := other.peerRelays[h.id]; r != nil && !(one && len(list) > 0) {
			list = append(list, r)
		}
	}
	for _, r := range list {
		n.setRelayFaults(r, f)
	}
	pause(ctx, n.faultDuration(random))
	for _, r := range list {
		n.setRelayFaults(r, relay.Faults{})
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
