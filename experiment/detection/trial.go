package detection

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
)

// target is the server that faults of a single server affect.
const target = 0

// The pool of all trials: the size of the wayleave registry's, which has the
// most servers.
const (
	poolServers = 20
	poolSlots   = 2
)

const (
	// attemptDeadline ends an unanswered attempt with a failure.
	attemptDeadline = 2 * time.Second
	// abandonHold is how long a timed-out attempt still occupies its slot when
	// the server does not confirm its cancellation.
	abandonHold = time.Second
	// queueLimit bounds the requests that wait at an owner for a slot.
	queueLimit = 100
	// warmAttempts fill the reference before a fault begins, in warmMin at
	// least.
	warmAttempts = 20000
	warmMin      = 10 * time.Second
)

// Setup is a way to judge a pool.
type Setup struct {
	Name string
	// Judges is 1 for an owner that sees all traffic. Otherwise each request
	// arrives at a random one of several entries, which judge alone and do not
	// know the others' use of slots, so requests may wait at the server.
	Judges int
	// New returns the detector of one judge.
	New func() detector.Detector
}

// Setups returns the profiles and the baselines of the table.
func Setups() []Setup {
	const entries = 40
	consecutive := func() detector.Detector { return detector.NewConsecutive(detector.DefaultConsecutiveFailures) }
	return []Setup{
		Sequential(detector.Ridemark()),
		Sequential(detector.Consortium()),
		{Name: "consecutive, owner", Judges: 1, New: consecutive},
		{Name: "consecutive, 40 entries", Judges: entries, New: consecutive},
	}
}

// Sequential returns the setup of one owner with a profile.
func Sequential(p detector.Profile) Setup {
	return Setup{Name: p.Name, Judges: 1, New: func() detector.Detector { return detector.NewSequential(p) }}
}

// Config is one trial.
type Config struct {
	Setup Setup
	Fault FaultKind
	// Rate is in requests per second and server.
	Rate float64
	// LeastLoaded makes the owner choose the server with the fewest attempts
	// instead of any with a free slot.
	LeastLoaded bool
	Background  Background
	Rule        Rule
	Limits      floor.Limits
	// HedgeAfter cancels an attempt that is still unanswered after this time as
	// soon as a hedge has answered, and holds its slot for CancelHold or until
	// the server ends it; zero: no hedging. Owner only.
	HedgeAfter, CancelHold time.Duration
	// FromStart counts false ejections during the warm-up too, while the
	// detector knows little about the pool.
	FromStart bool
	// Horizon is the time after the warm-up. A trial of a single server's fault
	// ends when the target is ejected.
	Horizon time.Duration
	Seed    uint64
}

// NewConfig returns a trial with the default rule, background and floor.
func NewConfig(s Setup, f FaultKind, rate float64, horizon time.Duration, seed uint64) Config {
	return Config{
		Setup: s, Fault: f, Rate: rate, Background: Targeted(rate), Rule: DefaultRule(),
		Limits: floor.Limits{Share: 0.6}, Horizon: horizon, Seed: seed,
	}
}

// Outcome is what a trial shows.
type Outcome struct {
	// Detected is whether the target received no more new requests from at
	// least half of the judges, Detection the time from the fault to then.
	Detected  bool
	Detection time.Duration
	// Signal is the test that ejected the target first.
	Signal string
	// False counts ejections of healthy servers by signal, in all judges, from
	// the begin of the fault on, or from the start if the trial says so.
	False map[string]int
	// FalseServers is the number of healthy servers ejected at least once.
	FalseServers int
	// Attempts ended, and the simulated time in which False was counted.
	Attempts int
	Elapsed  time.Duration
}

// FalseTotal returns the number of false ejections.
func (o Outcome) FalseTotal() int {
	total := 0
	for _, n := range o.False {
		total += n
	}
	return total
}

// epoch makes virtual times non-zero time.Time values.
var epoch = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// attempt is a record of one attempt or waiting request.
type attempt struct {
	id      model.AttemptID
	version uint32
	server  int32
	judge   int32
	began   time.Duration
	end     answer
	running bool // holds a slot at the server
	over    bool // the judge has been told
}

// Run runs one trial.
func Run(c Config) Outcome {
	t := newTrial(c)
	t.run()
	t.out.Elapsed = t.now - t.begin
	if c.FromStart {
		t.out.Elapsed = t.now
	}
	for s := range t.falsely {
		if t.falsely[s] {
			t.out.FalseServers++
		}
	}
	return t.out
}

type trial struct {
	c        Config
	rng      *rand.Rand
	ids      []model.ServerID
	judges   []*judge
	events   schedule
	now      time.Duration
	begin    time.Duration // of the fault
	arrival  time.Duration
	wake     time.Duration
	attempts []attempt
	free     []int32
	nextID   model.AttemptID
	busy     [poolServers]int
	waiting  [poolServers][]int32 // at the server, entries only
	queue    []time.Duration      // at the owner
	falsely  [poolServers]bool
	out      Outcome
}

func newTrial(c Config) *trial {
	t := &trial{c: c, rng: rand.New(rand.NewPCG(c.Seed, 0x5eed)), wake: forever, out: Outcome{False: map[string]int{}}}
	for i := range poolServers {
		t.ids = append(t.ids, model.ServerID(fmt.Sprintf("s%02d", i)))
	}
	for range c.Setup.Judges {
		t.judges = append(t.judges, newJudge(c.Setup.New(), c.Rule, c.Limits, t.ids, poolSlots))
	}
	warm := time.Duration(warmAttempts / (c.Rate * poolServers) * float64(time.Second))
	t.begin = max(warm, warmMin)
	return t
}

func (t *trial) run() {
	end := t.begin + t.c.Horizon
	t.arrive()
	for !t.out.Detected {
		next := min(t.events.next(), t.arrival, t.wake)
		if next >= end {
			t.now = end
			return
		}
		t.now = t.seen(next)
		switch next {
		case t.wake:
			t.wake = forever
			t.assess(0)
		case t.arrival:
			t.arrive()
			t.request()
		default:
			t.handle(t.events.pop())
		}
	}
}

// seen returns when the judge notices what happens at a time: a paused judge
// notices it when it resumes.
func (t *trial) seen(when time.Duration) time.Duration {
	if t.c.Fault == JudgePause && when >= t.begin {
		return max(when, t.begin+judgePause)
	}
	return max(when, t.now)
}

func (t *trial) arrive() {
	mean := float64(time.Second) / (t.c.Rate * poolServers)
	t.arrival += time.Duration(t.rng.ExpFloat64() * mean)
}

// assess lets a judge eject and asks for its next wake.
func (t *trial) assess(judge int) {
	j := t.judges[judge]
	t.record(j.assess(t.now))
	if w := j.d.NextWake(at(t.now)); len(t.judges) == 1 && !w.IsZero() {
		t.wake = max(w.Sub(epoch), t.now+1)
	}
}

func (t *trial) record(list []ejection) {
	for _, e := range list {
		if t.now < t.begin && !t.c.FromStart {
			continue
		}
		if e.server != target || !t.c.Fault.mustEject() {
			t.out.False[e.signal]++
			t.falsely[e.server] = true
			continue
		}
		if t.out.Signal == "" {
			t.out.Signal = e.signal
		}
		t.checkDetected()
	}
}

func (t *trial) checkDetected() {
	withdrawn := 0
	for _, j := range t.judges {
		if j.servers[target].ejected {
			withdrawn++
		}
	}
	if 2*withdrawn >= len(t.judges) {
		t.out.Detected, t.out.Detection = true, t.now-t.begin
	}
}

func (f FaultKind) mustEject() bool {
	for _, row := range Faults() {
		if row.Kind == f {
			return row.MustEject
		}
	}
	return false
}
