package e2e

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/internal/proof"
	"github.com/agateusher/agateusher/standin/platform"
)

var (
	seedFlag  = flag.Uint64("seed", 20264, "seed of the callers' choices and the service times")
	batchFlag = flag.Int("batch", 1, "keys that a caller of TestUnknownShare asks for at a time")
	killsFlag = flag.Int("kills", 10, "owner kills of TestUnknownShare, one a second")
)

const (
	workers       = 24
	lookupWorkers = 8
	keyBatch      = 10
	// pause is the mean pause of a worker between two operations. It leaves most
	// of the CPU to the processes under test.
	pause        = 20 * time.Millisecond
	killDowntime = 300 * time.Millisecond
	// pauseDuration is longer than the other hosts need to take over.
	pauseDuration = 3 * time.Second
	faultInterval = time.Second
	settleTime    = deadline + 500*time.Millisecond
	unlimited     = 1 << 40
)

// load runs the workload while injectFaults runs, and returns it with its history.
func (f *testFleet) load(seed uint64, batch int, injectFaults func()) *proof.Workload {
	fmt.Println("seed", seed)
	caller := proof.NewCaller("", "gate", 4*deadline)
	defer caller.Close()
	w := &proof.Workload{
		Caller: caller, Entries: f.entries, NonIdempotentPath: "/payments", LookupPath: "/spaces/1", KeyBatch: batch, KeyedOperations: unlimited, MeanPause: pause,
		KeyedWorkers: workers, LookupWorkers: lookupWorkers, Deadline: deadline, Seed: seed, Prefix: fmt.Sprint(seed),
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); w.Run(ctx) }()
	injectFaults()
	time.Sleep(faultInterval)
	cancel()
	<-ended
	time.Sleep(settleTime)
	s := w.History.Summary()
	fmt.Printf("%s: %+v\n", f.t.Name(), s)
	return w
}

// Guards against payments that run twice, false outcomes and unanswered lookups
// while the owner is killed, paused and stopped as planned, with the platform
// available and during an outage of it.
func TestOwnerFailures(t *testing.T) {
	f := newFleet(t, *seedFlag)
	w := f.load(*seedFlag, keyBatch, func() {
		time.Sleep(faultInterval)
		f.failOwners()
		// A starting daemon needs the platform to learn the hosts, so the daemons
		// that end during the outage are restarted after it.
		f.setOutage(platform.OutageRefuse)
		f.owner().pause(pauseDuration)
		time.Sleep(faultInterval)
		killed := f.owner()
		killed.kill()
		time.Sleep(faultInterval)
		stopped := f.owner()
		stopped.stop(2)
		time.Sleep(faultInterval)
		f.setOutage(platform.OutageNone)
		killed.restart()
		stopped.restart()
	})
	f.check(w.History.Operations())
	s := w.History.Summary()
	NewWithT(t).Expect(s.Answered).To(BeNumerically(">", s.Keyed/2))
}

// failOwners pauses the current owner, then kills one, then stops two as planned,
// the second with two stop signals. A daemon that ended is restarted before the
// next failure.
func (f *testFleet) failOwners() {
	f.owner().pause(pauseDuration)
	time.Sleep(faultInterval)
	killed := f.owner()
	killed.kill()
	time.Sleep(killDowntime)
	killed.restart()
	time.Sleep(faultInterval)
	for times := range 2 {
		stopped := f.owner()
		stopped.stop(times + 1)
		stopped.restart()
		time.Sleep(faultInterval)
	}
}

// Guards against the same failures as TestOwnerFailures while one owner is killed
// each second. Prints the share of keyed operations whose first request received
// the outcome "unknown" or none.
func TestUnknownShare(t *testing.T) {
	f := newFleet(t, *seedFlag+1)
	w := f.load(*seedFlag+1, *batchFlag, func() {
		for range *killsFlag {
			next := time.After(time.Second)
			killed := f.owner()
			killed.kill()
			time.Sleep(killDowntime)
			killed.restart()
			<-next
		}
	})
	f.check(w.History.Operations())
	s := w.History.Summary()
	fmt.Printf("first request unknown or broken off: %d of %d operations (%.2f%%)\n", s.FirstUnknown, s.Keyed, 100*float64(s.FirstUnknown)/float64(s.Keyed))
	NewWithT(t).Expect(s.Answered).To(BeNumerically(">", s.Keyed/2))
}
