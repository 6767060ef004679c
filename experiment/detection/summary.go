package detection

import (
	"cmp"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// DetectionTarget is the longest of the targets for detection times.
const DetectionTarget = 3 * time.Second

// Summary is one row of the printed table: one trial with many seeds.
type Summary struct {
	Setup string
	Fault Fault
	Rate  float64
	Seeds int
	// Median and P99 are detection times; zero if that percentile of the trials
	// missed the fault.
	Median, P99 time.Duration
	// WithinTarget is the share of trials with detection within DetectionTarget.
	WithinTarget float64
	// Missed is the share of trials without detection within the horizon.
	Missed float64
	// FalseEjections counts ejections of healthy servers over all trials,
	// FalseTrials the trials with any. MaxFalseServers is the highest number of
	// healthy servers ejected in one trial.
	FalseEjections, FalseTrials, MaxFalseServers int
	// Signals counts the detected faults by signal, FalseSignals the ejections of
	// healthy servers by signal.
	Signals, FalseSignals map[string]int
}

// RunSeeds runs a trial with the seeds first, first+1, and so on, in parallel on
// a number of workers; below 1 means GOMAXPROCS. The result does not depend on
// the number of workers.
func RunSeeds(c Config, first uint64, seeds, workers int) []Outcome {
	if workers < 1 {
		workers = runtime.GOMAXPROCS(0)
	}
	out := make([]Outcome, seeds)
	var g errgroup.Group
	g.SetLimit(workers)
	for i := range seeds {
		g.Go(func() error {
			c := c
			c.Seed = first + uint64(i)
			out[i] = Run(c)
			return nil
		})
	}
	_ = g.Wait() // trials return no errors
	return out
}

// Summarize summarizes the outcomes of one trial with several seeds.
func Summarize(setup string, f Fault, rate float64, outcomes []Outcome) Summary {
	s := Summary{Setup: setup, Fault: f, Rate: rate, Seeds: len(outcomes), Signals: map[string]int{}, FalseSignals: map[string]int{}}
	var times []time.Duration
	missed := 0
	for _, o := range outcomes {
		if o.Detected {
			times = append(times, o.Detection)
			s.Signals[o.Signal]++
			if o.Detection <= DetectionTarget {
				s.WithinTarget += 1 / float64(len(outcomes))
			}
		} else {
			missed++
			times = append(times, forever)
		}
		for signal, n := range o.FalseEjections {
			s.FalseSignals[signal] += n
		}
		if n := o.TotalFalseEjections(); n > 0 {
			s.FalseEjections += n
			s.FalseTrials++
		}
		s.MaxFalseServers = max(s.MaxFalseServers, o.FalseServers)
	}
	s.Missed = float64(missed) / float64(len(outcomes))
	s.Median, s.P99 = percentile(times, 50), percentile(times, 99)
	return s
}

// percentile sorts the times and returns the p-th percentile by nearest rank, or
// zero if it falls on a missed detection.
func percentile(times []time.Duration, p int) time.Duration {
	slices.Sort(times)
	rank := (p*len(times) + 99) / 100
	if t := times[max(rank, 1)-1]; t != forever {
		return t
	}
	return 0
}

// WriteTable writes the cells as a Markdown table.
func WriteTable(w io.Writer, cells []Summary) error {
	if _, err := fmt.Fprintln(w, "| fault | req/s a server | judged by | median | p99 | within 3 s | missed | ejected by | false ejections (trials with any, most servers in one) | by |\n|---|---|---|---|---|---|---|---|---|---|"); err != nil {
		return err
	}
	for _, s := range cells {
		detection := "- | - | - | - | -"
		if s.Fault.MustEject {
			detection = fmt.Sprintf("%s | %s | %.1f%% | %.1f%% | %s", formatDetection(s.Median), formatDetection(s.P99), 100*s.WithinTarget, 100*s.Missed, formatSignals(s.Signals))
		}
		_, err := fmt.Fprintf(w, "| %s | %g | %s | %s | %d (%d of %d, %d) | %s |\n", s.Fault.Name, s.Rate, s.Setup, detection, s.FalseEjections, s.FalseTrials, s.Seeds, s.MaxFalseServers, formatSignals(s.FalseSignals))
		if err != nil {
			return err
		}
	}
	return nil
}

func formatDetection(d time.Duration) string {
	if d == 0 {
		return "missed"
	}
	return fmt.Sprintf("%.2f s", d.Seconds())
}

func formatSignals(signals map[string]int) string {
	names := make([]string, 0, len(signals))
	for n := range signals {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(signals[b], signals[a]), cmp.Compare(a, b))
	})
	return strings.Join(names, ", ")
}
