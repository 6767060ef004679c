package daemon

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/routing"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/entry"
	"github.com/agateusher/agateusher/owner"
)

// RegionLocator returns the region of a data centre.
type RegionLocator interface {
	Region(dc model.DataCentre) model.Region
}

// catalog is the compiled form of one snapshot, as one host sees it.
type catalog struct {
	epoch    model.Epoch
	routes   *routing.Table
	services map[model.ServiceName]*snapshot.Service
	// allServers are the snapshot's servers. serverIndices are, for each pool,
	// the indices of its servers in allServers; copies of the servers would take
	// 96 bytes each.
	allServers       []snapshot.Server
	serverIndices    map[model.PoolID][]int32
	pools            map[model.ServiceName][]entry.PoolChoice
	workspaceWeights map[model.WorkspaceID]float64
	workspaceRates   map[model.WorkspaceID]float64
}

// CompileCatalog returns the catalogue that a daemon on the host compiles from a
// snapshot at each epoch. It is exported so that package capacity can measure
// it. The error is a *routing.DuplicateRouteError.
func CompileCatalog(s *snapshot.Snapshot, host HostSettings, locator RegionLocator) (entry.Catalog, error) {
	return compile(s, host, locator)
}

// compile builds the catalogue of a snapshot for a host.
func compile(s *snapshot.Snapshot, host HostSettings, locator RegionLocator) (*catalog, error) {
	routes, err := routing.Compile(s.Objects.Routes)
	if err != nil {
		return nil, err
	}
	c := &catalog{
		epoch: s.Epoch, routes: routes,
		services:         make(map[model.ServiceName]*snapshot.Service, len(s.Objects.Services)),
		allServers:       s.Objects.Servers,
		serverIndices:    map[model.PoolID][]int32{},
		pools:            map[model.ServiceName][]entry.PoolChoice{},
		workspaceWeights: map[model.WorkspaceID]float64{},
		workspaceRates:   map[model.WorkspaceID]float64{},
	}
	for i := range s.Objects.Services {
		c.services[s.Objects.Services[i].Name] = &s.Objects.Services[i]
	}
	for i := range c.allServers {
		if service, ok := c.services[c.allServers[i].Service]; ok {
			id := service.PoolOf(c.allServers[i])
			c.serverIndices[id] = append(c.serverIndices[id], int32(i))
		}
	}
	for id := range c.serverIndices {
		c.pools[id.Service] = append(c.pools[id.Service], entry.PoolChoice{Pool: id, Distance: distance(id.DataCentre, host, locator)})
	}
	for _, list := range c.pools {
		slices.SortFunc(list, func(a, b entry.PoolChoice) int {
			return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.Pool.String(), b.Pool.String()))
		})
	}
	for _, w := range s.Objects.Workspaces {
		if w.Weight != 1 && w.Weight > 0 {
			c.workspaceWeights[w.ID] = w.Weight
		}
		if w.RatePerSecond > 0 {
			c.workspaceRates[w.ID] = w.RatePerSecond
		}
	}
	return c, nil
}

// distance returns 0 for the host's data centre, 1 for another one in its
// region, 2 for all others.
func distance(dc model.DataCentre, host HostSettings, locator RegionLocator) int {
	switch {
	case dc == host.DataCentre:
		return 0
	case locator.Region(dc) == host.Region:
		return 1
	}
	return 2
}

// Epoch implements entry.Catalog.
func (c *catalog) Epoch() model.Epoch { return c.epoch }

// Match implements entry.Catalog.
func (c *catalog) Match(host, method, path string) (*snapshot.Route, bool) {
	return c.routes.Match(host, method, path)
}

// Route implements entry.Catalog.
func (c *catalog) Route(name model.RouteName) (*snapshot.Route, bool) { return c.routes.ByName(name) }

// Service implements entry.Catalog.
func (c *catalog) Service(name model.ServiceName) (*snapshot.Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Pools implements entry.Catalog.
func (c *catalog) Pools(name model.ServiceName) []entry.PoolChoice { return c.pools[name] }

// liveCatalog provides the catalogue that is in effect to the owner.
type liveCatalog struct{ current atomic.Pointer[catalog] }

// Service implements owner.Catalog.
func (l *liveCatalog) Service(name model.ServiceName) (*snapshot.Service, bool) {
	if c := l.current.Load(); c != nil {
		return c.Service(name)
	}
	return nil, false
}

// PoolServers implements owner.Catalog.
func (l *liveCatalog) PoolServers(id model.PoolID) []snapshot.Server {
	c := l.current.Load()
	if c == nil {
		return nil
	}
	servers := make([]snapshot.Server, len(c.serverIndices[id]))
	for i, index := range c.serverIndices[id] {
		servers[i] = c.allServers[index]
	}
	return servers
}

// Weight implements owner.Catalog.
func (l *liveCatalog) Weight(id model.WorkspaceID) float64 {
	if c := l.current.Load(); c != nil {
		if w, ok := c.workspaceWeights[id]; ok {
			return w
		}
	}
	return 1
}

// Rates implements owner.Catalog.
func (l *liveCatalog) Rates(w model.WorkspaceID, r model.RouteName) owner.Rates {
	c := l.current.Load()
	if c == nil {
		return owner.Rates{}
	}
	rates := owner.Rates{Workspace: c.workspaceRates[w]}
	if route, ok := c.Route(r); ok {
		rates.Route = route.RatePerSecond
	}
	return rates
}

// PoolCount implements owner.Catalog.
func (l *liveCatalog) PoolCount(name model.ServiceName) int {
	if c := l.current.Load(); c != nil {
		return len(c.pools[name])
	}
	return 1
}

// entryCatalog returns the catalogue that is in effect, or nil before the first
// configuration.
func (l *liveCatalog) entryCatalog() entry.Catalog {
	if c := l.current.Load(); c != nil {
		return c
	}
	return nil
}
