package operator

import (
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// checkFloor returns a *FloorError if a change ejects a server and its pool would
// then be below the floor. Draining and ejected servers do not count as healthy
// capacity, nor do the servers in ejectedByHealth, which pool owners have ejected.
func checkFloor(before, after snapshot.Objects, ejectedByHealth map[model.ServerID]bool) error {
	ejected := newlyEjected(before, after)
	if len(ejected) == 0 {
		return nil
	}
	pools, services := floorInputs(after, ejectedByHealth), servicesByName(after)
	for _, s := range ejected {
		id := poolOf(services, s)
		if err := checkPool(id, pools[id]); err != nil {
			return err
		}
	}
	return nil
}

// newlyEjected returns the servers that change from active to ejected. A server
// that was already draining or is created as ejected is left out, because its
// ejection takes no capacity away.
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

// floorInputs returns the servers and the floor of every pool, as pool owners
// compute them: the service's minimum number of servers is divided evenly among
// its pools and rounded up.
func floorInputs(o snapshot.Objects, ejectedByHealth map[model.ServerID]bool) map[model.PoolID]floor.Input {
	services := servicesByName(o)
	pools := map[model.PoolID]floor.Input{}
	counts := map[model.ServiceName]int{}
	for _, s := range o.Servers {
		id := poolOf(services, s)
		in, known := pools[id]
		if !known {
			counts[s.Service]++
		}
		in.Servers = append(in.Servers, floor.Server{ID: s.ID, Slots: s.Slots, State: floorState(s, ejectedByHealth)})
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

// servicesByName indexes the services by name, to look up the service of a server.
func servicesByName(o snapshot.Objects) map[model.ServiceName]*snapshot.Service {
	services := make(map[model.ServiceName]*snapshot.Service, len(o.Services))
	for i := range o.Services {
		services[o.Services[i].Name] = &o.Services[i]
	}
	return services
}

// poolOf returns the pool of a server. It returns the zero PoolID if the server's
// service does not exist, which validation prevents.
func poolOf(services map[model.ServiceName]*snapshot.Service, s snapshot.Server) model.PoolID {
	service, ok := services[s.Service]
	if !ok {
		return model.PoolID{}
	}
	return service.PoolOf(s)
}

func floorState(s snapshot.Server, ejectedByHealth map[model.ServerID]bool) floor.State {
	switch {
	case s.State == snapshot.ServerEjected:
		return floor.EjectedByOperator
	case s.State == snapshot.ServerDraining:
		return floor.Leaving
	case ejectedByHealth[s.ID]:
		return floor.EjectedByHealth
	}
	return floor.Serving
}

// checkPool returns a *FloorError if the pool, as it is after the change, is below
// its floor.
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
