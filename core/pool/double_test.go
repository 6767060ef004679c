package pool_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// stubDetector suspects the servers in scores and records the results of
// attempts.
type stubDetector struct {
	scores  map[model.ServerID]float64
	results map[model.ServerID][]detector.Result
	live    map[model.AttemptID]bool
	wake    time.Time
}

func newStubDetector() *stubDetector {
	return &stubDetector{
		scores:  make(map[model.ServerID]float64),
		results: make(map[model.ServerID][]detector.Result),
		live:    make(map[model.AttemptID]bool),
	}
}

func (d *stubDetector) Started(_ time.Time, _ model.ServerID, a model.AttemptID) { d.live[a] = true }

func (d *stubDetector) Finished(_ time.Time, s model.ServerID, a model.AttemptID, r detector.Result) {
	if !d.live[a] {
		panic(fmt.Sprintf("attempt %d ends twice", a))
	}
	delete(d.live, a)
	d.results[s] = append(d.results[s], r)
}

func (d *stubDetector) Reset(_ time.Time, s model.ServerID) { delete(d.scores, s) }
func (d *stubDetector) Forget(s model.ServerID)             { delete(d.scores, s) }

func (d *stubDetector) Suspects(time.Time) []detector.Suspicion {
	var out []detector.Suspicion
	for s, score := range d.scores {
		out = append(out, detector.Suspicion{Server: s, Score: score})
	}
	slices.SortFunc(out, func(a, b detector.Suspicion) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Server, b.Server))
	})
	return out
}

func (d *stubDetector) Evidence(_ time.Time, s model.ServerID) detector.Evidence {
	return detector.Evidence{Score: d.scores[s]}
}

func (d *stubDetector) NextWake(time.Time) time.Time { return d.wake }

// localPlan is a simple substitute for floor.Plan. It ejects the servers with the
// highest scores while the floor is kept, and readmits those with the lowest
// scores while it is not.
func localPlan(in floor.Input) floor.Result {
	configured, slots, servers := 0, 0, 0
	var suspects, ejected []floor.Server
	for _, s := range in.Servers {
		configured += s.Slots
		switch {
		case s.State == floor.Serving:
			slots += s.Slots
			servers++
			if s.Score > 0 {
				suspects = append(suspects, s)
			}
		case s.State == floor.EjectedByHealth:
			ejected = append(ejected, s)
		}
	}
	needed := int(math.Ceil(in.Limits.Share*float64(configured) - 1e-9))
	byScore := func(a, b floor.Server) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(suspects, byScore)
	slices.SortFunc(ejected, byScore)
	var out floor.Result
	for _, s := range slices.Backward(ejected) {
		if slots >= needed && servers >= in.Limits.MinServers {
			break
		}
		out.ReadmitEarly = append(out.ReadmitEarly, s.ID)
		slots, servers = slots+s.Slots, servers+1
	}
	for _, s := range suspects {
		if slots-s.Slots >= needed && servers-1 >= in.Limits.MinServers {
			out.Eject = append(out.Eject, s.ID)
			slots, servers = slots-s.Slots, servers-1
		} else {
			out.KeepSuspect = append(out.KeepSuspect, s.ID)
		}
	}
	return out
}

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after the start of the test.
func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// cancelHold is the CancelHold of the pools in the tests.
const cancelHold = 2 * time.Second

// fixture is a pool with its detector and configuration.
type fixture struct {
	pool     *pool.Pool
	detector *stubDetector
	cfg      pool.Config
}

// newFixture returns a pool of n servers with the given slots and a floor of
// half of them.
func newFixture(n, slots int, change func(*pool.Config)) *fixture {
	f := &fixture{detector: newStubDetector()}
	f.cfg = pool.Config{
		Limits: floor.Limits{Share: 0.5, MinServers: 1}, Plan: localPlan, Detector: f.detector,
		ReserveShare: -1, HedgePercentile: -1, CancelHold: cancelHold,
	}
	for i := range n {
		f.cfg.Servers = append(f.cfg.Servers, pool.Server{ID: serverID(i), Slots: slots})
	}
	if change != nil {
		change(&f.cfg)
	}
	f.pool = pool.New(f.cfg, at(0))
	return f
}

func serverID(i int) model.ServerID { return model.ServerID(fmt.Sprintf("s%d", i)) }

// repeatableRequest and nonRepeatableRequest return a request that arrives at ms
// and has a deadline of one second.
func repeatableRequest(id string, ms int) pool.Request {
	return pool.Request{
		ID: model.RequestID(id), Workspace: "w", Repeatable: true, Arrival: at(ms), Deadline: at(ms + 1000),
	}
}

func nonRepeatableRequest(id string, ms int) pool.Request {
	r := repeatableRequest(id, ms)
	r.Repeatable = false
	return r
}

// decisionsOf returns the decisions of type T.
func decisionsOf[T pool.Decision](ds []pool.Decision) []T {
	var out []T
	for _, d := range ds {
		if t, ok := d.(T); ok {
			out = append(out, t)
		}
	}
	return out
}
