package configstore

import (
	"slices"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
)

// RelaysPerDataCentre is how many hosts of a data centre watch the head in the
// object API. With two, the failure of one causes no delay.
const RelaysPerDataCentre = 2

// IsRelay reports whether a host is one of the relays of its data centre. Hosts
// are the live hosts of that data centre. If hosts disagree about the live
// hosts, there are temporarily a few more or fewer watches, which is harmless.
func IsRelay(self model.HostID, dc model.DataCentre, hosts []model.HostID) bool {
	return slices.Contains(ranking.Top("config-relay/"+string(dc), hosts, RelaysPerDataCentre), self)
}
