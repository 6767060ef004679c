// Command usher-standin runs fakes of the platform and of backend servers, for
// tests and experiments only. It writes the listening addresses to standard output
// as JSON lines (standin.Line) and logs to standard error. SIGTERM and SIGINT stop
// it gracefully.
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

	"github.com/agateusher/agateusher/standin"
	"github.com/agateusher/agateusher/telemetry"
)

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

// global holds the options of all sub-commands.
type global struct {
	LogLevel string `long:"log-level" default:"info" choice:"error" choice:"warn" choice:"info" choice:"debug" description:"lowest level that is logged"`
}

// program holds the context, output and options shared by the sub-commands.
type program struct {
	ctx    context.Context
	stdout io.Writer
	global *global
}

func (p *program) logger() (telemetry.Logger, error) {
	return telemetry.NewLogger(os.Stderr, p.global.LogLevel)
}

func (p *program) announce(l standin.Line) error {
	if err := json.NewEncoder(p.stdout).Encode(l); err != nil {
		return fmt.Errorf("announce %s: %w", l.Kind, err)
	}
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var options global
	p := &program{ctx: ctx, stdout: stdout, global: &options}
	parser := flags.NewNamedParser("usher-standin", flags.HelpFlag|flags.PassDoubleDash)
	if err := addCommands(parser, p); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(stderr, usage.Message)
		return exitUsage
	}
	fmt.Fprintln(stderr, "usher-standin:", err)
	return exitFailure
}

func addCommands(parser *flags.Parser, p *program) error {
	if _, err := parser.AddGroup("Global options", "", p.global); err != nil {
		return err
	}
	_, err := parser.AddCommand("backends", "run stand-in backend servers",
		"Runs many stand-in backend servers in one process, one port each.", &backendsCommand{program: p})
	if err != nil {
		return err
	}
	_, err = parser.AddCommand("platform", "run the stand-in platform",
		"Runs the stand-in object API and host list.", &platformCommand{program: p})
	return err
}
