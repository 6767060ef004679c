package edge

import (
	"context"
	"time"

	"github.com/agateusher/agateusher/core/ranking"
	"github.com/agateusher/agateusher/gossip"
	"github.com/agateusher/agateusher/telemetry"
)

// registryRetryInterval is the interval between retries of a failed registration. It
// also bounds one read of the registry.
const registryRetryInterval = time.Second

// initialHostPolls are the intervals between the first reads of the registry, after the
// start and after the store came back from an older copy. They are short because hosts that
// register at the same time may miss each other in the first read.
var initialHostPolls = []time.Duration{time.Second, 3 * time.Second, 6 * time.Second}

const (
	// hostPollInterval is the interval between later reads. It may be long because a new
	// host also announces itself by its heartbeats.
	hostPollInterval = 15 * time.Second
	// registrationSpread is the time over which the hosts of a fleet check and repeat their
	// registrations after the store came back from an older copy: the store bounds the rate
	// of writes. relayHeadStart is for the relay, which reads the registry for the others.
	registrationSpread = 3 * time.Second
	relayHeadStart     = 500 * time.Millisecond
	// staleReadAge is how old a list of hosts may be that the store returns: an entry that
	// is younger may be missing in it.
	staleReadAge = 5 * time.Second
	// maxUnverified is how often the relay is asked for a list of the present era before
	// this daemon reads the registry by itself. A relay of an older version sends none.
	maxUnverified = 5
)

// registrar keeps this daemon's entry in the registry, as long as it runs, and the list of
// the other hosts up to date. Only its goroutine uses it.
type registrar struct {
	node *Node
	// registered is set while this daemon has an entry, as far as it knows, and
	// registeredAt is when it wrote the entry in the present era; zero if it did not.
	registered   bool
	registeredAt time.Time
	// unverified is set from a change of era until a list of the new one was read, and
	// unanswered counts the lists of the relay that were of an earlier era.
	unverified bool
	unanswered int
	// hostsKnown is set once the hosts are known from a seed or from the registry.
	hostsKnown bool
}

// runRegistration registers this daemon, unless it is in the registry from an earlier
// start, and from then on checks that it is: the store may come back from a copy without
// the entry. A daemon that was not registered reads the registry a second time, because
// others may have registered at the same time.
func (n *Node) runRegistration(ctx context.Context) error {
	r := &registrar{node: n}
	r.setRegistered(r.askSeeds(ctx))
	if !r.registered {
		p, _ := r.readRegistry(ctx)
		r.setRegistered(p == entryPresent)
	}
	r.hostsKnown = r.registered
	for polls := 0; ctx.Err() == nil; {
		if !r.registered {
			r.register(ctx)
		}
		eraChanged, ok := r.await(ctx, polls)
		switch {
		case !ok:
			return nil
		case eraChanged:
			polls = 0
		}
		if r.check(ctx) {
			polls++
		}
	}
	return nil
}

// await waits for the next check. It ends early, and returns true, if the store came back
// from an older copy; ok is false at the end of the daemon.
func (r *registrar) await(ctx context.Context, polls int) (eraChanged, ok bool) {
	pause := hostPollInterval
	if polls < len(initialHostPolls) {
		pause = initialHostPolls[polls]
	}
	if !r.registered || r.unverified {
		pause = registryRetryInterval
	}
	select {
	case <-time.After(pause):
		return false, true
	case <-ctx.Done():
		return false, false
	case <-r.node.eraChanged:
	}
	r.registeredAt, r.unverified = time.Time{}, true
	return true, r.spread(ctx)
}

// spread waits for this daemon's part of registrationSpread, which is the same each time.
// The relay does not wait. It returns false at the end of the daemon.
func (r *registrar) spread(ctx context.Context) bool {
	if _, hasRelay := r.node.gossiper.LocalRelay(); !hasRelay {
		return true
	}
	const slots = 1000
	slot := ranking.Score("registration", r.node.settings.Host.ID) % slots
	select {
	case <-time.After(relayHeadStart + registrationSpread*time.Duration(slot)/slots):
		return true
	case <-ctx.Done():
		return false
	}
}

// register writes this daemon's entry. Until it has one, this daemon's share of the limits
// of workspaces is not counted by the others, so that it must not pass the share on.
func (r *registrar) register(ctx context.Context) {
	n := r.node
	if err := n.platform.Registry.Register(ctx, n.settings.localHost()); err != nil {
		n.log.WithField("event", "register_failed").WithError(err).Warn("cannot register this daemon; retrying")
		return
	}
	r.registeredAt = time.Now()
	r.setRegistered(true)
}

func (r *registrar) setRegistered(registered bool) {
	r.registered = registered
	r.node.quotas.setRegistered(registered)
}

// check gets a list of the hosts and checks that this daemon's entry is in it. It returns
// false if there is no list, or none of the present era yet.
func (r *registrar) check(ctx context.Context) bool {
	var p entryState
	ok := false
	if r.hostsKnown && r.unanswered < maxUnverified {
		p, ok = r.askRelay(ctx)
	}
	if !ok {
		p, ok = r.readRegistry(ctx)
		r.hostsKnown = r.hostsKnown || ok
	}
	if p == entryMissing && r.registered {
		r.node.log.WithFields(telemetry.Fields{"event": "registration_lost", "era": r.node.cache.Era()}).
			Warn("this daemon is not in the registry any more; registering again")
		r.setRegistered(false)
	}
	if p == entryPresent && !r.registered {
		r.setRegistered(true)
	}
	if r.unverified && p == entryUnknown {
		r.unanswered++
		return false
	}
	r.unverified, r.unanswered = false, 0
	return ok
}

const (
	// seedHostsTimeout bounds the request for the list of hosts to the seeds, before the
	// registry is read. Two round trips to another region take 120 ms.
	seedHostsTimeout = 300 * time.Millisecond
	// seedHostsRetries is how long seeds without a list are asked again, and
	// seedHostsPause the interval. After a restart of all hosts the seeds have read the
	// registry by then.
	seedHostsRetries = 80 * time.Millisecond
	seedHostsPause   = 40 * time.Millisecond
)

// askSeeds gets the list of hosts from a seed and reports whether the registry has this
// daemon. Then it started before, and need not read the registry, which is ten times as
// large as a seed's response.
func (r *registrar) askSeeds(ctx context.Context) bool {
	n := r.node
	seeds := *n.seeds.Load()
	if len(seeds) == 0 || n.settings.isSeed() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, seedHostsTimeout)
	defer cancel()
	first := int(ranking.Score("hosts", n.settings.Host.ID) % uint64(len(seeds)))
	for i, began := first, time.Now(); time.Since(began) < seedHostsRetries; i++ {
		// A list without this daemon is not used: it may lack the other new hosts too, and a
		// daemon that takes itself for the only one of its region reads the store at once.
		if sent, err := n.puller.hosts(ctx, seeds[i%len(seeds)]); err == nil && r.entryIn(sent.registry()) == entryPresent {
			n.learnHosts(sent)
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(seedHostsPause):
		}
	}
	return false
}

// askRelay gets the hosts from the relay of the data centre, so that only relays read the
// registry at intervals: it is large and often in another region. It reports false if
// this daemon is the relay or the relay does not respond.
func (r *registrar) askRelay(ctx context.Context) (entryState, bool) {
	n := r.node
	relay, ok := n.gossiper.LocalRelay()
	if !ok {
		return entryUnknown, false
	}
	list, err := n.puller.hosts(ctx, relay.Address)
	if err != nil {
		n.log.WithFields(telemetry.Fields{"event": "relay_unreachable", "peer": relay.ID}).WithError(err).Info("cannot get the hosts from the relay; reading the registry")
		return entryUnknown, false
	}
	return r.entryIn(n.learnHosts(list)), true
}

// readRegistry reads the hosts from the registry, or from the seeds while the store is
// unavailable. It reports true only in the first case.
func (r *registrar) readRegistry(ctx context.Context) (entryState, bool) {
	n := r.node
	ctx, cancel := context.WithTimeout(ctx, registryRetryInterval)
	defer cancel()
	began := time.Now()
	hosts, era, err := n.platform.Registry.Hosts(ctx)
	n.follower.ObserveStoreEra()
	if err == nil {
		n.gossiper.AddHosts(hosts)
		n.quotas.setFleet(hosts, era)
		list := newRegistryList(hosts, era, began)
		n.registry.Store(list)
		return r.entryIn(list), true
	}
	n.log.WithField("event", "registry_unreadable").WithError(err).Warn("cannot read the registry; asking the seeds")
	for _, seed := range *n.seeds.Load() {
		if seed == n.settings.Listeners.Admin {
			continue
		}
		list, err := n.puller.hosts(ctx, seed)
		if err != nil {
			n.log.WithFields(telemetry.Fields{"event": "seed_unreachable", "seed": seed}).WithError(err).Info("cannot get the hosts from a seed")
			continue
		}
		n.learnHosts(list)
	}
	return entryUnknown, false
}

// entryIn returns what a list of the registry says about this daemon's entry.
func (r *registrar) entryIn(list *registryList) entryState {
	switch {
	case list == nil || list.era < r.node.cache.Era():
		return entryUnknown
	case list.hosts[r.node.settings.Host.ID] == r.node.settings.localHost():
		return entryPresent
	case time.Since(list.readAt) > maxRegistryAge, list.readAt.Sub(r.registeredAt) < staleReadAge:
		return entryUnknown
	}
	return entryMissing
}

// learnHosts takes over the hosts that another daemon sent, and returns the list of the
// registry that was among them; nil if there was none.
func (n *Node) learnHosts(sent sentHosts) *registryList {
	hosts := make([]gossip.Host, len(sent.list))
	for i, h := range sent.list {
		hosts[i] = h.Host
	}
	n.gossiper.AddHosts(hosts)
	list := sent.registry()
	if own := n.registry.Load(); list != nil && (own == nil || own.era < list.era || (own.era == list.era && own.readAt.Before(list.readAt))) {
		n.registry.Store(list)
	}
	return list
}
