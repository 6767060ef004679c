package owner

import (
	"context"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/telemetry"
)

// ExportHealth returns the server health of each owned pool that has ejected
// servers, for the pools' next owners.
func (w *Owner) ExportHealth(ctx context.Context) []fleet.PoolHealth {
	var list []fleet.PoolHealth
	for id, p := range w.pools() {
		reply := make(chan []pool.Ejection, 1)
		p.driver.post(ctx, healthEvent{reply})
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

// AdoptHealth takes over a leaving owner's verdicts and starts the pool if it
// is not running here yet.
func (w *Owner) AdoptHealth(h fleet.PoolHealth) {
	p, err := w.pool(h.Pool())
	if err != nil {
		w.o.Log.WithFields(telemetry.Fields{"event": "health_not_adopted", "pool": h.Pool().String()}).WithError(err).Warn("cannot take over the verdicts of a leaving owner")
		return
	}
	p.driver.post(w.ctx, adoptEvent{h.Servers})
	w.o.Log.WithFields(telemetry.Fields{"event": "health_adopted", "pool": h.Pool().String(), "servers": len(h.Servers)}).Info("verdicts of a leaving owner taken over")
}

// pools returns a copy of the owned pools, so that waiting for one of them holds
// no lock.
func (w *Owner) pools() map[model.PoolID]*ownedPool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	pools := make(map[model.PoolID]*ownedPool, len(w.drivers))
	for id, p := range w.drivers {
		pools[id] = p
	}
	return pools
}
