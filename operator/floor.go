package operator

import (
	"github.com/cespare/xxhash/v2"

	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// checkFloor returns a *FloorError if a server that a change ejects would leave
// its pool below the floor. Servers that are draining or ejected count as lost,
// and so do those in down, which the fleet itself has ejected.
func checkFloor(before, after snapshot.Objects, down map[model.ServerID]bool) error {
	ejected := newlyEjected(before, after)
	if len(ejected) == 0 {
		return nil
	}
	pools := poolInputs(after, down)
	for _, s := range ejected {
		id := poolOf(shardCounts(after), s)
		if err := checkPool(id, pools[id]); err != nil {
			return err
		}
	}
	return nil
}

// newlyEjected returns the servers that become ejected. A server that was
// already draining or is created ejected takes no capacity away.
func newlyEjected(before, after snapshot.Objects) []snapshot.Server {
	active := map[model.ServerID]bool{}
	for _, s := range before.Servers {
		active[s.ID] = s.State == snapshot.ServerActive
	}
	var list []snapshot.Server
	for _, s := range after.Servers {
		if s.State == snapshot.ServerEjected && active[s.ID] {
			list = append(list, s)
		}
	}
	return list
}

// poolInputs returns the servers and the floor of every pool as owners see
// them: the minimum count is divided evenly among the service's pools, rounded
// up.
func poolInputs(o snapshot.Objects, down map[model.ServerID]bool) map[model.PoolID]floor.Input {
	shards := shardCounts(o)
	pools := map[model.PoolID]floor.Input{}
	counts := map[model.ServiceName]int{}
	for _, s := range o.Servers {
		id := poolOf(shards, s)
		in, known := pools[id]
		if !known {
			counts[s.Service]++
		}
		in.Servers = append(in.Servers, floor.Server{ID: s.ID, Slots: s.Slots, State: floorState(s, down)})
		pools[id] = in
	}
	floors := map[model.ServiceName]snapshot.Floor{}
	for _, s := range o.Services {
		floors[s.Name] = s.Floor
	}
	for id, in := range pools {
		n, f := counts[id.Service], floors[id.Service]
		in.Limits = floor.Limits{Share: f.Share, MinServers: (f.MinServers + n - 1) / n}
		pools[id] = in
	}
	return pools
}

func shardCounts(o snapshot.Objects) map[model.ServiceName]int {
	shards := map[model.ServiceName]int{}
	for _, s := range o.Services {
		shards[s.Name] = s.Shards
	}
	return shards
}

// poolOf returns the pool of a server. It must fill shards as the daemon does.
func poolOf(shards map[model.ServiceName]int, s snapshot.Server) model.PoolID {
	id := model.PoolID{Service: s.Service, DataCentre: s.DataCentre}
	if n := shards[s.Service]; n > 1 {
		id.Shard = int(xxhash.Sum64String(string(s.ID)) % uint64(n))
	}
	return id
}

func floorState(s snapshot.Server, down map[model.ServerID]bool) floor.State {
	switch {
	case s.State == snapshot.ServerEjected:
		return floor.EjectedByOperator
	case s.State == snapshot.ServerDraining:
		return floor.Leaving
	case down[s.ID]:
		return floor.EjectedByHealth
	}
	return floor.Serving
}

// checkPool checks the pool after the change.
func checkPool(id model.PoolID, in floor.Input) error {
	e := &FloorError{Pool: id}
	e.RequiredSlots, e.RequiredServers = floor.Required(in)
	for _, s := range in.Servers {
		if s.State == floor.Serving {
			e.RemainingServers++
			e.RemainingSlots += s.Slots
		}
	}
	if e.RemainingSlots < e.RequiredSlots || e.RemainingServers < e.RequiredServers {
		return e
	}
	return nil
}
