package snapshot

import (
	"github.com/cespare/xxhash/v2"

	"github.com/agateusher/agateusher/core/model"
)

// PoolOf returns the pool of a server of the service. The shard is a hash of
// the server ID, so that adding or removing a server moves no other server.
func (s *Service) PoolOf(x Server) model.PoolID {
	id := model.PoolID{Service: s.Name, DataCentre: x.DataCentre}
	if s.Shards > 1 {
		id.Shard = int(xxhash.Sum64String(string(x.ID)) % uint64(s.Shards))
	}
	return id
}

// MinServersPerPool returns the service-wide minimum divided by the number of
// pools, rounded up.
func (f Floor) MinServersPerPool(pools int) int {
	if pools <= 1 {
		return f.MinServers
	}
	return (f.MinServers + pools - 1) / pools
}
