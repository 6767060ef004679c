package catalog

import (
	"maps"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
)

// View is the configuration and the servers at one moment. It is immutable.
type View struct {
	Config *Config
	Routes *RouteTable
	// Servers includes those that are draining.
	Servers []Server
	// Revision is the store's revision of Servers.
	Revision Revision
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

// Snapshot is the whole content as sent to another daemon. Ages are relative to
// the moment of the snapshot. The cursors are the revisions to watch from.
type Snapshot struct {
	Config       *Config            `json:"config"`
	ConfigCursor Revision           `json:"configCursor"`
	ConfigAge    time.Duration      `json:"configAge"`
	Servers      map[string]*Server `json:"servers"`
	Revision     Revision           `json:"revision"`
	ServerCursor Revision           `json:"serverCursor"`
	ServerAge    time.Duration      `json:"serverAge"`
}

// Cache holds a daemon's copy of the configuration and of the servers. It is safe
// for concurrent use.
type Cache struct {
	// onChange is called after each change, by one goroutine at a time, and never
	// with a view that is older than the previous one.
	onChange  func(*View)
	publishMu sync.Mutex

	mu                 sync.Mutex
	config             *Config
	routes             *RouteTable
	configCursor       Revision
	configConfirmedAt  time.Time
	servers            map[string]*Server
	revision           Revision
	serverCursor       Revision
	serversConfirmedAt time.Time
}

// NewCache returns an empty Cache. onChange receives the new view after each
// change; it may be nil.
func NewCache(onChange func(*View)) *Cache {
	return &Cache{onChange: onChange, servers: map[string]*Server{}}
}

// unconfirmedAge is the age of content that the store has never confirmed.
const unconfirmedAge = time.Hour

// Ages returns how long ago the store last confirmed the configuration and the
// servers.
func (c *Cache) Ages(now time.Time) (config, servers time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ageOf(now, c.configConfirmedAt), ageOf(now, c.serversConfirmedAt)
}

func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return unconfirmedAge
	}
	return now.Sub(at)
}

// Versions returns the configuration's epoch and the servers' revision; zero if
// there is none.
func (c *Cache) Versions() (model.Epoch, Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil {
		return 0, c.revision
	}
	return c.config.Epoch, c.revision
}

// Confirm records that the store confirmed these versions to another daemon. It
// has no effect on content of another version.
func (c *Cache) Confirm(epoch model.Epoch, revision Revision, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config != nil && c.config.Epoch == epoch && confirmedAt.After(c.configConfirmedAt) {
		c.configConfirmedAt = confirmedAt
	}
	if c.revision == revision && revision != 0 && confirmedAt.After(c.serversConfirmedAt) {
		c.serversConfirmedAt = confirmedAt
	}
}

// putConfig applies a configuration that the store confirmed, if its epoch is
// newer. A nil config means that the store has no change.
func (c *Cache) putConfig(config *Config, cursor Revision, confirmedAt time.Time) (applied bool) {
	c.mu.Lock()
	if config != nil && (c.config == nil || config.Epoch > c.config.Epoch) {
		invariant.Check(c.config == nil || config.Epoch > c.config.Epoch, invariant.EpochUpward, "epoch %s", config.Epoch)
		c.config, c.routes, applied = config, NewRouteTable(config), true
	}
	c.configCursor = max(c.configCursor, cursor)
	if confirmedAt.After(c.configConfirmedAt) {
		c.configConfirmedAt = confirmedAt
	}
	c.mu.Unlock()
	if applied {
		c.publish()
	}
	return applied
}

// putServers replaces the servers if the revision is newer. With revision 0 it
// only records the cursor and the confirmation.
func (c *Cache) putServers(servers map[string]*Server, revision, cursor Revision, confirmedAt time.Time) (applied bool) {
	c.mu.Lock()
	if revision > c.revision {
		c.servers, c.revision, applied = servers, revision, true
	}
	c.serverCursor = max(c.serverCursor, cursor)
	if confirmedAt.After(c.serversConfirmedAt) {
		c.serversConfirmedAt = confirmedAt
	}
	c.mu.Unlock()
	if applied {
		c.publish()
	}
	return applied
}

// snapshotServers returns a copy of the servers and the revision to watch from.
func (c *Cache) snapshotServers() (map[string]*Server, Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.servers), c.serverCursor
}

// cursorOfConfig returns the revision to watch the configuration from.
func (c *Cache) cursorOfConfig() Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configCursor
}

// ExpireLapsed removes the servers whose entries did not come back within the
// grace period, and returns their IDs.
func (c *Cache) ExpireLapsed(now time.Time) (expired []model.ServerID) {
	c.mu.Lock()
	for name, s := range c.servers {
		if !s.GraceUntil.IsZero() && now.After(s.GraceUntil) {
			expired = append(expired, s.ID)
			c.servers = maps.Clone(c.servers)
			delete(c.servers, name)
		}
	}
	c.mu.Unlock()
	if len(expired) > 0 {
		c.publish()
	}
	return expired
}

// Snapshot returns the whole content.
func (c *Cache) Snapshot(now time.Time) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := Snapshot{
		Config: c.config, ConfigCursor: c.configCursor, ConfigAge: ageOf(now, c.configConfirmedAt),
		Servers: make(map[string]*Server, len(c.servers)), Revision: c.revision,
		ServerCursor: c.serverCursor, ServerAge: ageOf(now, c.serversConfirmedAt),
	}
	for name, s := range c.servers {
		copied := *s
		copied.WarmupRemaining = max(0, s.WarmAt.Sub(now))
		if !s.GraceUntil.IsZero() {
			copied.GraceRemaining = max(time.Millisecond, s.GraceUntil.Sub(now))
		}
		e.Servers[name] = &copied
	}
	return e
}

// Merge applies the parts of another daemon's content that are newer.
func (c *Cache) Merge(now time.Time, e Snapshot) {
	if e.Config != nil {
		c.putConfig(e.Config, e.ConfigCursor, now.Add(-e.ConfigAge))
	}
	if e.Revision == 0 {
		return
	}
	for _, s := range e.Servers {
		s.WarmAt = now.Add(s.WarmupRemaining)
		if s.GraceRemaining > 0 {
			s.GraceUntil = now.Add(s.GraceRemaining)
		}
	}
	c.putServers(e.Servers, e.Revision, e.ServerCursor, now.Add(-e.ServerAge))
}

// View returns the present configuration and servers.
func (c *Cache) View() *View {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := &View{Config: c.config, Routes: c.routes, Revision: c.revision, Servers: make([]Server, 0, len(c.servers))}
	for _, s := range c.servers {
		v.Servers = append(v.Servers, *s)
	}
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
