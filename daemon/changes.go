package daemon

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// changeLog remembers when each backend server last changed state.
type changeLog struct {
	mu sync.Mutex
	at map[model.ServerID]time.Time
}

func newChangeLog() *changeLog { return &changeLog{at: map[model.ServerID]time.Time{}} }

func (c *changeLog) note(now time.Time, change pool.ServerChanged) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change.To == pool.Gone {
		delete(c.at, change.Server)
		return
	}
	c.at[change.Server] = now
}

func (c *changeLog) since(id model.ServerID, otherwise time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.at[id]; ok {
		return at
	}
	return otherwise
}
