package entry

import (
	"sync"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/fleet"
)

type loadReport struct {
	load fleet.Load
	at   time.Time
}

// loadTable holds the last load report of each pool that this entry uses.
type loadTable struct {
	mu      sync.RWMutex
	reports map[model.PoolID]loadReport
}

func newLoadTable() *loadTable { return &loadTable{reports: map[model.PoolID]loadReport{}} }

func (t *loadTable) update(id model.PoolID, l fleet.Load) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[id] = loadReport{load: l, at: now}
}

// order returns the pools to try, nearest first.
func (t *loadTable) order(choices []PoolChoice) []PoolChoice { return choices }
