// Command stand-3 plays the cases of the review that cannot be put as days: it starts
// usher-edge processes with stand-ins of the store, endpoints and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// contact is contact_ms of a small deployment.
const contact = 4 * time.Second

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(log *record, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD")
		os.Exit(2)
	}
	var err error
	workDir, err = os.MkdirTemp("", "review-3-")
	check(err)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cleanUp()
		os.Exit(2)
	}()
	log := newRecord(os.Args[2])
	held := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	cleanUp()
	if !held {
		log.line("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	log.line("the rule held")
	fmt.Println("the rule held")
}
