package detection

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/agateusher/agateusher/core/detector"
)

// CurvePoint is the trade-off at one threshold, at 10 requests per second and
// server. The profiles differ only in the threshold.
type CurvePoint struct {
	Threshold float64
	// Detection times of a full stall and of 30% errors; zero if that percentile
	// of the trials missed the fault.
	StallMedian, StallP99, ErrorsMedian, ErrorsP99 time.Duration
	// FalseEjections counts ejections of healthy servers within ServerDays.
	FalseEjections int
	ServerDays     float64
}

// ruleOfThree, divided by a duration without events, is the upper 95% confidence
// bound of the event rate.
const ruleOfThree = 3

// FalseRate returns the false ejections per server-day. If there were none, it
// returns the upper 95% confidence bound, and bound is true.
func (p CurvePoint) FalseRate() (rate float64, bound bool) {
	if p.FalseEjections == 0 {
		return ruleOfThree / p.ServerDays, true
	}
	return float64(p.FalseEjections) / p.ServerDays, false
}

// CurveConfig sets the size of the measurement.
type CurveConfig struct {
	Thresholds []float64 // nats
	Seeds      int       // trials per detection time
	ServerDays float64
	FirstSeed  uint64
	Workers    int
}

// Curve measures the trade-off at each threshold.
func Curve(c CurveConfig) []CurvePoint {
	var points []CurvePoint
	for _, h := range c.Thresholds {
		points = append(points, c.point(h))
	}
	return points
}

func (c CurveConfig) point(threshold float64) CurvePoint {
	const horizon = time.Minute
	p := detector.Ridemark()
	p.Threshold = threshold
	measure := func(f FaultKind) Summary {
		trial := NewConfig(Sequential(p), f, detector.ReferenceRate, horizon, 0)
		return Summarize(p.Name, Fault{Kind: f}, detector.ReferenceRate, RunSeeds(trial, c.FirstSeed, c.Seeds, c.Workers))
	}
	stall, errors := measure(Stall), measure(Errors)
	long := LongRun(p, TargetBackground(detector.ReferenceRate), detector.ReferenceRate, c.ServerDays, c.FirstSeed, c.Workers)
	return CurvePoint{
		Threshold: threshold, StallMedian: stall.Median, StallP99: stall.P99,
		ErrorsMedian: errors.Median, ErrorsP99: errors.P99,
		FalseEjections: long.FalseEjections, ServerDays: long.ServerDays,
	}
}

// WriteCurve writes the points as CSV. A missed detection is an empty field.
func WriteCurve(w io.Writer, points []CurvePoint) error {
	out := csv.NewWriter(w)
	records := [][]string{{"threshold_nats", "stall_median_s", "stall_p99_s", "errors_median_s", "errors_p99_s", "false_ejections", "server_days"}}
	for _, p := range points {
		records = append(records, []string{
			strconv.FormatFloat(p.Threshold, 'f', 2, 64),
			seconds(p.StallMedian), seconds(p.StallP99), seconds(p.ErrorsMedian), seconds(p.ErrorsP99),
			strconv.Itoa(p.FalseEjections), strconv.FormatFloat(p.ServerDays, 'f', 1, 64),
		})
	}
	if err := out.WriteAll(records); err != nil {
		return fmt.Errorf("write curve: %w", err)
	}
	return nil
}

func seconds(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
