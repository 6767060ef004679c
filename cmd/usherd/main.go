// Command usherd is the daemon that runs on every host of the fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/agateusher/agateusher/daemon"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"settings file, JSON with comments"`
	Check    bool   `long:"check" description:"validate the settings and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if _, err := flags.NewParser(&o, flags.Default).ParseArgs(args); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	s, err := daemon.LoadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if o.Check {
		fmt.Println("settings are valid")
		return 0
	}
	d, err := daemon.New(s, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	d.HandleViolations()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
