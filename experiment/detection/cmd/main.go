// Command cmd measures the health detectors in virtual time.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/experiment/detection"
)

type common struct {
	Seed    uint64 `long:"seed" default:"1" description:"first seed; the others follow it"`
	Workers int    `long:"workers" default:"4" description:"trials run at a time"`
}

type tableCommand struct {
	common
	Seeds   int           `long:"seeds" default:"200" description:"trials for each cell"`
	Horizon time.Duration `long:"horizon" default:"60s" description:"longest wait for a detection"`
	Quiet   time.Duration `long:"quiet" default:"20s" description:"length of trials in which no server may be ejected"`
	Rates   []float64     `long:"rate" description:"requests per second and server; default 1, 10, 100"`
	Fault   string        `long:"fault" description:"run only the fault of this name"`
	Setup   string        `long:"setup" description:"run only the setup of this name"`
	Hedge   time.Duration `long:"hedge-after" description:"hedge attempts after this time and cancel the slower one"`
	Hold    time.Duration `long:"cancel-hold" default:"200ms" description:"how long a cancelled attempt holds its slot"`
	Least   bool          `long:"least-loaded" description:"the owner chooses the least loaded server"`
}

// Execute implements flags.Commander.
func (c *tableCommand) Execute([]string) error {
	rates := c.Rates
	if len(rates) == 0 {
		rates = []float64{1, 10, 100}
	}
	var cells []detection.Summary
	for row, f := range detection.Faults() {
		if c.Fault != "" && f.Name != c.Fault {
			continue
		}
		horizon := c.Quiet
		if f.MustEject {
			horizon = c.Horizon
		}
		for _, rate := range rates {
			for _, s := range detection.Setups() {
				if c.Setup != "" && s.Name != c.Setup {
					continue
				}
				first := c.Seed + uint64(row*c.Seeds)
				trial := detection.NewConfig(s, f.Kind, rate, horizon, 0)
				trial.LeastLoaded, trial.HedgeAfter, trial.CancelHold = c.Least, c.Hedge, c.Hold
				out := detection.RunSeeds(trial, first, c.Seeds, c.Workers)
				cells = append(cells, detection.Summarize(s.Name, f, rate, out))
			}
		}
	}
	fmt.Printf("seeds from %d, %d for each cell\n\n", c.Seed, c.Seeds)
	return detection.WriteTable(os.Stdout, cells)
}

type longrunCommand struct {
	common
	Profile    string  `long:"profile" default:"consortium" choice:"ridemark" choice:"consortium"`
	Threshold  float64 `long:"threshold" description:"nats; default: the profile's"`
	ServerDays float64 `long:"server-days" default:"1000"`
	Rate       float64 `long:"rate" default:"10" description:"requests per second and server"`
	Background string  `long:"background" default:"target" choice:"target" choice:"pareto" choice:"hedged" description:"target: 1% tail of 10x; pareto: 1% tail of index 2 from 5x; hedged: attempts over three medians are cancelled"`
}

// Execute implements flags.Commander.
func (c *longrunCommand) Execute([]string) error {
	p := detector.Consortium()
	if c.Profile == "ridemark" {
		p = detector.Ridemark()
	}
	if c.Threshold > 0 {
		p.Threshold = c.Threshold
	}
	b := detection.TargetBackground(c.Rate)
	switch c.Background {
	case "pareto":
		b.TailFactor, b.TailIndex = 5, 2
	case "hedged":
		b.CancelAfter = 3 * b.Median
	}
	began := time.Now()
	r := detection.LongRun(p, b, c.Rate, c.ServerDays, c.Seed, c.Workers)
	fmt.Printf("profile %s, threshold %.2f, background %s, %g req/s a server, seeds from %d: %.1f server-days, %d attempts, %d false ejections %v (%s)\n",
		c.Profile, p.Threshold, c.Background, c.Rate, c.Seed, r.ServerDays, r.Attempts, r.FalseEjections, r.Signals, time.Since(began).Round(time.Second))
	return nil
}

type curveCommand struct {
	common
	Thresholds []float64 `long:"threshold" description:"nats; default 6 to 28"`
	Seeds      int       `long:"seeds" default:"300" description:"trials for each detection time"`
	ServerDays float64   `long:"server-days" default:"50" description:"simulated time for each threshold"`
	CSV        string    `long:"csv" default:"docs/detection-curve.csv"`
	Plot       string    `long:"plot" default:"docs/detection-curve.svg" description:".svg or .png"`
}

// Execute implements flags.Commander.
func (c *curveCommand) Execute([]string) error {
	thresholds := c.Thresholds
	if len(thresholds) == 0 {
		thresholds = []float64{6, 7, 8, 9, 10, 11.51, 13, 15, 18, 21, 25.33, 28}
	}
	points := detection.Curve(detection.CurveConfig{
		Thresholds: thresholds, Seeds: c.Seeds, ServerDays: c.ServerDays, FirstSeed: c.Seed, Workers: c.Workers})
	file, err := os.Create(c.CSV)
	if err != nil {
		return fmt.Errorf("curve: %w", err)
	}
	if err := detection.WriteCurve(file, points); err != nil {
		_ = file.Close() // the first error matters
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("curve: %w", err)
	}
	return detection.PlotCurve(c.Plot, points)
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	add := func(name, short string, c flags.Commander) {
		if _, err := parser.AddCommand(name, short, short, c); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	add("table", "Detection times and false ejections for all faults", &tableCommand{})
	add("longrun", "False ejections of healthy servers over a long time", &longrunCommand{})
	add("curve", "Detection time against false ejections as the threshold varies", &curveCommand{})
	if _, err := parser.Parse(); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}
