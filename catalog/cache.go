package catalog

import (
	"maps"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/outage"
	"github.com/agateusher/agateusher/core/workspace"
)

// View is the configuration and the servers at one moment. It is immutable.
type View struct {
	Config *Config
	Routes *RouteTable
	// Workspaces finds the workspaces of Config; nil if there is no configuration.
	Workspaces *workspace.Table
	// Servers includes those that are draining.
	Servers []Server
	// Revision is the store's revision of Servers.
	Revision Revision
	// Departed lists the servers that left before the store came back from a copy, which
	// may list them again. They are not to be used.
	Departed []Departure
}

// Epoch returns the configuration's epoch; zero if there is no configuration.
func (v *View) Epoch() model.Epoch {
	if v.Config == nil {
		return 0
	}
	return v.Config.Epoch
}

// Complete reports whether both the configuration and the servers are known.
func (v *View) Complete() bool { return v.Config != nil && v.Revision > 0 }

// Versions identifies the content that a daemon has: the configuration's epoch and
// the servers' revision; zero if there is none.
type Versions struct {
	Epoch    model.Epoch `json:"epoch"`
	Revision Revision    `json:"revision"`
}

// Snapshot is the content as sent to another daemon, either whole or what has
// changed since the versions that the other one has. Ages are relative to the
// moment of the snapshot. The cursors are the revisions to watch from.
type Snapshot struct {
	// Config is nil if there is none, or if Epoch is that of the receiver.
	Config *Config `json:"config"`
	// ConfigSince is the epoch that Config and RemovedRoutes are the changes to; zero:
	// Config is the whole. Config.Routes has only the routes that were added or changed;
	// all else in Config is whole.
	ConfigSince   model.Epoch       `json:"configSince,omitempty"`
	RemovedRoutes []model.RouteName `json:"removedRoutes,omitempty"`
	// ConfigFollows is set in the encoded form if Config is encoded behind the snapshot.
	ConfigFollows bool          `json:"configFollows,omitempty"`
	Epoch         model.Epoch   `json:"epoch,omitempty"`
	ConfigCursor  Revision      `json:"configCursor"`
	ConfigAge     time.Duration `json:"configAge"`
	// Since is the revision that Servers and Removed are the changes to; zero:
	// Servers is the whole set.
	Since   Revision           `json:"since,omitempty"`
	Servers map[string]*Server `json:"servers"`
	// Removed names the entries that were removed since Since.
	Removed      []string      `json:"removed,omitempty"`
	Revision     Revision      `json:"revision"`
	ServerCursor Revision      `json:"serverCursor"`
	ServerAge    time.Duration `json:"serverAge"`
}

// revisionChange is one step of the servers from one revision to the next.
type revisionChange struct {
	from Revision
	// names are the entries that were added, changed or removed.
	names []string
}

// maxHistory is the number of past changes of the servers that a daemon can send
// instead of the whole set.
const maxHistory = 64

// Cache holds a daemon's copy of the configuration and of the servers. It is safe
// for concurrent use.
type Cache struct {
	// onChange is called after each change, by one goroutine at a time, and never
	// with a view that is older than the previous one.
	onChange  func(*View)
	publishMu sync.Mutex

	mu                sync.Mutex
	config            *Config
	routes            *RouteTable
	workspaces        *workspace.Table
	configCursor      Revision
	configConfirmedAt time.Time
	// servers is what the store said at revision, and all that other daemons receive.
	servers            map[string]*Server
	revision           Revision
	serverCursor       Revision
	serversConfirmedAt time.Time
	// retained has the servers whose entries are missing since an outage of the store.
	// They are used by this daemon only.
	retained map[string]*Server
	outages  outage.Tracker
	// era is the newest era of the store that is known.
	era        Era
	departures departures
	// history and configHistory have the latest changes of the servers and of the
	// routes, the oldest first; each one begins where the one before it ends.
	history       []revisionChange
	configHistory []epochChange
}

// NewCache returns an empty Cache. onChange receives the new view after each
// change; it may be nil.
func NewCache(onChange func(*View)) *Cache {
	return &Cache{onChange: onChange, servers: map[string]*Server{}, retained: map[string]*Server{}, departures: newDepartures()}
}

// UnconfirmedAge is the age of content that the store has never confirmed.
const UnconfirmedAge = time.Hour

// Ages returns how long ago the store last confirmed the configuration and the
// servers.
func (c *Cache) Ages(now time.Time) (config, servers time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ageOf(now, c.configConfirmedAt), ageOf(now, c.serversConfirmedAt)
}

func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return UnconfirmedAge
	}
	return now.Sub(at)
}

// Versions returns the versions of the content.
func (c *Cache) Versions() Versions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions()
}

// versions is Versions with c.mu held.
func (c *Cache) versions() Versions {
	v := Versions{Revision: c.revision}
	if c.config != nil {
		v.Epoch = c.config.Epoch
	}
	return v
}

// Confirm records that the store confirmed these versions to another daemon. It
// has no effect on content of another version, and none if the other daemon does not know
// yet that the store came back from a copy.
func (c *Cache) Confirm(v Versions, confirmedAt time.Time) {
	c.confirm(v, v.Revision.Era(), confirmedAt)
}

// confirm is Confirm with the newest era that the other daemon has content of.
func (c *Cache) confirm(v Versions, era Era, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era < c.era {
		return
	}
	if c.config != nil && c.config.Epoch == v.Epoch && confirmedAt.After(c.configConfirmedAt) {
		c.configConfirmedAt = confirmedAt
	}
	if c.revision == v.Revision && v.Revision != 0 {
		c.serversConfirmed(confirmedAt)
	}
}

// putConfig applies a configuration that the store confirmed, if its epoch is
// newer. A nil config means that the store has no change.
func (c *Cache) putConfig(config *Config, cursor Revision, confirmedAt time.Time) bool {
	return c.putConfigChange(config, nil, cursor, confirmedAt)
}

// putConfigChange is putConfig for a configuration that differs from the present one in
// the routes of a change; nil: the routes are compared.
func (c *Cache) putConfigChange(config *Config, change *epochChange, cursor Revision, confirmedAt time.Time) bool {
	applied := c.replaceConfig(config, change, cursor, confirmedAt)
	if applied {
		c.publish()
	}
	return applied
}

// replaceConfig is putConfigChange without the publication.
func (c *Cache) replaceConfig(config *Config, change *epochChange, cursor Revision, confirmedAt time.Time) (applied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if config != nil && (c.config == nil || config.Epoch > c.config.Epoch) {
		invariant.Check(c.config == nil || config.Epoch > c.config.Epoch, invariant.EpochUpward, "epoch %s", config.Epoch)
		c.recordConfigChange(config, change)
		c.config, c.routes, applied = config, NewRouteTable(config), true
		c.workspaces = workspace.NewTable(config.KeyPolicy, config.Workspaces, config.UnreadableWorkspaces)
	}
	c.configCursor = max(c.configCursor, cursor)
	if confirmedAt.After(c.configConfirmedAt) {
		c.configConfirmedAt = confirmedAt
	}
	return applied
}

// putServers replaces the servers if the revision is newer. With revision 0 it
// only records the cursor and the confirmation.
func (c *Cache) putServers(servers map[string]*Server, revision, cursor Revision, confirmedAt time.Time) bool {
	applied := c.replaceServers(servers, revision, cursor, confirmedAt)
	if applied {
		c.publish()
	}
	return applied
}

// replaceServers is putServers without the publication.
func (c *Cache) replaceServers(servers map[string]*Server, revision, cursor Revision, confirmedAt time.Time) (applied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serversConfirmed(confirmedAt)
	if revision > c.revision {
		c.recordChange(servers)
		if c.revision != 0 && revision.Era() > c.revision.Era() {
			c.retainUnlisted(servers, confirmedAt)
			c.departures.enterEra(confirmedAt, c.servers)
		} else {
			c.retainMissing(servers, confirmedAt)
			c.departures.record(confirmedAt, revision.Era(), c.servers, servers, c.retained)
		}
		c.servers, c.revision, applied = servers, revision, true
	}
	c.serverCursor = max(c.serverCursor, cursor)
	return applied
}

// confirmConfig records that the store confirmed the configuration.
func (c *Cache) confirmConfig(at time.Time) { c.putConfig(nil, 0, at) }

// confirmServers records that the store confirmed the servers.
func (c *Cache) confirmServers(at time.Time) { c.putServers(nil, 0, 0, at) }

// recordChange adds the step from the present servers to next to the history. c.mu
// must be held.
func (c *Cache) recordChange(next map[string]*Server) {
	if c.revision == 0 {
		return
	}
	step := revisionChange{from: c.revision}
	for name, s := range next {
		if old, ok := c.servers[name]; !ok || (old != s && *old != *s) {
			step.names = append(step.names, name)
		}
	}
	for name := range c.servers {
		if _, ok := next[name]; !ok {
			step.names = append(step.names, name)
		}
	}
	if len(c.history) == maxHistory {
		c.history = append(c.history[:0], c.history[1:]...)
	}
	c.history = append(c.history, step)
}

// changedSince returns the names of the entries that may differ from those at a
// revision; false if the history does not reach back to it. c.mu must be held.
func (c *Cache) changedSince(revision Revision) (names []string, ok bool) {
	if revision == c.revision {
		return nil, true
	}
	for i := len(c.history) - 1; i >= 0; i-- {
		names = append(names, c.history[i].names...)
		if c.history[i].from == revision {
			return names, true
		}
	}
	return nil, false
}

// snapshotServers returns a copy of the servers and the revision to watch from; zero if
// there is none in the present era.
func (c *Cache) snapshotServers() (map[string]*Server, Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.servers), c.presentCursor(c.serverCursor)
}

// cursorOfConfig returns the revision to watch the configuration from; zero if there is
// none in the present era.
func (c *Cache) cursorOfConfig() Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.presentCursor(c.configCursor)
}

// presentCursor returns a cursor, or zero if it is of an earlier era. c.mu must be held.
func (c *Cache) presentCursor(cursor Revision) Revision {
	if cursor.Era() < c.era {
		return 0
	}
	return cursor
}

// Era returns the newest era of the store that is known.
func (c *Cache) Era() Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// ObserveEra records an era that an answer of the store or another daemon named, and
// returns the newest one known before. Content of earlier eras stays in use until the store
// was read again, but nothing confirms it.
func (c *Cache) ObserveEra(e Era) (before Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.era
	c.era = max(c.era, e)
	return before
}

// AddAge adds to the time since the store last confirmed the content. It is called
// with a time that this daemon's clock has not counted.
func (c *Cache) AddAge(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.configConfirmedAt.IsZero() {
		c.configConfirmedAt = c.configConfirmedAt.Add(-age)
	}
	if !c.serversConfirmedAt.IsZero() {
		c.serversConfirmedAt = c.serversConfirmedAt.Add(-age)
	}
	c.outages.AddAge(age)
}

// Snapshot returns the content for a daemon that has the given versions: what has
// changed since, or the whole if that is not known.
func (c *Cache) Snapshot(now time.Time, has Versions) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.versions()
	e := Snapshot{
		Config: c.config, Epoch: v.Epoch, ConfigCursor: c.configCursor, ConfigAge: ageOf(now, c.configConfirmedAt),
		Revision: v.Revision, ServerCursor: c.serverCursor, ServerAge: ageOf(now, c.serversConfirmedAt),
	}
	if has.Epoch == v.Epoch {
		e.Config = nil
	} else if changed, removed, ok := c.configSince(has.Epoch); ok {
		e.Config, e.ConfigSince, e.RemovedRoutes = changed, has.Epoch, removed
	}
	names, ok := c.changedSince(has.Revision)
	if !ok || has.Revision == 0 {
		e.Servers = make(map[string]*Server, len(c.servers))
		for name, s := range c.servers {
			e.Servers[name] = exported(s, now)
		}
		return e
	}
	e.Since, e.Servers = has.Revision, make(map[string]*Server, len(names))
	for _, name := range names {
		if s, ok := c.servers[name]; ok {
			e.Servers[name] = exported(s, now)
		} else {
			e.Removed = append(e.Removed, name)
		}
	}
	return e
}

// exported returns a copy of s with times relative to now.
func exported(s *Server, now time.Time) *Server {
	copied := *s
	copied.WarmupRemaining = max(0, s.WarmAt.Sub(now))
	return &copied
}

// imported sets the times of a received entry by this daemon's clock.
func imported(s *Server, now time.Time) *Server {
	s.WarmAt = now.Add(s.WarmupRemaining)
	s.WarmupRemaining = 0
	return s
}

// Merge applies the parts of another daemon's content that are newer. It returns
// false if the snapshot holds changes to versions that this daemon does not have.
func (c *Cache) Merge(now time.Time, e Snapshot) bool {
	switch {
	case e.Config != nil:
		config, change, ok := c.patchedConfig(e)
		if !ok {
			return false
		}
		c.putConfigChange(config, change, e.ConfigCursor, now.Add(-e.ConfigAge))
	case e.Epoch != 0:
		c.confirm(Versions{Epoch: e.Epoch}, e.Revision.Era(), now.Add(-e.ConfigAge))
	}
	if e.Revision == 0 {
		return true
	}
	servers := make(map[string]*Server, len(e.Servers))
	if e.Since != 0 {
		known, revision := c.serversAt()
		if revision != e.Since {
			return revision >= e.Revision
		}
		servers = known
	}
	for name, s := range e.Servers {
		switch {
		case s == nil: // a null in a damaged message
		case s.GraceRemaining > 0:
			delete(servers, name)
		default:
			servers[name] = imported(s, now)
		}
	}
	for _, name := range e.Removed {
		delete(servers, name)
	}
	confirmedAt := now.Add(-e.ServerAge)
	if e.Since == e.Revision {
		c.Confirm(Versions{Revision: e.Revision}, confirmedAt)
		return true
	}
	c.putServers(servers, e.Revision, e.ServerCursor, confirmedAt)
	return true
}

// serversAt returns a copy of the servers and their revision.
func (c *Cache) serversAt() (map[string]*Server, Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.servers), c.revision
}

// View returns the present configuration and servers.
func (c *Cache) View() *View {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := &View{Config: c.config, Routes: c.routes, Workspaces: c.workspaces, Revision: c.revision, Servers: make([]Server, 0, len(c.servers)+len(c.retained))}
	for _, s := range c.servers {
		v.Servers = append(v.Servers, *s)
	}
	for _, s := range c.retained {
		v.Servers = append(v.Servers, *s)
	}
	v.Departed = c.departures.excluded
	return v
}

func (c *Cache) publish() {
	if c.onChange == nil {
		return
	}
	// The view is made under the lock. Otherwise a view without another
	// goroutine's change could be passed on last.
	c.publishMu.Lock()
	defer c.publishMu.Unlock()
	c.onChange(c.View())
}
