package configstore_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/configstore"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/standin/platform"
)

// Targets from the design page, for 40 hosts, from the call of Apply.
const (
	inForceTarget    = 2 * time.Second
	inForceCutTarget = 9 * time.Second
	// changeEvery gives 9,600 changes a day, the target scale.
	changeEvery = 9 * time.Second
	// idleTime without changes is the platform's limit for a watch, so that
	// each watch is counted once.
	idleTime = platform.DefaultWatchLimit
)

// scenario is one row of the table.
type scenario struct {
	hosts   int
	cut     bool // data centre abuja-2 cannot reach the object API
	notices bool // otherwise epochs spread by heartbeats only
	changes int
}

// figures are what a scenario measured.
type figures struct {
	p50, p99, worst time.Duration
	callsPerSecond  float64
	waiting         int64
	idleCalls       float64 // a second, without changes
	bytesPerSecond  float64 // between regions
	idleBytes       float64
}

// delays records when each epoch came into force on each host.
type delays struct {
	mu      sync.Mutex
	started map[model.Epoch]time.Time
	seen    []time.Duration
}

func (d *delays) start(e model.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started[e] = time.Now()
}

func (d *delays) applied(_ *node, e model.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.started[e]; ok {
		d.seen = append(d.seen, time.Since(at))
	}
}

func measure(t testing.TB, sc scenario, every time.Duration) figures {
	g := NewWithT(t)
	f := newFleet(t, sc.hosts)
	f.notices = sc.notices
	d := &delays{started: map[model.Epoch]time.Time{}}
	f.applied = d.applied
	writer := configstore.NewStore(f.api(t, places[0]))
	mustApply(t, writer, firstChange(60), 0)
	defer f.run(t)()
	time.Sleep(2 * every)
	if sc.cut {
		f.platform.EndpointNamed("abuja-2").SetFaults(platform.Faults{Outage: platform.OutageHang})
		time.Sleep(every)
	}
	var out figures
	out.idleCalls, out.idleBytes = f.rates(func() { time.Sleep(idleTime) })
	out.callsPerSecond, out.bytesPerSecond = f.rates(func() {
		for i := range sc.changes {
			d.start(model.Epoch(i + 2))
			mustApply(t, writer, drain(fmt.Sprint("c", i), i%60), model.Epoch(i+1))
			time.Sleep(every)
		}
	})
	out.waiting = f.platform.Calls().Waiting
	f.platform.EndpointNamed("abuja-2").SetFaults(platform.Faults{})
	d.mu.Lock()
	defer d.mu.Unlock()
	g.Expect(d.seen).To(HaveLen(sc.hosts*sc.changes), "every host must have run every epoch")
	slices.Sort(d.seen)
	at := func(share float64) time.Duration { return d.seen[int(share*float64(len(d.seen)-1))] }
	out.p50, out.p99, out.worst = at(0.5), at(0.99), at(1)
	return out
}

// rates returns the calls and the bytes between regions a second while do runs.
func (f *fleet) rates(do func()) (calls, bytes float64) {
	start, c, b := time.Now(), f.platform.Calls().Total(), f.links.bytes.Load()
	do()
	seconds := time.Since(start).Seconds()
	return float64(f.platform.Calls().Total()-c) / seconds, float64(f.links.bytes.Load()-b) / seconds
}

const tableHeader = "hosts  cut    notices  p50     p99     worst   calls/s  idle calls/s  watches  region bytes/s  idle"

func (o figures) row(sc scenario) string {
	ms := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
	return fmt.Sprintf("%-6d %-6v %-8v %-7s %-7s %-7s %-8.2f %-13.2f %-8d %-15.0f %.0f",
		sc.hosts, sc.cut, sc.notices, ms(o.p50), ms(o.p99), ms(o.worst), o.callsPerSecond, o.idleCalls, o.waiting, o.bytesPerSecond, o.idleBytes)
}

// Guards against changes that come into force too late, and against load on
// the object API and between regions that grows with the number of hosts. Time
// is virtual: latency and bandwidth are modelled, processing takes no time.
func TestInForceTable(t *testing.T) {
	scenarios := []scenario{
		{10, false, true, 6}, {40, false, true, 6}, {200, false, true, 6},
		{40, true, true, 6}, {40, false, false, 6}, {40, true, false, 6},
	}
	t.Parallel()
	results := make([]figures, len(scenarios))
	for i, sc := range scenarios {
		synctest.Test(t, func(t *testing.T) { results[i] = measure(t, sc, changeEvery) })
	}
	g := NewWithT(t)
	t.Log(tableHeader)
	for i, sc := range scenarios {
		t.Log(results[i].row(sc))
		target := inForceTarget
		if sc.cut || !sc.notices {
			target = inForceCutTarget
		}
		g.Expect(results[i].p99).To(BeNumerically("<=", target), "%+v", sc)
	}
	small, large := results[0], results[2]
	g.Expect(large.callsPerSecond).To(BeNumerically("<=", 1.2*small.callsPerSecond))
	g.Expect(large.bytesPerSecond).To(BeNumerically("<=", 1.2*small.bytesPerSecond))
}

// BenchmarkInForce measures in real time, with all hosts in this process: run
// it with -benchtime 1x. Latency is modelled with timers.
func BenchmarkInForce(b *testing.B) {
	for b.Loop() {
		for _, sc := range []scenario{{40, false, true, 20}, {40, true, true, 20}, {200, false, true, 6}} {
			b.Log(tableHeader)
			b.Log(measure(b, sc, 500*time.Millisecond).row(sc))
		}
	}
}
