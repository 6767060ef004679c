package workspace

import (
	"cmp"
	"maps"
	"slices"

	"github.com/agateusher/agateusher/core/model"
)

// Result is what became of a request of a workspace.
type Result uint8

const (
	// Admitted: the request was sent to a server.
	Admitted Result = iota
	// OverQuota: the request was refused because of the workspace's quota.
	OverQuota
	// Refused: the request was not sent to a server for another reason.
	Refused
)

// ResultNames are the names of the results in metrics.
var ResultNames = [...]string{Admitted: "admitted", OverQuota: "over-quota", Refused: "refused"}

// Counts are numbers of requests by result.
type Counts [len(ResultNames)]uint64

// promotionFactor is how much more traffic than the smallest named workspace another
// one must have to be named in its place. It keeps workspaces of about equal traffic
// from replacing each other all the time.
const promotionFactor = 1.5

// Usage counts the requests of workspaces: the largest by traffic by name, the rest
// together. No count ever falls, except that a workspace that is named again starts from
// zero.
type Usage struct {
	limit int
	named map[model.WorkspaceID]*Counts
	other Counts
	// recent are numbers of requests that decay with each Rebalance.
	recent map[model.WorkspaceID]uint64
}

// NewUsage returns a Usage that names at most limit workspaces.
func NewUsage(limit int) *Usage {
	return &Usage{limit: limit, named: map[model.WorkspaceID]*Counts{}, recent: map[model.WorkspaceID]uint64{}}
}

// Record counts a request.
func (u *Usage) Record(name model.WorkspaceID, r Result) {
	u.recent[name]++
	c := u.named[name]
	if c == nil && len(u.named) < u.limit {
		c = &Counts{}
		u.named[name] = c
	}
	if c == nil {
		c = &u.other
	}
	c[r]++
}

// Rebalance names workspaces that have become larger than named ones, and lets the
// numbers that this is decided by decay. It is called at a fixed interval.
func (u *Usage) Rebalance() {
	byTraffic := func(a, b model.WorkspaceID) int {
		return cmp.Or(cmp.Compare(u.recent[b], u.recent[a]), cmp.Compare(a, b))
	}
	var rest []model.WorkspaceID
	for name := range u.recent {
		if u.named[name] == nil {
			rest = append(rest, name)
		}
	}
	slices.SortFunc(rest, byTraffic)
	named := slices.SortedFunc(maps.Keys(u.named), byTraffic)
	for i, name := range rest {
		last := len(named) - 1 - i
		if last < 0 || float64(u.recent[name]) <= promotionFactor*float64(u.recent[named[last]]) {
			break
		}
		for r, n := range u.named[named[last]] {
			u.other[r] += n
		}
		delete(u.named, named[last])
		u.named[name] = &Counts{}
	}
	for name, n := range u.recent {
		if u.recent[name] = n / 2; n < 2 {
			delete(u.recent, name)
		}
	}
}

// Each calls f with the counts of the named workspaces, and returns those of the rest.
func (u *Usage) Each(f func(model.WorkspaceID, Counts)) (other Counts) {
	for name, c := range u.named {
		f(name, *c)
	}
	return u.other
}
