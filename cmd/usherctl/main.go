// Command usherctl manages an agateusher fleet through usher-api.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/agateusher/agateusher/cli"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process even while it reads standard input.
	context.AfterFunc(ctx, stop)
	return cli.Run(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv})
}
