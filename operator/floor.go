package operator

import (
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
	pools, services := poolInputs(after, down), servicesByName(after)
	for _, s := range ejected {
		id := poolOf(services, s)
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
	services := servicesByName(o)
	pools := map[model.PoolID]floor.Input{}
	counts := map[model.ServiceName]int{}
	for _, s := range o.Servers {
		id := poolOf(services, s)
		in, known := pools[id]
		if !known {
			counts[s.Service]++
		}
		in.Servers = append(in.Servers, floor.Server{ID: s.ID, Slots: s.Slots, State: floorState(s, down)})
		pools[id] = in
	}
	for id, in := range pools {
		if service, ok := services[id.Service]; ok {
			f := service.Floor
			in.Limits = floor.Limits{Share: f.Share, MinServers: f.MinServersPerPool(counts[id.Service])}
			pools[id] = in
		}
	}
	return pools
}

// servicesByName indexes the services that servers refer to.
func servicesByName(o snapshot.Objects) map[model.ServiceName]*snapshot.Service {
	services := make(map[model.ServiceName]*snapshot.Service, len(o.Services))
	for i := range o.Services {
		services[o.Services[i].Name] = &o.Services[i]
	}
	return services
}

// poolOf returns the pool of a server; the zero PoolID if its service is
// missing, which validation rules out.
func poolOf(services map[model.ServiceName]*snapshot.Service, s snapshot.Server) model.PoolID {
	service, ok := services[s.Service]
	if !ok {
		return model.PoolID{}
	}
	return service.PoolOf(s)
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
