package daemon

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// changeLog holds the time of each backend server's last state change.
type changeLog struct {
	mu        sync.Mutex
	changedAt map[model.ServerID]time.Time
}

func newChangeLog() *changeLog { return &changeLog{changedAt: map[model.ServerID]time.Time{}} }

func (c *changeLog) record(now time.Time, change pool.ServerChanged) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change.To == pool.Gone {
		delete(c.changedAt, change.Server)
		return
	}
	c.changedAt[change.Server] = now
}

// lastChange returns the time of a server's last state change, or fallback if
// no change was recorded.
func (c *changeLog) lastChange(id model.ServerID, fallback time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.changedAt[id]; ok {
		return at
	}
	return fallback
}
