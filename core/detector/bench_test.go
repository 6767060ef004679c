package detector

import (
	"math"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// benchServers is the pool size at the current scale of the deployments.
const benchServers = 20

func benchmarkDetector(b *testing.B, d Detector, wake bool) {
	rng := rand.New(rand.NewSource(testSeed))
	latencies := make([]time.Duration, 4096)
	for i := range latencies {
		latencies[i] = time.Duration(float64(testMedian) * math.Exp(0.35*rng.NormFloat64()))
	}
	ids := make([]model.ServerID, benchServers)
	for i := range ids {
		ids[i] = server(i)
	}
	now := time.Unix(1000, 0)
	const lag = benchServers / 4 // attempts in flight
	step := func(i int) {
		now = now.Add(5 * time.Millisecond)
		d.Started(now, ids[i%benchServers], model.AttemptID(i))
		if j := i - lag; j >= 0 {
			d.Finished(now, ids[j%benchServers], model.AttemptID(j), Result{Kind: Success, Latency: latencies[j%len(latencies)]})
		}
		if len(d.Suspects(now)) > benchServers {
			b.Fatal("more suspects than servers")
		}
		if wake {
			d.NextWake(now)
		}
	}
	const warmUp = 20000
	for i := range warmUp {
		step(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		step(warmUp + i)
	}
}

// BenchmarkSequential measures one Started, Finished and Suspects call in a
// pool of 20 servers.
func BenchmarkSequential(b *testing.B) { benchmarkDetector(b, NewSequential(Ridemark()), false) }

// BenchmarkSequentialWake adds a NextWake call to each step.
func BenchmarkSequentialWake(b *testing.B) { benchmarkDetector(b, NewSequential(Ridemark()), true) }

// BenchmarkConsecutive measures the baseline detector.
func BenchmarkConsecutive(b *testing.B) { benchmarkDetector(b, NewConsecutive(5), false) }

// BenchmarkSequentialMemory reports the heap bytes per server, each with two
// attempts in flight.
func BenchmarkSequentialMemory(b *testing.B) {
	const servers = 1000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := NewSequential(Ridemark())
		now := time.Unix(1000, 0)
		for i := range servers {
			for a := range 2 {
				d.Started(now, model.ServerID(rune(i)), model.AttemptID(a))
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/servers, "B/server")
		runtime.KeepAlive(d)
	}
}

// BenchmarkSequentialEvidence measures Evidence for every server of a pool.
func BenchmarkSequentialEvidence(b *testing.B) {
	d := NewSequential(Ridemark())
	now := time.Unix(1000, 0)
	ids := make([]model.ServerID, benchServers)
	for i := range ids {
		ids[i] = server(i)
		d.Started(now, ids[i], model.AttemptID(i))
	}
	b.ReportAllocs()
	for n := range b.N {
		now := now.Add(time.Duration(n))
		for _, id := range ids {
			d.Evidence(now, id)
		}
	}
}
