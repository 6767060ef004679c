package apiserver

import (
	"context"

	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/operator"
)

// platformHosts is the platform's host list as an operator.HostLister.
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

// fixedHosts is the list of the settings as an operator.HostLister.
type fixedHosts []ListedHost

// Hosts implements operator.HostLister.
func (f fixedHosts) Hosts(context.Context) ([]operator.Host, error) {
	hosts := make([]operator.Host, len(f))
	for i, h := range f {
		hosts[i] = operator.Host{ID: h.ID, DataCentre: h.DataCentre, State: objectapi.HostLive, AdminAddress: h.AdminAddress}
	}
	return hosts, nil
}

func hostLister(s HostSettings, api objectapi.Store) operator.HostLister {
	if len(s.List) > 0 {
		return fixedHosts(s.List)
	}
	return platformHosts{api}
}
