package random

import (
	"sync"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
	"github.com/agateusher/agateusher/core/routing"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/entry"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/owner"
)

const (
	serviceName = model.ServiceName("booking")
	dataCentre  = model.DataCentre("lagos-1")
)

var testPool = model.PoolID{Service: serviceName, DataCentre: dataCentre}

// catalog is the fixed configuration of one host. The addresses of the servers
// are those of the host's own relays.
type catalog struct {
	routes  *routing.Table
	service snapshot.Service
	servers []snapshot.Server
}

func (c *catalog) Epoch() model.Epoch { return 1 }

func (c *catalog) Match(host, method, path string) (*snapshot.Route, bool) {
	return c.routes.Match(host, method, path)
}

func (c *catalog) Route(name model.RouteName) (*snapshot.Route, bool) { return c.routes.ByName(name) }

func (c *catalog) Service(name model.ServiceName) (*snapshot.Service, bool) {
	return &c.service, name == serviceName
}

func (c *catalog) Pools(model.ServiceName) []entry.PoolChoice {
	return []entry.PoolChoice{{Pool: testPool}}
}

func (c *catalog) PoolServers(model.PoolID) []snapshot.Server { return c.servers }

func (c *catalog) Weight(model.WorkspaceID) float64 { return 1 }

func (c *catalog) Rates(model.WorkspaceID, model.RouteName) owner.Rates { return owner.Rates{} }

func (c *catalog) PoolCount(model.ServiceName) int { return 1 }

// members is the membership state that all hosts share.
type members struct {
	mu         sync.Mutex
	live       map[model.HostID]bool
	successors map[model.Incarnation]model.HostID
}

func (m *members) set(id model.HostID, live bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if live {
		m.live[id] = true
	} else {
		delete(m.live, id)
	}
}

func (m *members) ranked(id model.PoolID, n int) []model.HostID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var hosts []model.HostID
	for h := range m.live {
		hosts = append(hosts, h)
	}
	return ranking.Top(id.String(), hosts, n)
}

func (m *members) setSuccessor(issuers []model.Incarnation, successor model.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, i := range issuers {
		m.successors[i] = successor
	}
}

// directory is one host's view of the fleet, with its own relays as the
// addresses of the other hosts.
type directory struct {
	members   *members
	addresses map[model.HostID]string
}

func (d *directory) Owners(id model.PoolID, n int) []fleet.Peer {
	var list []fleet.Peer
	for _, h := range d.members.ranked(id, n) {
		list = append(list, fleet.Peer{Host: h, Address: d.addresses[h]})
	}
	return list
}

func (d *directory) Peer(id model.HostID) (fleet.Peer, model.DataCentre, bool) {
	address, ok := d.addresses[id]
	return fleet.Peer{Host: id, Address: address}, dataCentre, ok
}

func (d *directory) Successor(id model.Incarnation) (model.HostID, bool) {
	d.members.mu.Lock()
	defer d.members.mu.Unlock()
	h, ok := d.members.successors[id]
	return h, ok
}
