// Package ranking orders hosts by rendezvous hashing. Daemons that see the same
// hosts choose the same pool owner without communication, and the loss of a host
// moves only that host's pools.
//
// No library is used because the code is short and the ranking of all hosts is
// needed, not only the first.
package ranking

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/agateusher/agateusher/core/model"
)

type hostScore struct {
	host  model.HostID
	score uint64
}

// Rank returns the hosts ordered by their score for key, highest first. Hosts of
// equal score are ordered by ID. The argument is not changed.
func Rank(key string, hosts []model.HostID) []model.HostID {
	scores := make([]hostScore, len(hosts))
	for i, h := range hosts {
		scores[i] = hostScore{host: h, score: Score(key, h)}
	}
	slices.SortFunc(scores, func(a, b hostScore) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.host, b.host)
	})
	ranked := make([]model.HostID, len(hosts))
	for i, s := range scores {
		ranked[i] = s.host
	}
	return ranked
}

// Top returns the n highest-ranked hosts for key, or all if there are fewer.
func Top(key string, hosts []model.HostID, n int) []model.HostID {
	ranked := Rank(key, hosts)
	return ranked[:min(n, len(ranked))]
}

// Score returns the rendezvous hash of key and host.
func Score(key string, host model.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
