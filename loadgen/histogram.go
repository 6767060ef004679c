package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	lowestUs          = 1
	highestUs         = 600_000_000
	significantDigits = 3
)

// Latencies summarises a latency distribution, in milliseconds.
type Latencies struct {
	Count  int64   `json:"count"`
	MeanMs float64 `json:"meanMs"`
	P50Ms  float64 `json:"p50Ms"`
	P90Ms  float64 `json:"p90Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	MaxMs  float64 `json:"maxMs"`
}

// histogram records durations in microseconds.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(lowestUs, highestUs, significantDigits)}
}

func (h histogram) add(d time.Duration) {
	us := min(max(d.Microseconds(), lowestUs), highestUs)
	// The value is within the range, so recording it cannot fail.
	_ = h.RecordValue(us)
}

func (h histogram) summary() Latencies {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latencies{
		Count: h.TotalCount(), MeanMs: h.Mean() / 1000,
		P50Ms: at(50), P90Ms: at(90), P99Ms: at(99), P999Ms: at(99.9), MaxMs: float64(h.Max()) / 1000,
	}
}
