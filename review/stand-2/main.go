// Command stand-2 plays the script cases of the second review: it starts daemons with the
// command of the deploy file, stand-ins of the platform's store, of endpoints and of
// clients, plays one disruption, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Whether a case is played with its disruption.
const (
	withTrouble    = "trouble"
	withoutTrouble = "calm"
)

// maxRunTime bounds a case.
const maxRunTime = 100 * time.Second

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// errTooLong is returned for a case that exceeds maxRunTime.
var errTooLong = errors.New("the case took too long")

// scenario plays a case with files in dir; disrupted: with its disruption.
type scenario func(rec *record, dir string, disrupted bool) error

var scenarios = map[string]scenario{"foreign": playForeign, "limits": playLimits, "stop": playStop}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || scenarios[args[0]] == nil || (args[1] != withTrouble && args[1] != withoutTrouble) {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE trouble|calm RECORD")
		return exitNotRun
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	err = play(scenarios[args[0]], rec, dir, args[1] == withTrouble)
	switch {
	case errors.Is(err, errBroken):
		rec.add("%v", err)
		fmt.Println(err)
		return exitBroken
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// play runs a scenario, which ends its processes, for at most maxRunTime.
func play(s scenario, rec *record, dir string, disrupted bool) error {
	defer killAll()
	result := make(chan error, 1)
	go func() { result <- s(rec, dir, disrupted) }()
	select {
	case err := <-result:
		return err
	case <-time.After(maxRunTime):
		return errTooLong
	}
}
