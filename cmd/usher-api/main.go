// Command usher-api serves the RPCs with which operators manage a fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/agateusher/agateusher/operator/apiserver"
)

func main() { os.Exit(run()) }

// run stops gracefully on the first SIGTERM or interrupt. It ignores further
// signals, so that a supervisor that repeats the signal does not interrupt calls.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return apiserver.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
