package apiserver

import (
	"context"

	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/operator"
)

// platformHosts is an operator.HostLister that reads the platform's host list.
type platformHosts struct {
	api objectapi.Store
}

// Hosts implements operator.HostLister.
func (p platformHosts) Hosts(ctx context.Context) ([]operator.Host, error) {
	listed, err := p.api.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	hosts := make([]operator.Host, len(listed))
	for i, h := range listed {
		hosts[i] = operator.Host{ID: h.ID, DataCentre: h.DataCentre, State: h.State, AdminAddress: h.AdminAddress}
	}
	return hosts, nil
}

// staticHosts is an operator.HostLister with the host list of the settings. All
// its hosts count as live.
type staticHosts []ListedHost

// Hosts implements operator.HostLister.
func (s staticHosts) Hosts(context.Context) ([]operator.Host, error) {
	hosts := make([]operator.Host, len(s))
	for i, h := range s {
		hosts[i] = operator.Host{ID: h.ID, DataCentre: h.DataCentre, State: objectapi.HostLive, AdminAddress: h.AdminAddress}
	}
	return hosts, nil
}

func hostLister(s HostSettings, api objectapi.Store) operator.HostLister {
	if len(s.List) > 0 {
		return staticHosts(s.List)
	}
	return platformHosts{api}
}
