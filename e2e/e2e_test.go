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
	// pause is the mean pause of a caller between two operations. With it the
	// callers leave most of the CPU to the processes under test.
	pause    = 20 * time.Millisecond
	killDown = 300 * time.Millisecond
	// pausedFor is above the time in which the other hosts take over.
	pausedFor = 3 * time.Second
	calm      = time.Second
	settle    = deadline + 500*time.Millisecond
	unlimited = 1 << 40
)

// load runs the workload while disturb runs, and returns what was recorded.
func (f *testFleet) load(seed uint64, batch int, disturb func()) *proof.Workload {
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
	disturb()
	time.Sleep(calm)
	cancel()
	<-ended
	time.Sleep(settle)
	s := w.History.Summary()
	fmt.Printf("%s: %+v\n", f.t.Name(), s)
	return w
}

// Guards against payments that run twice, untrue outcomes, and lookups without
// an answer, while the owner is killed, paused and stopped as planned, with and
// without the platform.
func TestOwnerFailures(t *testing.T) {
	f := newFleet(t, *seedFlag)
	w := f.load(*seedFlag, keyBatch, func() {
		time.Sleep(calm)
		f.disturb()
		// A daemon that starts cannot learn the hosts without the platform, so the
		// victims of the outage are started after it.
		f.outage(platform.OutageRefuse)
		f.owner().pause(pausedFor)
		time.Sleep(calm)
		killed := f.owner()
		killed.kill()
		time.Sleep(calm)
		stopped := f.owner()
		stopped.stop(2)
		time.Sleep(calm)
		f.outage(platform.OutageNone)
		killed.restart()
		stopped.restart()
	})
	f.check(w.History.Operations())
	s := w.History.Summary()
	NewWithT(t).Expect(s.Answered).To(BeNumerically(">", s.Keyed/2))
}

// disturb pauses, kills and stops the owner at the time, one after the other.
func (f *testFleet) disturb() {
	f.owner().pause(pausedFor)
	time.Sleep(calm)
	killed := f.owner()
	killed.kill()
	time.Sleep(killDown)
	killed.restart()
	time.Sleep(calm)
	for times := range 2 {
		stopped := f.owner()
		stopped.stop(times + 1)
		stopped.restart()
		time.Sleep(calm)
	}
}

// Guards the same under one owner kill a second, and prints the share of
// operations whose first request was told "unknown".
func TestUnknownShare(t *testing.T) {
	f := newFleet(t, *seedFlag+1)
	w := f.load(*seedFlag+1, *batchFlag, func() {
		for range *killsFlag {
			next := time.After(time.Second)
			killed := f.owner()
			killed.kill()
			time.Sleep(killDown)
			killed.restart()
			<-next
		}
	})
	f.check(w.History.Operations())
	s := w.History.Summary()
	fmt.Printf("first request unknown or broken off: %d of %d operations (%.2f%%)\n", s.FirstUnknown, s.Keyed, 100*float64(s.FirstUnknown)/float64(s.Keyed))
	NewWithT(t).Expect(s.Answered).To(BeNumerically(">", s.Keyed/2))
}
