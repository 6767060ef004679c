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

// idle means that a server gets no attempt in a round.
const idle Kind = 0

// simulation drives a Sequential with synthetic attempts in virtual time.
type simulation struct {
	d    *Sequential
	now  time.Time
	rng  *rand.Rand
	next model.AttemptID
}

func newSimulation(p Profile) *simulation {
	b := &simulation{d: NewSequential(p), now: time.Unix(1000, 0), rng: rand.New(rand.NewSource(testSeed))}
	for range 500 {
		b.round(1, nil)
	}
	return b
}

func server(i int) model.ServerID { return model.ServerID(fmt.Sprintf("s%02d", i)) }

func (b *simulation) latency(factor float64) time.Duration {
	return time.Duration(factor * float64(testMedian) * math.Exp(0.35*b.rng.NormFloat64()))
}

// round runs one attempt on every server and finishes them in order of time.
// Attempts succeed unless kind holds another kind for the server.
func (b *simulation) round(factor float64, kind map[int]Kind) {
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
		if k == idle {
			continue
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

func (b *simulation) start(i int) model.AttemptID {
	b.next++
	b.d.Started(b.now, server(i), b.next)
	return b.next
}

// wait advances the time and calls Suspects whenever NextWake asks for it.
func (b *simulation) wait(d time.Duration) {
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

// Guards against not suspecting a server that fails more often than its peers,
// and against reporting the wrong server or signal.
func TestSequentialFailures(t *testing.T) {
	for kind, signal := range map[Kind]string{Failure: SignalFailures, ConnectFailure: SignalConnect} {
		g := NewWithT(t)
		b := newSimulation(Ridemark())
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

// Guards against suspecting a server for a single slow answer or a single hung
// attempt, however long it takes, and against not suspecting it for two hung
// attempts.
func TestSequentialNeedsSeveralAttempts(t *testing.T) {
	g := NewWithT(t)
	for _, p := range Profiles() {
		b := newSimulation(p)
		a := b.start(0)
		b.wait(time.Minute)
		b.d.Finished(b.now, server(0), a, Result{Kind: Success, Latency: time.Minute})
		g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
		b = newSimulation(p)
		b.start(0)
		for range 600 {
			b.round(1, map[int]Kind{0: idle})
			g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
		}
		b.start(0)
		for range 30 {
			b.round(1, map[int]Kind{0: idle})
		}
		got := b.d.Suspects(b.now)
		g.Expect(got).To(HaveLen(1))
		g.Expect(got[0].Evidence.Signal).To(Equal(SignalStall))
	}
}

// Guards against suspecting the servers with the most unanswered attempts of a
// stall while no server of the pool answers.
func TestSequentialSilentPool(t *testing.T) {
	g := NewWithT(t)
	b := newSimulation(Ridemark())
	b.start(0)
	b.start(0)
	for range 100 {
		b.wait(100 * time.Millisecond)
		g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
	}
}

// Guards against suspecting servers for a failure, a slowdown or a stall of the
// whole pool, at its start and while it lasts.
func TestSequentialWholePool(t *testing.T) {
	g := NewWithT(t)
	all := map[int]Kind{}
	for i := range testServers {
		all[i] = Failure
	}
	b := newSimulation(Ridemark())
	for range 100 {
		b.round(1, all)
		g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
	}
	b = newSimulation(Ridemark())
	for range 200 {
		b.round(10, nil)
		g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
	}
	b = newSimulation(Ridemark())
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

// Guards against treating a pause of the proxy process as a stall of the servers
// with unanswered attempts, or timers that expired in the pause as failures of
// the servers.
func TestSequentialOwnPause(t *testing.T) {
	g := NewWithT(t)
	b := newSimulation(Ridemark())
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

// Guards against suspecting a server because it sheds load.
func TestSequentialShedding(t *testing.T) {
	g := NewWithT(t)
	b := newSimulation(Ridemark())
	for range 300 {
		b.round(1, map[int]Kind{2: Shed})
		g.Expect(b.d.Suspects(b.now)).To(BeEmpty())
	}
}

// Guards against not suspecting a stalled server whose attempts are cancelled:
// each attempt counts up to its cancellation.
func TestSequentialCancelledAttemptsAddUp(t *testing.T) {
	g := NewWithT(t)
	b := newSimulation(Ridemark())
	for range 5 {
		a := b.start(1)
		b.round(1, map[int]Kind{1: idle})
		b.round(1, map[int]Kind{1: idle})
		b.d.Finished(b.now, server(1), a, Result{Kind: Cancelled, Latency: 200 * time.Millisecond})
	}
	g.Expect(b.d.Suspects(b.now)).To(HaveLen(1))
}

// Guards against unanswered attempts and samples that remain after their server
// was removed, so that the pool's sums drift from the sums over its servers.
func TestSequentialForget(t *testing.T) {
	g := NewWithT(t)
	b := newSimulation(Ridemark())
	b.start(0)
	for i := range testServers {
		b.d.Forget(server(i))
	}
	g.Expect(b.d.inFlight).To(BeZero())
	g.Expect(b.d.NextWake(b.now).IsZero()).To(BeTrue())
	g.Expect(b.d.ref.pool.samples / b.d.ref.weight).To(BeNumerically("<", 1))
}
