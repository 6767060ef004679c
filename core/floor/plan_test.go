package floor

import (
	"fmt"
	"math/big"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/agateusher/agateusher/core/model"
)

func drawInput(t *rapid.T) Input {
	n := rapid.IntRange(0, 12).Draw(t, "n")
	in := Input{Limits: Limits{
		Share:      float64(rapid.IntRange(0, 100).Draw(t, "percent")) / 100,
		MinServers: rapid.IntRange(0, 8).Draw(t, "min"),
	}}
	for i := range n {
		in.Servers = append(in.Servers, Server{
			ID:    model.ServerID(fmt.Sprintf("s%02d", i)),
			Slots: rapid.IntRange(0, 4).Draw(t, "slots"),
			State: State(rapid.IntRange(1, 4).Draw(t, "state")),
			Score: float64(rapid.IntRange(0, 5).Draw(t, "score")),
		})
	}
	return in
}

// meets reports whether the servers for which serves is true cover both limits.
// It computes this independently of Plan, in whole percents and exact fractions.
func meets(in Input, serves func(Server) bool) bool {
	configured, slots, servers := 0, 0, 0
	for _, s := range in.Servers {
		configured += s.Slots
		if serves(s) && s.Slots > 0 {
			slots += s.Slots
			servers++
		}
	}
	percent := int64(in.Limits.Share*100 + 0.5)
	need := big.NewRat(percent*int64(configured), 100)
	return big.NewRat(int64(slots), 1).Cmp(need) >= 0 && servers >= in.Limits.MinServers
}

func serving(s Server) bool { return s.State == Serving }

// Guards against ejecting servers below the floor, keeping a suspect that the
// floor allows to eject, a wrong order of suspects, and ejecting while the pool
// is already below its floor, for example because of drains.
func TestEjectionsKeepTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		r := Plan(in)
		after := func(s Server) bool { return serving(s) && !slices.Contains(r.Eject, s.ID) }
		if !meets(in, serving) && len(r.Eject) > 0 {
			t.Fatalf("ejects %v below the floor", r.Eject)
		}
		if meets(in, serving) && !meets(in, after) {
			t.Fatalf("ejecting %v breaks the floor", r.Eject)
		}
		for _, kept := range r.KeepSuspect {
			without := func(s Server) bool { return after(s) && s.ID != kept }
			if meets(in, serving) && meets(in, without) {
				t.Fatalf("keeps %s although the floor allows its ejection", kept)
			}
		}
		checkLists(t, in, r)
	})
}

func checkLists(t *rapid.T, in Input, r Result) {
	score := map[model.ServerID]float64{}
	suspects := 0
	for _, s := range in.Servers {
		score[s.ID] = s.Score
		if s.State == Serving && s.Score > 0 {
			suspects++
		}
	}
	if len(r.Eject)+len(r.KeepSuspect) != suspects {
		t.Fatalf("%d suspects, got %+v", suspects, r)
	}
	byScore := func(a, b model.ServerID) int { return int(score[b] - score[a]) }
	if !slices.IsSortedFunc(r.Eject, byScore) || !slices.IsSortedFunc(r.KeepSuspect, byScore) {
		t.Fatalf("not worst first: %+v", r)
	}
	seen := map[model.ServerID]bool{}
	for _, id := range slices.Concat(r.Eject, r.KeepSuspect, r.ReadmitEarly) {
		if seen[id] {
			t.Fatalf("%s is in two lists", id)
		}
		seen[id] = true
	}
}

// Guards against leaving a pool below its floor while servers ejected by health
// could return, and against readmitting more servers than needed, or servers with
// a higher score than others that stay ejected.
func TestReadmissionsRestoreTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		r := Plan(in)
		if meets(in, serving) {
			if len(r.ReadmitEarly) > 0 {
				t.Fatalf("readmits %v above the floor", r.ReadmitEarly)
			}
			return
		}
		with := func(back []model.ServerID) func(Server) bool {
			return func(s Server) bool { return serving(s) || slices.Contains(back, s.ID) }
		}
		all := func(s Server) bool { return serving(s) || s.State == EjectedByHealth }
		if meets(in, all) && !meets(in, with(r.ReadmitEarly)) {
			t.Fatalf("readmitting %v does not restore the floor", r.ReadmitEarly)
		}
		if n := len(r.ReadmitEarly); n > 0 && meets(in, with(r.ReadmitEarly[:n-1])) {
			t.Fatalf("readmits more than needed: %v", r.ReadmitEarly)
		}
		for _, s := range in.Servers {
			for _, id := range r.ReadmitEarly {
				i := slices.IndexFunc(in.Servers, func(o Server) bool { return o.ID == id })
				better := s.State == EjectedByHealth && s.Slots > 0 && s.Score < in.Servers[i].Score
				if better && !slices.Contains(r.ReadmitEarly, s.ID) {
					t.Fatalf("readmits %s before the less suspect %s", id, s.ID)
				}
			}
		}
	})
}

// Guards against servers that alternate between ejection and readmission: after
// plans have been applied there must be nothing left to eject or readmit until
// the input changes.
func TestPlanIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for range 2 * len(in.Servers) {
			r := Plan(in)
			if len(r.Eject)+len(r.ReadmitEarly) == 0 {
				return
			}
			for i, s := range in.Servers {
				if slices.Contains(r.Eject, s.ID) {
					in.Servers[i].State = EjectedByHealth
				} else if slices.Contains(r.ReadmitEarly, s.ID) {
					in.Servers[i].State = Serving
				}
			}
		}
		if r := Plan(in); len(r.Eject)+len(r.ReadmitEarly) > 0 {
			t.Fatalf("does not settle: %+v", r)
		}
	})
}

// Guards against counting leaving and operator-ejected servers as serving
// capacity and against rounding the share down.
func TestPlanExamples(t *testing.T) {
	s := func(id string, state State, score float64) Server {
		return Server{ID: model.ServerID(id), Slots: 2, State: state, Score: score}
	}
	type idList = []model.ServerID
	cases := map[string]struct {
		in   Input
		want Result
	}{
		"share rounded up": {
			Input{Servers: []Server{s("a", Serving, 3), s("b", Serving, 9), s("c", Serving, 0)}, Limits: Limits{Share: 0.5}},
			Result{Eject: idList{"b"}, KeepSuspect: idList{"a"}}},
		"leaving is lost": {
			Input{Servers: []Server{s("a", Serving, 3), s("b", Leaving, 0), s("c", EjectedByOperator, 0), s("d", Serving, 0)}, Limits: Limits{Share: 0.5}},
			Result{KeepSuspect: idList{"a"}}},
		"minimum count": {
			Input{Servers: []Server{s("a", Serving, 3), s("b", Serving, 0)}, Limits: Limits{MinServers: 2}},
			Result{KeepSuspect: idList{"a"}}},
		"raised floor": {
			Input{Servers: []Server{s("a", EjectedByHealth, 3), s("b", EjectedByHealth, 1), s("c", Serving, 7)}, Limits: Limits{MinServers: 2}},
			Result{KeepSuspect: idList{"c"}, ReadmitEarly: idList{"b"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(Plan(c.in)).To(Equal(c.want))
		})
	}
	g := NewWithT(t)
	g.Expect(CanRemove(cases["minimum count"].in, "a")).To(BeFalse())
	g.Expect(CanRemove(cases["share rounded up"].in, "a")).To(BeTrue())
}
