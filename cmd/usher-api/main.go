// Command usher-api serves the RPCs that operators manage a fleet with.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/agateusher/agateusher/operator/apiserver"
)

func main() { os.Exit(run()) }

// run stops gracefully on the first SIGTERM or interrupt. Further ones change
// nothing, so that a supervisor that repeats the signal interrupts no call.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return apiserver.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
