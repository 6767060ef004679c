// Command usher-edge is the daemon that runs on every host of the consortium
// platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/agateusher/agateusher/edge"
	"github.com/agateusher/agateusher/internal/hangup"
	"github.com/agateusher/agateusher/platform"
	"github.com/agateusher/agateusher/telemetry"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"settings file, JSON with comments; the platform's own path by default"`
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
	if o.Settings == "" {
		o.Settings = platform.SettingsPath()
	}
	s, err := edge.LoadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if o.Check {
		fmt.Println("settings are valid")
		return 0
	}
	debug.SetMemoryLimit(s.HeapLimit())
	log.SetOutput(edge.LibraryLog{Writer: os.Stderr})
	node, err := edge.New(s, os.Stdout, func(scope telemetry.Scope, logger telemetry.Logger) edge.Platform {
		store := platform.NewStore(s.Store, scope, logger)
		return edge.Platform{Source: store, Registry: store, Headers: platform.Headers{}, ReadinessPath: platform.ReadinessPath}
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	node.HandleViolations()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reload(ctx, node, o.Settings)
	if err := node.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}

// reload reloads the settings on each SIGHUP until ctx ends, also on one that arrived
// while the daemon started.
func reload(ctx context.Context, node *edge.Node, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.Signals():
			s, err := edge.LoadSettings(path)
			if err == nil {
				err = node.Reload(s)
			}
			if err == nil {
				debug.SetMemoryLimit(s.HeapLimit())
			}
			node.LogReload(err)
		}
	}
}
