package capacity

import (
	"fmt"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
)

// Sizes counts the objects of a configuration.
type Sizes struct {
	Services   int `json:"services"`
	Servers    int `json:"servers"`
	Routes     int `json:"routes"`
	Workspaces int `json:"workspaces"`
}

// TargetSizes is the configuration at the target scale of the design page.
var TargetSizes = Sizes{Services: 5_000, Servers: 160_000, Routes: 170_000, Workspaces: 710_000}

const (
	targetRegions     = 4
	targetDataCentres = 15
	// dataCentresPerService is the number of data centres that have servers of
	// a service. Their numbers are consecutive, so there is one in each region.
	dataCentresPerService = 4
	routeHostNames        = 200
	// workspacesPerTunedWorkspace is the reciprocal of the share of workspaces
	// that have a weight and rate limit of their own.
	workspacesPerTunedWorkspace = 50
	// routesPerKeyedRoute is the reciprocal of the share of routes that need an
	// idempotency key.
	routesPerKeyedRoute = 4
)

func dataCentre(i int) model.DataCentre {
	i %= targetDataCentres
	return model.DataCentre(fmt.Sprintf("region-%d-dc-%02d", i%targetRegions, i))
}

func serviceName(i int) model.ServiceName { return model.ServiceName(fmt.Sprintf("service-%04d", i)) }

// Objects returns a valid configuration of the given sizes. Names have 12 to
// 18 bytes; one workspace in 50 has a weight and rate limit of its own, and one
// route in four is not repeatable.
func Objects(n Sizes) snapshot.Objects {
	var o snapshot.Objects
	for i := range n.Services {
		o.Services = append(o.Services, snapshot.Service{
			Name: serviceName(i), Floor: snapshot.Floor{Share: 0.5, MinServers: 2}, Policy: snapshot.PolicyRidemark,
			DeadlineMs: 2000, RetryBudgetShare: 0.1, QueueLimit: 200, CancelPath: "/requests/{id}", Shards: 1,
		})
	}
	for i := range n.Servers {
		o.Servers = append(o.Servers, Server(i, n.Services))
	}
	for i := range n.Routes {
		o.Routes = append(o.Routes, route(i, n.Services))
	}
	for i := range n.Workspaces {
		w := snapshot.Workspace{ID: model.WorkspaceID(fmt.Sprintf("workspace-%06d", i)), Weight: 1}
		if i%workspacesPerTunedWorkspace == 0 {
			w.Weight, w.RatePerSecond = 4, 100
		}
		o.Workspaces = append(o.Workspaces, w)
	}
	return o.Normalized()
}

// Server returns the i-th backend server of a configuration with the given number
// of services.
func Server(i, services int) snapshot.Server {
	return snapshot.Server{
		ID: model.ServerID(fmt.Sprintf("server-%06d", i)), Service: serviceName(i % services), DataCentre: dataCentre(i%services + i/services%dataCentresPerService),
		Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16&255, i>>8&255, i&255), Slots: 2, Connections: 330, State: snapshot.ServerActive,
	}
}

func route(i, services int) snapshot.Route {
	r := snapshot.Route{
		Name: model.RouteName(fmt.Sprintf("route-%06d", i)), Host: fmt.Sprintf("api-%03d.example", i%routeHostNames),
		PathPrefix: fmt.Sprintf("/v1/r%06d", i), Methods: []string{"GET"}, Service: serviceName(i % services), Repeatable: true,
	}
	if i%routesPerKeyedRoute == 0 {
		r.Methods, r.Repeatable = []string{"POST"}, false
	}
	return r
}
