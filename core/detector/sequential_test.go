package detector

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
)

const (
	testSeed    = 20261
	testServers = 10
	testMedian  = 20 * time.Millisecond
)

// bench drives a Sequential with synthetic attempts in virtual time.
type bench struct {
	d    *Sequential
	now  time.Time
	rng  *rand.Rand
	next model.AttemptID
}

func newBench(p Profile) *bench {
	b := &bench{d: NewSequential(p), now: time.Unix(1000, 0), rng: rand.New(rand.NewSource(testSeed))}
	for range 500 {
		b.round(1, nil)
	}
	return b
}

func server(i int) model.ServerID { return model.ServerID(fmt.Sprintf("s%02d", i)) }

func (b *bench) latency(factor float64) time.Duration {
	return time.Duration(factor * float64(testMedian) * math.Exp(0.35*b.rng.NormFloat64()))
}

// round ends one attempt on every server, in order of time; kind overrides
// Success where set.
func (b *bench) round(factor float64, kind map[int]Kind) {
	type end struct {
		server  int
		attempt model.AttemptID
		result  Result
	}
	var list []end
	for i := range testServers {
		k, ok := kind[i]
		if !ok {
			k = Success
		}
		list = append(list, end{i, b.start(i), Result{Kind: k, Latency: b.latency(factor)}})
	}
	slices.SortFunc(list, func(x, y end) int { return cmp.Compare(x.result.Latency, y.result.Latency) })
	began := b.now
	for _, e := range list {
		b.wait(began.Add(e.result.Latency).Sub(b.now))
		b.d.Finished(b.now, server(e.server), e.attempt, e.result)
	}
	b.wait(max(began.Add(100*time.Millisecond).Sub(b.now), 0))
}

func (b *bench) start(i int) model.AttemptID {
	b.next++
	b.d.Started(b.now, server(i), b.next)
	return b.next
}

// wait lets time pass with the calls that NextWake asks for.
func (b *bench) wait(d time.Duration) {
	end := b.now.Add(d)
	for {
		w := b.d.NextWake(b.now)
		if w.IsZero() || w.After(end) {
			b.now = end
			return
		}
		b.now = w
		b.d.Suspects(b.now)
	}
}

// Guards against missing a server whose failures stand out from its peers, and
// against naming the wrong server or signal.
func TestSequentialFailures(t *testing.T) {
	for kind, signal := range map[Kind]string{Failure: SignalFailures, ConnectFailure: SignalConnect} {
		g := NewWithT(t)
		b := newBench(Ridemark())
		for range 6 {
			b.round(1, map[int]Kind{3: kind})
		}
		got := b.d.Suspects(b.now)
		g.Expect(got).To(HaveLen(1))
		g.Expect(got[0].Server).To(Equal(server(3)))
		g.Expect(got[0].Evidence.Signal).To(Equal(signal))
		b.d.Reset(b.now, server(3))
		g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
	}
}

// Guards against a single slow answer or a single hung attempt ejecting a
// server, however long it takes, and against missing several of them.
func TestSequentialNeedsSeveralAttempts(t *testing.T) {
	g := NewWithT(t)
	for _, p := range Profiles() {
		b := newBench(p)
		a := b.start(0)
		b.wait(time.Minute)
		b.d.Finished(b.now, server(0), a, Result{Kind: Success, Latency: time.Minute})
		g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
		b = newBench(p)
		b.start(0)
		b.wait(time.Minute)
		g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
		b.start(0)
		b.wait(3 * time.Second)
		got := b.d.Suspects(b.now)
		g.Expect(got).To(HaveLen(1))
		g.Expect(got[0].Evidence.Signal).To(Equal(SignalStall))
	}
}

// Guards against ejecting servers for a failure or a slowdown of the whole
// pool, at its start and while it lasts.
func TestSequentialWholePool(t *testing.T) {
	g := NewWithT(t)
	all := map[int]Kind{}
	for i := range testServers {
		all[i] = Failure
	}
	b := newBench(Ridemark())
	for range 100 {
		b.round(1, all)
		g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
	}
	b = newBench(Ridemark())
	for range 200 {
		b.round(10, nil)
		g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
	}
	b = newBench(Ridemark())
	for range 2 {
		for i := range testServers {
			b.start(i)
		}
		b.wait(30 * time.Millisecond)
	}
	for range 100 {
		b.wait(100 * time.Millisecond)
		g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
	}
}

// Guards against reading a pause of our own process as a stall of the servers
// that held attempts, or its timer failures as failures of the servers.
func TestSequentialOwnPause(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Ridemark())
	var open []model.AttemptID
	for range 4 {
		open = append(open, b.start(0))
	}
	b.now = b.now.Add(30 * time.Second)
	g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
	for _, a := range open {
		b.d.Finished(b.now, server(0), a, Result{Kind: Failure, Latency: 30 * time.Second})
	}
	g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
}

// Guards against counting shedding as sickness.
func TestSequentialShedding(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Ridemark())
	for range 300 {
		b.round(1, map[int]Kind{2: Shed})
		g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
	}
}

// Guards against cancelled attempts hiding a stall: each counts up to its
// cancellation.
func TestSequentialCancelledAttemptsAddUp(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Ridemark())
	for range 5 {
		a := b.start(1)
		b.wait(200 * time.Millisecond)
		b.d.Finished(b.now, server(1), a, Result{Kind: Cancelled, Latency: 200 * time.Millisecond})
	}
	g.Expect(b.d.Suspects(b.now)).To(HaveLen(1))
}

// Guards against leftovers of removed servers and against sums that drift from
// the servers' shares.
func TestSequentialForget(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Ridemark())
	b.start(0)
	for i := range testServers {
		b.d.Forget(server(i))
	}
	g.Expect(b.d.open).To(BeZero())
	g.Expect(b.d.NextWake(b.now).IsZero()).To(BeTrue())
	g.Expect(b.d.ref.pool.samples / b.d.ref.weight).To(BeNumerically("<", 1))
}
