// Package ranking orders hosts by rendezvous hashing, so that every daemon
// that sees the same hosts names the same pool owner without communication,
// and the loss of a host moves only that host's pools.
//
// The few lines of rendezvous hashing are written here rather than taken from
// a library because the ranking of all hosts is needed, not only the first.
package ranking

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/agateusher/agateusher/core/model"
)

type scored struct {
	host  model.HostID
	score uint64
}

// Rank returns the hosts ordered by their weight for key, highest first. Equal
// weights are ordered by name. The argument is not changed.
func Rank(key string, hosts []model.HostID) []model.HostID {
	scores := make([]scored, len(hosts))
	for i, h := range hosts {
		scores[i] = scored{host: h, score: Score(key, h)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
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

// Top returns the first n of Rank, or fewer if there are fewer hosts.
func Top(key string, hosts []model.HostID, n int) []model.HostID {
	ranked := Rank(key, hosts)
	return ranked[:min(n, len(ranked))]
}

// Score returns the weight of one host for key.
func Score(key string, host model.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
