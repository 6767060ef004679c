package capacity

import (
	"encoding/json"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/objectapi"
)

// measureHostList measures the platform's host list as a relay reads it.
func measureHostList() ([]Fit, error) {
	f := Fit{Name: "hostlist.bytes", Per: "host", Unit: "bytes/read", Mechanism: "objectapi Hosts: the whole list at each read, as JSON"}
	for _, n := range []int{10, 50, 200, 7_000} {
		list := make([]objectapi.Host, n)
		for i := range list {
			h := membershipHost(i, targetDataCentres)
			list[i] = objectapi.Host{
				ID: h.ID, DataCentre: h.DataCentre, Region: model.Region(h.Region), State: objectapi.HostLive,
				CallerAddress: h.FleetAddress, FleetAddress: h.FleetAddress, PeerAddress: h.PeerAddress, AdminAddress: h.PeerAddress,
			}
		}
		data, err := json.Marshal(list)
		if err != nil {
			return nil, err
		}
		f.Points = append(f.Points, Point{float64(n), float64(len(data))})
	}
	return []Fit{f}, nil
}
