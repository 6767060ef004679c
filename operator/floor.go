package operator

import (
	"math"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// poolKey names the servers of one service in one data centre. Shards are not
// distinguished, because their members are chosen by the daemons.
type poolKey struct {
	service    model.ServiceName
	dataCentre model.DataCentre
}

// shareTolerance keeps a share such as 0.7 of 10 slots, which is slightly more
// than 7 in binary floating point, from being rounded up to 8.
const shareTolerance = 1e-9

// checkFloor returns a *FloorError if a server that the change ejects would
// leave its pool below the floor. Servers that are draining or ejected count as
// lost, and so do those in down, which the fleet itself has ejected.
func checkFloor(before, after snapshot.Objects, down map[model.ServerID]bool) error {
	for key := range ejectedPools(before, after) {
		if err := checkPool(key, after, down); err != nil {
			return err
		}
	}
	return nil
}

// ejectedPools returns the pools in which a server becomes ejected. A server
// that was already draining or is created ejected takes no capacity away.
func ejectedPools(before, after snapshot.Objects) map[poolKey]bool {
	active := map[model.ServerID]bool{}
	for _, s := range before.Servers {
		active[s.ID] = isActive(s)
	}
	pools := map[poolKey]bool{}
	for _, s := range after.Servers {
		if s.State == snapshot.ServerEjected && active[s.ID] {
			pools[poolKey{s.Service, s.DataCentre}] = true
		}
	}
	return pools
}

func isActive(s snapshot.Server) bool {
	return s.State == snapshot.ServerActive || s.State == ""
}

func checkPool(key poolKey, o snapshot.Objects, down map[model.ServerID]bool) error {
	e := &FloorError{Service: key.service, DataCentre: key.dataCentre}
	var slots, poolServers, serviceServers int
	for _, s := range o.Servers {
		if s.Service != key.service {
			continue
		}
		serviceServers++
		if s.DataCentre != key.dataCentre {
			continue
		}
		poolServers++
		slots += s.Slots
		if isActive(s) && !down[s.ID] {
			e.RemainingServers++
			e.RemainingSlots += s.Slots
		}
	}
	floor := serviceFloor(o, key.service)
	e.RequiredSlots = int(math.Ceil(floor.Share*float64(slots) - shareTolerance))
	e.RequiredServers = minServersPart(floor.MinServers, poolServers, serviceServers)
	if e.RemainingSlots < e.RequiredSlots || e.RemainingServers < e.RequiredServers {
		return e
	}
	return nil
}

// minServersPart divides a service's minimum count among its pools in
// proportion to their servers, rounded up.
func minServersPart(minServers, poolServers, serviceServers int) int {
	if serviceServers == 0 {
		return 0
	}
	return (minServers*poolServers + serviceServers - 1) / serviceServers
}

func serviceFloor(o snapshot.Objects, name model.ServiceName) snapshot.Floor {
	for _, s := range o.Services {
		if s.Name == name {
			return s.Floor
		}
	}
	return snapshot.Floor{}
}

// mergeChange returns the objects that the change would leave.
func mergeChange(current snapshot.Objects, put snapshot.Objects, deletes []snapshot.Ref) snapshot.Objects {
	gone := map[snapshot.Ref]bool{}
	for ref := range indexObjects(put) {
		gone[ref] = true
	}
	for _, ref := range deletes {
		gone[ref] = true
	}
	var out snapshot.Objects
	for _, s := range current.Services {
		if !gone[snapshot.Ref{Kind: snapshot.KindService, Name: string(s.Name)}] {
			out.Services = append(out.Services, s)
		}
	}
	for _, s := range current.Servers {
		if !gone[snapshot.Ref{Kind: snapshot.KindServer, Name: string(s.ID)}] {
			out.Servers = append(out.Servers, s)
		}
	}
	// The floor depends on services and servers only.
	out.Services = append(out.Services, put.Services...)
	out.Servers = append(out.Servers, put.Servers...)
	return out
}
