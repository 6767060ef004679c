package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/agateusher/agateusher/catalog"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/workspace"
	"github.com/agateusher/agateusher/gossip"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// maxTombstones is the number of revoked keys that a process remembers. They take
	// about 1 MB.
	maxTombstones = 8192
	// trustPollInterval is the interval at which requests that wait for a confirmation
	// of the configuration check for it.
	trustPollInterval = 5 * time.Millisecond
	// peersAsked is the number of other daemons that are asked for a confirmation after
	// a freeze.
	peersAsked = 3
	// storeAskDelay is how long they have to reply before the store is asked, whose
	// calls are charged for. storeAskTimeout bounds such a call, and storeAskPause is
	// the pause after one that failed.
	storeAskDelay   = 100 * time.Millisecond
	storeAskTimeout = 400 * time.Millisecond
	storeAskPause   = 200 * time.Millisecond
	// askDuration is how long the store is asked. After that the follower goes on alone.
	askDuration = 1500 * time.Millisecond
)

// keyState is what a daemon knows about keys beyond the configuration in force. It is
// safe for concurrent use.
type keyState struct {
	// clock also runs while the host is suspended.
	clock func() time.Duration

	mu         sync.Mutex
	limits     workspace.RevocationLimits
	guard      *workspace.Guard
	tombstones *workspace.Tombstones
	usage      *workspace.Usage
	// refusing is set while requests that need a key are refused.
	refusing bool
}

func newKeyState(r RevocationSettings) *keyState {
	k := &keyState{clock: readClock(unix.CLOCK_BOOTTIME), tombstones: workspace.NewTombstones(maxTombstones), usage: workspace.NewUsage(maxNamedWorkspaces)}
	k.guard = workspace.NewGuard(workspace.RevocationLimits{}, k.clock())
	k.configure(r)
	return k
}

// configure applies settings.
func (k *keyState) configure(r RevocationSettings) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limits = workspace.RevocationLimits{Within: r.Within.Std(), FailClosed: r.FailClosed}
	k.guard.SetLimits(k.limits)
}

// revocationBound returns the time in which a revoked key must stop working; zero if the
// deployment has no workspaces.
func (k *keyState) revocationBound() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limits.Within
}

// replaceTable remembers the keys that a new configuration does not have any more. It is
// called before that configuration is in force, so that no request finds a key in
// neither.
func (k *keyState) replaceTable(before, after *catalog.View) {
	if before == nil || before.Workspaces == nil || after.Workspaces == before.Workspaces {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tombstones.Add(before.Workspaces, after.Workspaces)
}

func (k *keyState) revoked(d workspace.Digest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tombstones.Has(d)
}

func (k *keyState) observe() (woke bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.guard.Observe(k.clock())
}

func (k *keyState) trust(age time.Duration) workspace.Trust {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.guard.Trust(k.clock(), age)
}

func (k *keyState) confirmed(age time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.guard.Confirmed(k.clock(), age)
}

func (k *keyState) confirm(asked time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.guard.Confirm(asked)
}

// configAge returns the time since the store confirmed the configuration. After a freeze
// it is not known until a question has been answered.
func (n *Node) configAge() time.Duration {
	age, _ := n.cache.Ages(time.Now())
	return age
}

// exportedAge returns an age of this daemon's content as told to other daemons: after a
// freeze the content counts as unconfirmed until a question has been answered.
func (n *Node) exportedAge(age time.Duration) time.Duration {
	n.observeFreeze()
	if !n.keys.confirmed(n.configAge()) {
		return max(age, catalog.UnconfirmedAge)
	}
	return age
}

// observeFreeze notices that this process did not run for a while, and asks for a
// confirmation of the configuration.
func (n *Node) observeFreeze() {
	if !n.keys.observe() {
		return
	}
	if v := n.view.Load(); v == nil || v.Config == nil || !n.keysRequired(v) {
		n.keys.confirm(n.keys.clock())
		return
	}
	// An earlier freeze may still be asked about. Its answers do not count any more, and
	// asking ends soon.
	go n.contain("confirm-configuration", n.askForConfirmation)
}

// awaitTrust reports whether keys are accepted by the configuration in force. Just after
// a freeze it waits for a confirmation, at most until the deadline.
func (n *Node) awaitTrust(ctx context.Context, deadline time.Time) bool {
	n.observeFreeze()
	for {
		switch trust := n.keys.trust(n.configAge()); {
		case trust == workspace.Trusted && n.view.Load().Epoch() >= n.cache.Versions().Epoch:
			// Otherwise a newer configuration was confirmed, and is about to be in force.
			return true
		case trust == workspace.Untrusted || time.Until(deadline) < trustPollInterval || ctx.Err() != nil:
			return false
		}
		time.Sleep(trustPollInterval)
	}
}

// askForConfirmation asks other daemons, and then the store, for a newer configuration.
func (n *Node) askForConfirmation() {
	began := time.Now()
	n.log.WithFields(telemetry.Fields{"event": "process_frozen"}).Warn("this process did not run for a while; its configuration has to be confirmed before keys are accepted")
	for _, h := range n.peersToAsk() {
		go n.contain("ask-peer", func() { n.askPeer(h.Address) })
	}
	time.Sleep(storeAskDelay)
	for !n.keys.confirmed(n.configAge()) && time.Since(began) < askDuration {
		ctx, cancel := context.WithTimeout(context.Background(), storeAskTimeout)
		asked := n.keys.clock()
		err := n.follower.AskConfig(ctx)
		cancel()
		if err != nil {
			time.Sleep(storeAskPause)
			continue
		}
		n.keys.confirm(asked) // without effect if the process was frozen again since
	}
}

// peersToAsk returns a few other daemons, those of this data centre first.
func (n *Node) peersToAsk() (peers []gossip.Host) {
	hosts := n.gossiper.Hosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, local := range []bool{true, false} {
		for _, h := range hosts {
			if h.ID != n.settings.Host.ID && local == (h.DataCentre == n.settings.Host.DataCentre) && len(peers) < peersAsked {
				peers = append(peers, h)
			}
		}
	}
	return peers
}

// askPeer fetches the content that another daemon has in addition. If the store confirmed
// it to that daemon a moment ago, it confirms this daemon's configuration.
func (n *Node) askPeer(address string) {
	asked, startedAt := n.keys.clock(), time.Now()
	has := n.cache.Versions()
	snapshot, err := n.puller.get(context.Background(), address, has, true)
	if err != nil {
		// Others are asked at the same time, and the store after them.
		n.puller.recordFailure(address, err)
		return
	}
	n.dropUndecoded(&snapshot)
	n.cache.Merge(startedAt, snapshot)
	merged := n.cache.Versions().Epoch >= snapshot.Epoch
	if merged && snapshot.Epoch >= has.Epoch && snapshot.Epoch != 0 && snapshot.ConfigAge <= maxFirstContentAge {
		n.keys.confirm(asked)
	}
}

// dropUndecoded removes a configuration from the content of another daemon if that
// daemon's version of the program does not read workspaces: by it all routes would be
// open.
func (n *Node) dropUndecoded(s *catalog.Snapshot) {
	if s.Config != nil && s.Config.KeyPolicy == workspace.KeysUndecoded && n.keys.revocationBound() > 0 {
		s.Config, s.Epoch = nil, 0
	}
}

// tickKeys notices freezes, and logs when requests that need a key begin or cease to be
// refused.
func (n *Node) tickKeys() {
	n.observeFreeze()
	v := n.view.Load()
	if v == nil || v.Config == nil {
		return
	}
	age := n.configAge()
	refusing := n.keysRequired(v) && n.keys.trust(age) == workspace.Untrusted
	n.keys.mu.Lock()
	changed := refusing != n.keys.refusing
	n.keys.refusing = refusing
	n.keys.mu.Unlock()
	if !changed {
		return
	}
	event := "keys_accepted"
	if refusing {
		event = "keys_refused"
	}
	n.log.WithFields(telemetry.Fields{"event": event, "age": age.Round(time.Millisecond)}).Warn("requests that need a key began or ceased to be refused, because the store does not confirm the configuration")
}

// recordUsage counts a request of a workspace.
func (k *keyState) recordUsage(name model.WorkspaceID, r workspace.Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.usage.Record(name, r)
}
