package catalog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/fetch"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

const (
	// watchWait is how long a watch waits for a change. It bounds the delay of a change
	// if a watch waits on a connection that went silent while other calls succeed.
	watchWait = 1200 * time.Millisecond
	// failingHold is how long after a failed call another daemon is preferred as
	// the relay.
	failingHold = 3 * time.Second
	// batchDelay is the pause after a change of the servers, so that changes in
	// quick succession cost only one call.
	batchDelay = 200 * time.Millisecond
	// retryDelay is the pause after a failed call of the first daemon in rank of the
	// first data centre in order. It grows with rank and order: every call is charged
	// for, and it is enough for the region if one daemon finds that the store is back.
	retryDelay = 250 * time.Millisecond
	// backoffMin is the pause after the first failed call of any other daemon. It
	// doubles with each failure up to backoffMax. Every call is charged for, also
	// during an outage of the store, and it is enough for the data centre if one
	// daemon reaches the store.
	backoffMin = 1500 * time.Millisecond
	backoffMax = 6 * time.Second
	// pollDelay is the interval at which a daemon checks whether to call the
	// store.
	pollDelay = 50 * time.Millisecond
)

// Role is this daemon's part in following the store.
type Role struct {
	// Rank is this daemon's position among the live daemons of its data centre;
	// zero is the data centre's relay.
	Rank int
	// Order is the number of data centres of the region whose relays are preferred to
	// that of this daemon's own.
	Order int
	// Relay is set if this daemon follows the store for its whole region.
	Relay bool
	// First is set if this daemon is to become the relay by what it knows now. Unlike
	// with Relay, it may have been started a moment ago and not know the others.
	First bool
	// Listed is the number of daemons of the region that are listed and preferred to
	// this one; fetch.Unlisted if the hosts are not known. Known is for how long they are.
	Listed int
	Known  time.Duration
	// Alone is set if no other daemon of the region is known.
	Alone bool
	// PeerReading is set while another daemon of the region receives content from the
	// store, PeerContent while one of the data centre has content that is not old.
	PeerReading, PeerContent bool
}

// Follower keeps a Cache up to date from the store.
type Follower struct {
	cache  *Cache
	source Source
	role   func() Role
	log    telemetry.Logger
	loops  []*syncLoop

	// eraChanged is called when the store is found to have come back from an older copy.
	eraChanged func(learnedFrom string)
	// announce tells other daemons this one's state.
	announce func()
	started  time.Time
	// bootstrapDelay is this daemon's part in the spread of first reads.
	bootstrapDelay time.Duration

	mu sync.Mutex
	// demanded is set if a request waits for the first content.
	demanded bool
	// quietSince is when another daemon was last known to read or to have content; the
	// start if none ever was.
	quietSince time.Time
	// hasRead is set once a whole configuration was read from the store.
	hasRead bool
	// receivedAt is when bytes of the content last arrived from the store.
	receivedAt time.Time
	// failedAt is when a call of the store last failed; zero if one has succeeded
	// since.
	failedAt time.Time
	// pingedAt is when the last successful check of the store began.
	pingedAt time.Time
}

// NewFollower returns a Follower, which works while its tasks run. role returns this
// daemon's present role. bootstrapDelay is this daemon's part in the spread of first
// reads; see package fetch.
func NewFollower(cache *Cache, source Source, role func() Role, bootstrapDelay time.Duration, log telemetry.Logger) *Follower {
	now := time.Now()
	f := &Follower{cache: cache, source: source, role: role, announce: func() {}, started: now, quietSince: now, bootstrapDelay: bootstrapDelay, log: log, eraChanged: func(string) {}}
	f.loops = []*syncLoop{
		{follower: f, kind: "configuration", large: true, sync: f.syncConfig, confirm: f.cache.confirmConfig, age: func(now time.Time) time.Duration {
			a, _ := f.cache.Ages(now)
			return a
		}},
		{follower: f, kind: "servers", sync: f.syncServers, confirm: f.cache.confirmServers, age: func(now time.Time) time.Duration {
			_, a := f.cache.Ages(now)
			return a
		}},
	}
	return f
}

// Tasks returns the follower's long-running tasks.
func (f *Follower) Tasks() []kernel.Task {
	return []kernel.Task{
		{Name: "follow-configuration", Run: f.loops[0].run},
		{Name: "follow-servers", Run: f.loops[1].run},
		{Name: "check-store", Run: f.checkStore},
	}
}

// Demand records that a request waits for the first content.
func (f *Follower) Demand() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demanded = true
}

// MayStart reports whether this daemon, without content, may read it over the link
// between the regions.
func (f *Follower) MayStart() bool {
	r, now := f.role(), time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.PeerReading || r.PeerContent {
		f.quietSince = now
	}
	return fetch.MayStart(fetch.Situation{
		Waited: now.Sub(f.started), Delay: f.bootstrapDelay, Quiet: now.Sub(f.quietSince), Listed: r.Listed, Known: r.Known, Alone: r.Alone, Rank: r.Rank, Order: r.Order,
		First: r.First, Demanded: f.demanded, PeerReading: r.PeerReading, PeerContent: r.PeerContent,
	})
}

// HasRead reports whether this daemon has read a whole configuration from the store. An
// empty store does not count: all hosts may read it at the same time.
func (f *Follower) HasRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasRead
}

func (f *Follower) recordRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasRead = true
}

// StoreFailing reports whether calls of the store failed lately. Another daemon is
// preferred as the relay then.
func (f *Follower) StoreFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.failedAt.IsZero() && time.Since(f.failedAt) < failingHold
}

func (f *Follower) recordCall(failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedAt = time.Time{}
	if failed {
		f.failedAt = time.Now()
	}
}

func (l *syncLoop) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := pollDelay
		if l.due() {
			if !telemetry.Contain(l.follower.log, nil, l.kind, func() { pause = l.syncOnce(ctx) }) {
				pause = retryDelay
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return nil
}

// due reports whether this daemon has to call the store now.
func (l *syncLoop) due() bool {
	now := time.Now()
	if l.age(now) >= UnconfirmedAge {
		return l.follower.MayStart()
	}
	role := l.follower.role()
	l.logRoleChange(role.Relay)
	if role.Relay {
		return !l.large || fetch.MayWatch(l.age(now), role.PeerReading)
	}
	return fetch.MayRefresh(l.age(now), role.Rank, role.PeerReading)
}

// logRoleChange logs that this daemon has become the relay, or no longer is.
func (l *syncLoop) logRoleChange(isRelay bool) {
	if isRelay == l.isRelay {
		return
	}
	l.isRelay = isRelay
	event := "relay_lost"
	if isRelay {
		event = "relay_gained"
	}
	l.follower.log.WithFields(telemetry.Fields{"event": event, "kind": l.kind, "age": l.age(time.Now()).Round(time.Millisecond)}).Info("this daemon gained or lost the role of relay")
}

// syncOnce calls the store once and returns the pause before the next call.
func (l *syncLoop) syncOnce(ctx context.Context) (pause time.Duration) {
	err := l.sync(ctx, l)
	now := time.Now()
	if ctx.Err() == nil {
		l.follower.recordCall(err != nil && !l.recovers(err))
	}
	switch {
	case err == nil:
		if !l.failingSince.IsZero() {
			l.follower.log.WithFields(telemetry.Fields{"event": "store_regained", "kind": l.kind, "away": now.Sub(l.failingSince).Round(time.Millisecond)}).Info("the store responds again")
			l.failingSince = time.Time{}
			l.follower.announce()
		}
		l.fullRead, l.failures = false, 0
		return 0
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, errWatchLost):
		l.follower.log.WithFields(telemetry.Fields{"event": "watch_lost", "kind": l.kind}).WithError(err).Info("watching again on another connection")
		return 0
	case errors.Is(err, ErrEraChanged), errors.Is(err, errOldEra) && l.recovers(err):
		if l.fullRead {
			return retryDelay
		}
		l.fullRead = true
		return 0
	case errors.Is(err, ErrHistoryGone):
		l.follower.log.WithFields(telemetry.Fields{"event": "history_gone", "kind": l.kind}).Warn("the store no longer keeps this revision; reading the whole content")
		pause = 0
		if l.fullRead {
			pause = retryDelay
		}
		l.fullRead = true
		return pause
	}
	if l.failingSince.IsZero() {
		l.failingSince = now
		l.follower.log.WithFields(telemetry.Fields{"event": "store_lost", "kind": l.kind, "age": l.age(now).Round(time.Millisecond)}).WithError(err).Warn("the store cannot be read")
	}
	return l.backoff()
}

// recovers reports whether another call at once is expected to succeed after an error, so
// that the store does not count as failing.
func (l *syncLoop) recovers(err error) bool {
	return errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrEraChanged) || errors.Is(err, errWatchLost) || (errors.Is(err, errOldEra) && !l.fullRead)
}

// backoff returns the pause after a failed call.
func (l *syncLoop) backoff() time.Duration {
	role := l.follower.role()
	if role.Rank < relayCandidates {
		return retryDelay * time.Duration((1+role.Rank)*(1+role.Order))
	}
	l.failures++
	return min(backoffMax, backoffMin<<min(l.failures-1, 8))
}

// relayCandidates is the number of daemons, the first in rank, that do not back
// off while the store cannot be read.
const relayCandidates = 2

func (f *Follower) syncConfig(ctx context.Context, l *syncLoop) error {
	cursor := f.cache.cursorOfConfig()
	began := time.Now()
	if l.fullRead || cursor == 0 {
		ctx, end := l.startRead(ctx)
		c, r, err := f.source.Config(ctx)
		if err = f.checkEra(r, end(err)); err == nil {
			f.applyConfig(c, r, began)
			if c != nil {
				f.recordRead()
			}
		}
		return err
	}
	wait := f.watchDuration(l)
	ctx, end := l.startWatch(ctx, wait)
	c, r, err := f.source.WatchConfig(ctx, cursor, wait)
	if err = f.checkEra(r, end(err)); err == nil {
		f.applyConfig(c, r, time.Now())
	}
	return err
}

// watchDuration returns how long a watch waits for a change. If the content is
// stale, or this daemon is not the relay, the watch returns at once.
func (f *Follower) watchDuration(l *syncLoop) time.Duration {
	if fetch.Stale(l.age(time.Now())) || !f.role().Relay {
		return time.Millisecond
	}
	return watchWait
}

func (f *Follower) applyConfig(c *Config, cursor Revision, confirmedAt time.Time) {
	if f.cache.putConfig(c, cursor, confirmedAt) {
		f.log.WithFields(telemetry.Fields{"event": "config_applied", "epoch": c.Epoch, "routes": len(c.Routes), "from": "store"}).Info("configuration in force")
	}
}

func (f *Follower) syncServers(ctx context.Context, l *syncLoop) error {
	known, cursor := f.cache.snapshotServers()
	began := time.Now()
	if l.fullRead || cursor == 0 {
		ctx, end := l.startRead(ctx)
		servers, r, err := f.source.Servers(ctx)
		if err = f.checkEra(r, end(err)); err != nil {
			return err
		}
		f.logReread(r)
		f.cache.putServers(servers, r, r, began)
		return nil
	}
	wait := f.watchDuration(l)
	ctx, end := l.startWatch(ctx, wait)
	events, r, err := f.source.WatchServers(ctx, cursor, wait)
	if err = f.checkEra(r, end(err)); err != nil {
		return err
	}
	f.applyServers(known, events, r)
	if len(events) > 0 {
		time.Sleep(batchDelay)
	}
	return nil
}

// applyServers applies the changes that a watch returned.
func (f *Follower) applyServers(servers map[string]*Server, events []ServerEvent, revision Revision) {
	now := time.Now()
	if len(events) == 0 {
		f.cache.putServers(nil, 0, revision, now)
		return
	}
	for _, e := range events {
		old := servers[e.Name]
		switch {
		case e.Removed || e.Server == nil:
			delete(servers, e.Name)
		default:
			servers[e.Name] = e.Server
		}
		f.logEvent(e, old)
	}
	f.cache.putServers(servers, revision, revision, now)
}

func (f *Follower) logEvent(e ServerEvent, old *Server) {
	change := "changed"
	switch {
	case e.Removed:
		change = "removed"
	case e.Server == nil:
		change = "unreadable"
	case old == nil:
		change = "added"
	case e.Server.Draining && !old.Draining:
		change = "leaving"
	default:
		return
	}
	f.log.WithFields(telemetry.Fields{"event": "server_entry", "server": e.Name, "change": change}).Info("the entry of a backend server changed")
}
