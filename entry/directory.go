package entry

import (
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/fleet"
)

// Directory looks up the hosts of the fleet.
type Directory interface {
	// Owners returns at most n live hosts of the pool's data centre, in order of
	// their rank for the pool.
	Owners(id model.PoolID, n int) []fleet.Peer
	// Peer returns a host's address and data centre, or false if the host is not
	// known.
	Peer(id model.HostID) (fleet.Peer, model.DataCentre, bool)
	// Successor returns the host that took over the keys of a stopped
	// incarnation, or false if there is none.
	Successor(id model.Incarnation) (model.HostID, bool)
}

// Catalog is the configuration in force. All its results belong to one epoch.
type Catalog interface {
	Epoch() model.Epoch
	Match(host, method, path string) (*snapshot.Route, bool)
	Route(name model.RouteName) (*snapshot.Route, bool)
	Service(name model.ServiceName) (*snapshot.Service, bool)
	// Pools returns the service's pools in order of preference for this host:
	// its own data centre, its region, then others.
	Pools(name model.ServiceName) []PoolChoice
}

// PoolChoice is a candidate pool for a request.
type PoolChoice struct {
	Pool model.PoolID
	// Distance is 0 in this data centre, 1 in this region, 2 in another region.
	Distance int
}
