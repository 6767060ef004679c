package floor

import (
	"cmp"
	"math"
	"slices"

	"github.com/agateusher/agateusher/core/invariant"
	"github.com/agateusher/agateusher/core/model"
)

// shareRoundingSlack compensates for rounding errors in Share times slots, so that
// 0.7 of 10 slots is 7 and not 8. It is far below one slot.
const shareRoundingSlack = 1e-9

// capacity is an amount of serving capacity; servers counts those with slots.
type capacity struct {
	slots   int
	servers int
}

func (c capacity) covers(need capacity) bool {
	return c.slots >= need.slots && c.servers >= need.servers
}

func (c capacity) plus(s Server) capacity {
	if s.Slots <= 0 {
		return c
	}
	return capacity{slots: c.slots + s.Slots, servers: c.servers + 1}
}

func (c capacity) minus(s Server) capacity {
	if s.Slots <= 0 {
		return c
	}
	return capacity{slots: c.slots - s.Slots, servers: c.servers - 1}
}

// Plan decides which suspects to eject, which to keep in service because of the
// floor, and which servers ejected by health must return. Only servers in state
// Serving count as serving capacity, but all servers count as configured
// capacity. A server without slots counts as neither. While the serving capacity
// is below the floor, no server is ejected. Servers with equal scores are ordered
// by ID, so the result does not depend on the order of in.Servers. Share is
// clamped to 0..1; a score of zero or less, or NaN, means not suspected.
//
// An ejected server is never readmitted to make room for ejecting a worse one:
// servers with close scores would alternate between the two states.
func Plan(in Input) Result {
	need := required(in)
	serving := servingCapacity(in.Servers)
	if !serving.covers(need) {
		return Result{KeepSuspect: ids(suspects(in.Servers)), ReadmitEarly: readmit(in.Servers, serving, need)}
	}
	var r Result
	for _, s := range suspects(in.Servers) {
		if left := serving.minus(s); left.covers(need) {
			serving = left
			r.Eject = append(r.Eject, s.ID)
		} else {
			r.KeepSuspect = append(r.KeepSuspect, s.ID)
		}
	}
	invariant.Check(serving.covers(need), invariant.Floor, "plan leaves %d slots on %d servers; the floor is %d slots on %d servers",
		serving.slots, serving.servers, need.slots, need.servers)
	return r
}

// Required returns the numbers of slots and servers that must stay in service.
func Required(in Input) (slots, servers int) {
	c := required(in)
	return c.slots, c.servers
}

// CanRemove reports whether the serving capacity without the given server
// still covers the floor. It is used to check manual ejections. It returns true
// for a server that is not serving, has no slots or is not in the input.
func CanRemove(in Input, id model.ServerID) bool {
	left := servingCapacity(in.Servers)
	for _, s := range in.Servers {
		if s.ID == id && s.State == Serving {
			return s.Slots <= 0 || left.minus(s).covers(required(in))
		}
	}
	return true
}

func required(in Input) capacity {
	configured := 0
	for _, s := range in.Servers {
		configured += max(s.Slots, 0)
	}
	share := in.Limits.Share
	if !(share > 0) {
		share = 0
	}
	slots := math.Ceil(min(share, 1)*float64(configured) - shareRoundingSlack)
	return capacity{slots: max(int(slots), 0), servers: max(in.Limits.MinServers, 0)}
}

func servingCapacity(servers []Server) capacity {
	var c capacity
	for _, s := range servers {
		if s.State == Serving {
			c = c.plus(s)
		}
	}
	return c
}

// suspects returns the serving suspects, worst first.
func suspects(servers []Server) []Server {
	list := filter(servers, func(s Server) bool { return s.State == Serving && s.Score > 0 })
	slices.SortFunc(list, func(a, b Server) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// readmit returns the servers to readmit: as few as restore the floor, taken from
// the lowest score up, or all servers ejected by health if these do not suffice.
func readmit(servers []Server, serving, need capacity) []model.ServerID {
	list := filter(servers, func(s Server) bool { return s.State == EjectedByHealth && s.Slots > 0 })
	slices.SortFunc(list, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.ID, b.ID))
	})
	for i, s := range list {
		if serving.covers(need) {
			return ids(list[:i])
		}
		serving = serving.plus(s)
	}
	return ids(list)
}

func filter(servers []Server, keep func(Server) bool) []Server {
	var list []Server
	for _, s := range servers {
		if keep(s) {
			list = append(list, s)
		}
	}
	return list
}

func ids(servers []Server) []model.ServerID {
	var list []model.ServerID
	for _, s := range servers {
		list = append(list, s.ID)
	}
	return list
}
