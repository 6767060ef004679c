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

// Targets from the design page for the time from the call of Apply until a host
// has applied the epoch, with 40 hosts.
const (
	applyTarget            = 2 * time.Second
	partitionedApplyTarget = 9 * time.Second
	// changeInterval corresponds to 9,600 changes a day, the target scale.
	changeInterval = 9 * time.Second
	// idleTime is the time without changes. It equals the platform's limit for a
	// watch, so that each watch is counted once.
	idleTime = platform.DefaultWatchLimit
)

// scenario is the configuration of one row of the table.
type scenario struct {
	hosts       int
	partitioned bool // data centre abuja-2 cannot reach the object API
	notifyPeers bool // if unset, only heartbeats announce epochs
	changes     int
}

// measurements are the results of a scenario.
type measurements struct {
	p50, p99, worst    time.Duration
	callsPerSecond     float64
	watches            int64
	idleCallsPerSecond float64 // without changes
	bytesPerSecond     float64 // between regions
	idleBytesPerSecond float64
}

// delayRecorder records how long each host took to apply each epoch.
type delayRecorder struct {
	mu      sync.Mutex
	started map[model.Epoch]time.Time
	samples []time.Duration
}

func (d *delayRecorder) start(e model.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started[e] = time.Now()
}

func (d *delayRecorder) applied(_ *node, e model.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.started[e]; ok {
		d.samples = append(d.samples, time.Since(at))
	}
}

func measure(t testing.TB, sc scenario, interval time.Duration) measurements {
	g := NewWithT(t)
	f := newFleet(t, sc.hosts)
	f.notifyPeers = sc.notifyPeers
	d := &delayRecorder{started: map[model.Epoch]time.Time{}}
	f.onApplied = d.applied
	writer := configstore.NewStore(f.api(t, sites[0]))
	mustApply(t, writer, firstChange(60), 0)
	defer f.run(t)()
	time.Sleep(2 * interval)
	if sc.partitioned {
		f.platform.EndpointNamed("abuja-2").SetFaults(platform.Faults{Outage: platform.OutageHang})
		time.Sleep(interval)
	}
	var out measurements
	out.idleCallsPerSecond, out.idleBytesPerSecond = f.rates(func() { time.Sleep(idleTime) })
	out.callsPerSecond, out.bytesPerSecond = f.rates(func() {
		for i := range sc.changes {
			d.start(model.Epoch(i + 2))
			mustApply(t, writer, drain(fmt.Sprint("c", i), i%60), model.Epoch(i+1))
			time.Sleep(interval)
		}
	})
	out.watches = f.platform.Calls().Waiting
	f.platform.EndpointNamed("abuja-2").SetFaults(platform.Faults{})
	d.mu.Lock()
	defer d.mu.Unlock()
	g.Expect(d.samples).To(HaveLen(sc.hosts*sc.changes), "every host must have applied every epoch")
	slices.Sort(d.samples)
	at := func(share float64) time.Duration { return d.samples[int(share*float64(len(d.samples)-1))] }
	out.p50, out.p99, out.worst = at(0.5), at(0.99), at(1)
	return out
}

// rates returns the calls per second to the object API and the bytes per second
// between regions while do runs.
func (f *fleet) rates(do func()) (calls, bytes float64) {
	start, c, b := time.Now(), f.platform.Calls().Total(), f.links.bytes.Load()
	do()
	seconds := time.Since(start).Seconds()
	return float64(f.platform.Calls().Total()-c) / seconds, float64(f.links.bytes.Load()-b) / seconds
}

const tableHeader = "hosts  cut    notices  p50     p99     worst   calls/s  idle calls/s  watches  region bytes/s  idle"

func (o measurements) row(sc scenario) string {
	ms := func(d time.Duration) string { return d.Round(time.Millisecond).String() }
	return fmt.Sprintf("%-6d %-6v %-8v %-7s %-7s %-7s %-8.2f %-13.2f %-8d %-15.0f %.0f",
		sc.hosts, sc.partitioned, sc.notifyPeers, ms(o.p50), ms(o.p99), ms(o.worst), o.callsPerSecond, o.idleCallsPerSecond, o.watches, o.bytesPerSecond, o.idleBytesPerSecond)
}

// Guards against changes that hosts apply too late, and against load on the
// object API and between regions that grows with the number of hosts. Time is
// virtual: latency and bandwidth are modelled, and processing takes no time.
func TestInForceTable(t *testing.T) {
	scenarios := []scenario{
		{10, false, true, 6}, {40, false, true, 6}, {200, false, true, 6},
		{40, true, true, 6}, {40, false, false, 6}, {40, true, false, 6},
	}
	t.Parallel()
	results := make([]measurements, len(scenarios))
	for i, sc := range scenarios {
		synctest.Test(t, func(t *testing.T) { results[i] = measure(t, sc, changeInterval) })
	}
	g := NewWithT(t)
	t.Log(tableHeader)
	for i, sc := range scenarios {
		t.Log(results[i].row(sc))
		target := applyTarget
		if sc.partitioned || !sc.notifyPeers {
			target = partitionedApplyTarget
		}
		g.Expect(results[i].p99).To(BeNumerically("<=", target), "%+v", sc)
	}
	small, large := results[0], results[2]
	g.Expect(large.callsPerSecond).To(BeNumerically("<=", 1.2*small.callsPerSecond))
	g.Expect(large.bytesPerSecond).To(BeNumerically("<=", 1.2*small.bytesPerSecond))
}

// BenchmarkInForce measures the same in real time, with all hosts in this process
// and latency modelled with timers. Run it with -benchtime 1x.
func BenchmarkInForce(b *testing.B) {
	for b.Loop() {
		for _, sc := range []scenario{{40, false, true, 20}, {40, true, true, 20}, {200, false, true, 6}} {
			b.Log(tableHeader)
			b.Log(measure(b, sc, 500*time.Millisecond).row(sc))
		}
	}
}
