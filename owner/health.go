package owner

import (
	"context"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/telemetry"
)

// ExportHealth returns the ejections of each owned pool that has any, for the pools'
// next owners. If ctx ends, the remaining pools are left out.
func (w *Owner) ExportHealth(ctx context.Context) []fleet.PoolHealth {
	var list []fleet.PoolHealth
	for id, p := range w.copyPools() {
		reply := make(chan []pool.Ejection, 1)
		p.driver.enqueue(ctx, ejectionsEvent{reply})
		select {
		case servers := <-reply:
			if len(servers) > 0 {
				list = append(list, fleet.PoolHealth{Service: id.Service, DataCentre: id.DataCentre, Shard: id.Shard, Servers: servers})
			}
		case <-ctx.Done():
			return list
		}
	}
	return list
}

// AdoptHealth adopts the ejections of a pool's leaving owner, and starts the pool if
// it is not running on this host yet.
func (w *Owner) AdoptHealth(h fleet.PoolHealth) {
	p, err := w.getOrStartPool(h.Pool())
	if err != nil {
		w.opts.Log.WithFields(telemetry.Fields{"event": "health_not_adopted", "pool": h.Pool().String()}).WithError(err).Warn("cannot start the pool; the ejections of its leaving owner are lost")
		return
	}
	p.driver.enqueue(w.ctx, adoptEjectionsEvent{h.Servers})
	w.opts.Log.WithFields(telemetry.Fields{"event": "health_adopted", "pool": h.Pool().String(), "servers": len(h.Servers)}).Info("adopted the ejections of a leaving owner")
}

// copyPools returns a copy of the map of owned pools, so that the caller can wait for
// a pool without holding the lock.
func (w *Owner) copyPools() map[model.PoolID]*ownedPool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	pools := make(map[model.PoolID]*ownedPool, len(w.ownedPools))
	for id, p := range w.ownedPools {
		pools[id] = p
	}
	return pools
}
