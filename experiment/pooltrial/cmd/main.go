// Command cmd prints the tables of the pool trial: queueing delay of one owner and
// of entries that dispatch independently, fairness beside a flooding workspace,
// overload and recovery, added retries, stalled servers, and detection times.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/experiment/pooltrial"
)

type options struct {
	Seed    uint64 `long:"seed" default:"1" description:"seed of all random sources"`
	Trials  int    `long:"trials" default:"60" description:"trials of each row of the detection table"`
	Seconds int    `long:"seconds" default:"60" description:"virtual length of each run"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	length := time.Duration(opts.Seconds) * time.Second
	fmt.Printf("seed %d, %s each, %d servers x %d slots, mean service %s, capacity %.0f/s\n\n",
		opts.Seed, length, pooltrial.Servers, pooltrial.Slots, pooltrial.MeanService, pooltrial.Capacity)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	printWaits(w, length, opts.Seed)
	printFairness(w, length, opts.Seed)
	printOverload(w, length, opts.Seed)
	printRetries(w, length, opts.Seed)
	printStalls(w, length, opts.Seed)
	printDetection(w, opts.Trials)
}

// detectionRate is the rate of the detection targets, in requests per second and
// server.
const detectionRate = 10

// printDetection prints the detection times of the real pool with the real
// detector and floor.
func printDetection(w *tabwriter.Writer, trials int) {
	fmt.Fprintln(w, "profile\tfault\trequests/s a server\tmedian\tp99\tmissed\tattempts at it\tunknown\tfalse ejections")
	for _, profile := range []detector.Profile{detector.Ridemark(), detector.Consortium()} {
		for _, fault := range []pooltrial.Fault{pooltrial.FaultStall, pooltrial.FaultErrors, pooltrial.FaultSlow} {
			fmt.Fprintln(w, pooltrial.MeasureDetections(profile, fault, detectionRate, trials))
		}
	}
	flush(w)
}

// loadAfter is the load after the overload, relative to the capacity.
const loadAfter = 0.8

var services = []struct {
	name string
	draw pooltrial.Service
}{{"exponential", pooltrial.Exponential}, {"lognormal", pooltrial.Lognormal}}

func printWaits(w *tabwriter.Writer, length time.Duration, seed uint64) {
	fmt.Fprintln(w, "service\tload\tdispatch\tp50 wait\tp99 wait")
	for _, s := range services {
		for _, load := range []float64{0.7, 0.8, 0.9} {
			row := func(name string, waits pooltrial.Samples) {
				fmt.Fprintf(w, "%s\t%.0f%%\t%s\t%s\t%s\n", s.name, 100*load, name, ms(waits.Percentile(0.5)), ms(waits.Percentile(0.99)))
			}
			row("one owner", pooltrial.OwnerWaits(s.draw, load, length, seed))
			row("40 entries, least outstanding", pooltrial.EntryWaits(pooltrial.LeastOutstanding, s.draw, load, length, seed))
			row("40 entries, power of two", pooltrial.EntryWaits(pooltrial.PowerOfTwo, s.draw, load, length, seed))
		}
	}
	flush(w)
}

func printFairness(w *tabwriter.Writer, length time.Duration, seed uint64) {
	fmt.Fprintln(w, "service\tflood\tothers offer\tothers keep\tp99 alone\tp99 beside flood\tratio")
	for _, s := range services {
		for _, load := range []float64{0.5, 0.8, 0.9, 0.95, 1} {
			for _, pulse := range []time.Duration{0, 10 * time.Second} {
				f := pooltrial.MeasureFairness(load, pulse, s.draw, length, seed)
				fmt.Fprintf(w, "%s\t%s\t%.0f%%\t%.1f%%\t%s\t%s\t%.2f\n", s.name, floodName(pulse), 100*load, 100*f.AnsweredShare,
					ms(f.P99Alone), ms(f.P99BesideFlood), float64(f.P99BesideFlood)/float64(f.P99Alone))
			}
		}
	}
	flush(w)
}

func floodName(pulse time.Duration) string {
	if pulse == 0 {
		return "constant"
	}
	return "half of each " + pulse.String()
}

func printOverload(w *tabwriter.Writer, length time.Duration, seed uint64) {
	fmt.Fprintln(w, "service\tcancellations confirmed\tgoodput at 3x\tunknown\trecovery")
	for _, s := range services {
		for _, unconfirmed := range []bool{false, true} {
			o := pooltrial.MeasureOverload(length, loadAfter, s.draw, unconfirmed, seed)
			fmt.Fprintf(w, "%s\t%t\t%.1f%%\t%.1f%%\t%s\n", s.name, !unconfirmed, 100*o.Goodput, 100*o.Unknown, o.Recovery)
		}
	}
	flush(w)
}

func printRetries(w *tabwriter.Writer, length time.Duration, seed uint64) {
	fmt.Fprintln(w, "failing attempts\tadded attempts\tanswered lookups")
	for _, failures := range []float64{0, 0.02, 0.05, 0.3, 1} {
		r := pooltrial.MeasureRetries(failures, 0.7, length, seed)
		fmt.Fprintf(w, "%.0f%%\t%.1f%%\t%.1f%%\n", 100*failures, 100*r.Added, 100*r.Answered)
	}
	flush(w)
}

func printStalls(w *tabwriter.Writer, length time.Duration, seed uint64) {
	fmt.Fprintln(w, "stalled servers, not ejected\tanswered lookups\tp99 of lookups\tanswered postings\tunknown postings")
	for _, stalled := range []int{0, 1, 2, 4} {
		s := pooltrial.MeasureStall(stalled, 0.7, length, seed)
		fmt.Fprintf(w, "%d\t%.2f%%\t%s\t%.2f%%\t%.2f%%\n", stalled, 100*s.Lookups, ms(s.P99), 100*s.Postings, 100*s.Unknown)
	}
	flush(w)
}

func flush(w *tabwriter.Writer) {
	fmt.Fprintln(w)
	w.Flush()
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond)) }
