// Command usher-demo runs a whole fleet on one machine for a few seconds and
// prints a summary. The programs must be in the directory of usher-demo, or in
// that of --binaries. It exits with 0 if no guarantee was violated, 1 on a
// failure, 2 on wrong usage, and 3 if a guarantee was violated, an expected
// detection did not happen or a program did not stop cleanly.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/agateusher/agateusher/demo"
	"github.com/agateusher/agateusher/telemetry"
)

// Exit statuses.
const (
	exitFailure   = 1
	exitUsage     = 2
	exitViolation = 3
)

type options struct {
	Binaries string        `long:"binaries" description:"directory of the programs; default: the directory of usher-demo"`
	Rate     float64       `long:"rate" default:"200" description:"requests per second"`
	Duration time.Duration `short:"d" long:"duration" default:"8s" description:"how long requests are sent"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of arrivals and service times"`
	Fault    string        `long:"fault" default:"{\"stall\":true}" description:"fault of one backend server in the second half, as the stand-in's JSON"`
	Mean     time.Duration `long:"mean" description:"mean service time; default: that of usher-standin"`
	Dist     string        `long:"distribution" description:"distribution of service times: exponential, lognormal or fixed"`
	Dispatch string        `long:"dispatch" description:"dispatch.owner or the baseline dispatch.local"`
	Detector string        `long:"detector" description:"detector.sequential or the baseline detector.consecutive"`
	Hold     bool          `long:"hold" description:"start everything without load, and run until Ctrl-C"`
	Keep     bool          `long:"keep" description:"keep settings, logs and the report"`
	LogLevel string        `long:"log-level" default:"info" choice:"error" choice:"warn" choice:"info" choice:"debug" description:"lowest level that is logged"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o options
	_, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, usage.Message)
		return 0
	}
	if err != nil {
		fmt.Fprintln(stderr, "usher-demo:", err)
		return exitUsage
	}
	result, err := runDemo(ctx, o, stdout, stderr)
	if result.Report != nil || result.StopError != nil {
		result.WriteSummary(stdout)
	}
	switch {
	case err != nil:
		fmt.Fprintln(stderr, "usher-demo:", err)
		return exitFailure
	case o.Hold && result.StopError == nil:
		return 0
	case !result.Passed():
		return exitViolation
	}
	return 0
}

func runDemo(ctx context.Context, o options, stdout, stderr io.Writer) (demo.Result, error) {
	log, err := telemetry.NewLogger(stderr, o.LogLevel)
	if err != nil {
		return demo.Result{}, err
	}
	if o.Binaries == "" {
		self, err := os.Executable()
		if err != nil {
			return demo.Result{}, &demo.SetupError{Step: "find the directory of the programs", Err: err}
		}
		o.Binaries = filepath.Dir(self)
	}
	options := demo.Options{
		Binaries: o.Binaries, Rate: o.Rate, Duration: o.Duration, Seed: o.Seed, Fault: o.Fault,
		Mean: o.Mean, Distribution: o.Dist, Dispatch: o.Dispatch, Detector: o.Detector, Keep: o.Keep, Log: log,
	}
	if o.Hold {
		options.HoldOutput = stdout
	}
	return demo.Run(ctx, options)
}
