// Command usher-load sends open-loop load through the fleet and checks the
// answers and, with stand-in backend servers, the execution logs. It exits with
// 0 if no guarantee was violated, 1 on a failure, 2 on wrong usage and 3 if a
// guarantee was violated or no request was sent.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/agateusher/agateusher/loadgen"
)

// Exit statuses.
const (
	exitFailure   = 1
	exitUsage     = 2
	exitViolation = 3
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewNamedParser("usher-load", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(stderr, "usher-load:", err)
		return exitFailure
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, usage.Message)
		return 0
	}
	if err != nil {
		fmt.Fprintln(stderr, "usher-load:", err)
		return exitUsage
	}
	config, err := o.config()
	if err != nil {
		fmt.Fprintln(stderr, "usher-load:", err)
		return exitUsage
	}
	report, err := loadgen.Run(ctx, config)
	if err == nil {
		err = write(stdout, report, o)
	}
	var configErr *loadgen.ConfigError
	switch {
	case errors.As(err, &configErr):
		fmt.Fprintln(stderr, "usher-load:", err)
		return exitUsage
	case err != nil:
		fmt.Fprintln(stderr, "usher-load:", err)
		return exitFailure
	case !report.Passed():
		return exitViolation
	}
	return 0
}

func write(w io.Writer, report *loadgen.Report, o options) error {
	if o.Output != "json" {
		return report.WriteTable(w, o.PerSecond)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
