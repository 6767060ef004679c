package configstore

import (
	"slices"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/ranking"
)

// RelaysPerDataCentre is how many hosts of a data centre watch the head in the
// object API: one may fail without a delay.
const RelaysPerDataCentre = 2

// IsRelay reports whether a host is one of the relays of its data centre.
// Hosts are the live hosts of that data centre. Views of the hosts that differ
// lead to a few more or fewer watches for a while and do no harm.
func IsRelay(self model.HostID, dc model.DataCentre, hosts []model.HostID) bool {
	return slices.Contains(ranking.Top("config-relay/"+string(dc), hosts, RelaysPerDataCentre), self)
}
