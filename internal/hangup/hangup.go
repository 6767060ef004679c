// Package hangup receives SIGHUP from the initialization of the program on. Until a signal
// has a handler, it ends the process, and the initialization of the other packages takes
// several milliseconds. Go initializes packages in the order of their import paths, imports
// first, so that this one, which imports little, comes before most.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = notify()

func notify() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel of the signals. One that arrives while another waits in the
// channel is dropped.
func Signals() <-chan os.Signal { return signals }
