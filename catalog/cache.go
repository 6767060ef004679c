package catalog

import (
	"maps"
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
)

// View is what is in force at one moment. It is immutable.
type View struct {
	Config *Config
	Routes *RouteTable
	// Servers that may take requests, and those that are leaving.
	Servers []Server
	// Revision that the set of servers includes.
	Revision Revision
}

// Epoch returns the configuration's epoch; zero: none.
func (v *View) Epoch() model.Epoch {
	if v.Config == nil {
		return 0
	}
	return v.Config.Epoch
}

// Complete reports whether there is a configuration and a set of servers.
func (v *View) Complete() bool { return v.Config != nil && v.Revision > 0 }

// Snapshot is the whole content, for another daemon. Ages are relative to the
// moment of the snapshot.
type Snapshot struct {
	Config       *Config            `json:"config"`
	ConfigCursor Revision           `json:"configCursor"`
	ConfigAge    time.Duration      `json:"configAge"`
	Servers      map[string]*Server `json:"servers"`
	Revision     Revision           `json:"revision"`
	ServerCursor Revision           `json:"serverCursor"`
	ServerAge    time.Duration      `json:"serverAge"`
}

// Cache holds the content. It is safe for concurrent use.
type Cache struct {
	// changed is called after each change, by one goroutine at a time and with
	// views that only move forward.
	changed    func(*View)
	publishing sync.Mutex

	mu           sync.Mutex
	config       *Config
	routes       *RouteTable
	configCursor Revision
	configAt     time.Time
	servers      map[string]*Server
	revision     Revision
	serverCursor Revision
	serverAt     time.Time
}

// NewCache returns an empty cache.
func NewCache(changed func(*View)) *Cache {
	return &Cache{changed: changed, servers: map[string]*Server{}}
}

// never is the age of content that was never confirmed.
const never = time.Hour

// Ages returns how long ago the store confirmed the configuration and the
// servers.
func (k *Cache) Ages(now time.Time) (config, servers time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return age(now, k.configAt), age(now, k.serverAt)
}

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return never
	}
	return now.Sub(at)
}

// Versions returns the epoch and the revision in force; zero: none.
func (k *Cache) Versions() (model.Epoch, Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.config == nil {
		return 0, k.revision
	}
	return k.config.Epoch, k.revision
}

// Confirm records that a daemon with the same content had it confirmed at a
// time.
func (k *Cache) Confirm(epoch model.Epoch, r Revision, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.config != nil && k.config.Epoch == epoch && at.After(k.configAt) {
		k.configAt = at
	}
	if k.revision == r && r != 0 && at.After(k.serverAt) {
		k.serverAt = at
	}
}

// putConfig applies a configuration that the store confirmed at a time; nil
// means that nothing has changed.
func (k *Cache) putConfig(c *Config, cursor Revision, at time.Time) (applied bool) {
	k.mu.Lock()
	if c != nil && (k.config == nil || c.Epoch > k.config.Epoch) {
		invariant.Check(k.config == nil || c.Epoch > k.config.Epoch, invariant.EpochUpward, "epoch %s", c.Epoch)
		k.config, k.routes, applied = c, NewRouteTable(c), true
	}
	k.configCursor = max(k.configCursor, cursor)
	if at.After(k.configAt) {
		k.configAt = at
	}
	k.mu.Unlock()
	if applied {
		k.publish()
	}
	return applied
}

// putServers replaces the set if it is newer.
func (k *Cache) putServers(set map[string]*Server, r, cursor Revision, at time.Time) (applied bool) {
	k.mu.Lock()
	if r > k.revision {
		k.servers, k.revision, applied = set, r, true
	}
	k.serverCursor = max(k.serverCursor, cursor)
	if at.After(k.serverAt) {
		k.serverAt = at
	}
	k.mu.Unlock()
	if applied {
		k.publish()
	}
	return applied
}

// snapshotServers returns a copy of the set, its revision and the position to
// watch from.
func (k *Cache) snapshotServers() (map[string]*Server, Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.servers), k.serverCursor
}

func (k *Cache) cursorOfConfig() Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.configCursor
}

// ExpireLapsed removes servers whose entries did not come back in time.
func (k *Cache) ExpireLapsed(now time.Time) (expired []model.ServerID) {
	k.mu.Lock()
	for name, s := range k.servers {
		if !s.GraceUntil.IsZero() && now.After(s.GraceUntil) {
			expired = append(expired, s.ID)
			k.servers = maps.Clone(k.servers)
			delete(k.servers, name)
		}
	}
	k.mu.Unlock()
	if len(expired) > 0 {
		k.publish()
	}
	return expired
}

// Snapshot returns the whole content.
func (k *Cache) Snapshot(now time.Time) Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := Snapshot{
		Config: k.config, ConfigCursor: k.configCursor, ConfigAge: age(now, k.configAt),
		Servers: make(map[string]*Server, len(k.servers)), Revision: k.revision,
		ServerCursor: k.serverCursor, ServerAge: age(now, k.serverAt),
	}
	for name, s := range k.servers {
		copied := *s
		copied.WarmupRemaining = max(0, s.WarmAt.Sub(now))
		if !s.GraceUntil.IsZero() {
			copied.GraceRemaining = max(time.Millisecond, s.GraceUntil.Sub(now))
		}
		e.Servers[name] = &copied
	}
	return e
}

// Merge applies the content of another daemon as far as it is newer.
func (k *Cache) Merge(now time.Time, e Snapshot) {
	if e.Config != nil {
		k.putConfig(e.Config, e.ConfigCursor, now.Add(-e.ConfigAge))
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
	k.putServers(e.Servers, e.Revision, e.ServerCursor, now.Add(-e.ServerAge))
}

// View returns what is in force.
func (k *Cache) View() *View {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := &View{Config: k.config, Routes: k.routes, Revision: k.revision, Servers: make([]Server, 0, len(k.servers))}
	for _, s := range k.servers {
		v.Servers = append(v.Servers, *s)
	}
	return v
}

func (k *Cache) publish() {
	if k.changed == nil {
		return
	}
	// The view is made under the lock: otherwise a view without the change of
	// another goroutine could be the last one that is passed on.
	k.publishing.Lock()
	defer k.publishing.Unlock()
	k.changed(k.View())
}
