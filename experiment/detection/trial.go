package detection

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
)

// target is the index of the server that a single-server fault affects.
const target = 0

// Pool size of all trials: that of the wayleave registry, the largest pool.
const (
	poolServers = 20
	poolSlots   = 2
)

const (
	// attemptDeadline ends an unanswered attempt with a failure.
	attemptDeadline = 2 * time.Second
	// abandonHold is how long a timed-out attempt keeps its slot when the server
	// does not confirm the cancellation.
	abandonHold = time.Second
	// queueLimit is the maximum number of requests that wait at an owner for a
	// slot.
	queueLimit = 100
	// The warm-up fills the detector's reference before a fault begins. It lasts
	// for warmAttempts on average, and for at least warmMin.
	warmAttempts = 20000
	warmMin      = 10 * time.Second
)

// Setup is a choice of detector and of the judges that run it.
type Setup struct {
	Name string
	// Judges is 1 for an owner, which sees all traffic. Otherwise it is the number
	// of entries. Each request arrives at a random entry. Entries decide
	// independently and do not know which slots the others use, so requests may
	// wait at the server.
	Judges int
	// New returns a detector for one judge.
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

// Sequential returns the setup of one owner with the sequential detector.
func Sequential(p detector.Profile) Setup {
	return Setup{Name: p.Name, Judges: 1, New: func() detector.Detector { return detector.NewSequential(p) }}
}

// Config describes one trial.
type Config struct {
	Setup Setup
	Fault FaultKind
	// Rate is in requests per second and server.
	Rate float64
	// LeastLoaded makes the owner choose the server with the fewest attempts.
	// Otherwise it chooses a random server with a free slot.
	LeastLoaded bool
	Background  Background
	Rule        Rule
	Limits      floor.Limits
	// HedgeAfter is the time after which an unanswered attempt is hedged; zero:
	// no hedging. The attempt is cancelled when the hedge answers. It keeps its
	// slot for CancelHold or until the server ends it. Only for an owner.
	HedgeAfter, CancelHold time.Duration
	// FromStart also counts false ejections during the warm-up, when the
	// detector's reference is still incomplete.
	FromStart bool
	// Horizon is the length of the trial after the warm-up. A trial of a
	// single-server fault ends earlier if the target is ejected.
	Horizon time.Duration
	Seed    uint64
}

// NewConfig returns a trial with the default rule, background and floor.
func NewConfig(s Setup, f FaultKind, rate float64, horizon time.Duration, seed uint64) Config {
	return Config{
		Setup: s, Fault: f, Rate: rate, Background: TargetBackground(rate), Rule: DefaultRule(),
		Limits: floor.Limits{Share: 0.6}, Horizon: horizon, Seed: seed,
	}
}

// Outcome is the result of one trial.
type Outcome struct {
	// Detected means that at least half of the judges had ejected the target.
	// Detection is the time from the start of the fault until then.
	Detected  bool
	Detection time.Duration
	// Signal is the detector's signal that ejected the target first.
	Signal string
	// FalseEjections counts ejections of healthy servers by signal, over all
	// judges, from the start of the fault or, with Config.FromStart, of the trial.
	FalseEjections map[string]int
	// FalseServers is the number of healthy servers ejected at least once.
	FalseServers int
	// Attempts counts the ended attempts. Elapsed is the simulated time over which
	// FalseEjections were counted.
	Attempts int
	Elapsed  time.Duration
}

// TotalFalseEjections returns the number of false ejections, over all signals.
func (o Outcome) TotalFalseEjections() int {
	total := 0
	for _, n := range o.FalseEjections {
		total += n
	}
	return total
}

// epoch makes virtual times non-zero time.Time values.
var epoch = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// attempt is the record of one attempt, which may wait at its server for a slot.
type attempt struct {
	id       model.AttemptID
	version  uint32
	server   int32
	judge    int32
	began    time.Duration
	end      answer
	running  bool // holds a slot at the server
	reported bool // the end was reported to the judge
}

// Run runs one trial.
func Run(c Config) Outcome {
	t := newTrial(c)
	t.run()
	t.out.Elapsed = t.now - t.faultStart
	if c.FromStart {
		t.out.Elapsed = t.now
	}
	for s := range t.falselyEjected {
		if t.falselyEjected[s] {
			t.out.FalseServers++
		}
	}
	return t.out
}

type trial struct {
	c              Config
	rng            *rand.Rand
	ids            []model.ServerID
	judges         []*judge
	events         schedule
	now            time.Duration
	faultStart     time.Duration
	arrival        time.Duration
	wake           time.Duration
	attempts       []attempt
	freeRecords    []int32
	nextID         model.AttemptID
	busySlots      [poolServers]int
	serverQueues   [poolServers][]int32 // attempts that wait at each server; entries only
	ownerQueue     []time.Duration      // arrival times of the requests that wait at the owner
	falselyEjected [poolServers]bool
	out            Outcome
}

func newTrial(c Config) *trial {
	t := &trial{c: c, rng: rand.New(rand.NewPCG(c.Seed, 0x5eed)), wake: forever, out: Outcome{FalseEjections: map[string]int{}}}
	for i := range poolServers {
		t.ids = append(t.ids, model.ServerID(fmt.Sprintf("s%02d", i)))
	}
	for range c.Setup.Judges {
		t.judges = append(t.judges, newJudge(c.Setup.New(), c.Rule, c.Limits, t.ids, poolSlots))
	}
	warm := time.Duration(warmAttempts / (c.Rate * poolServers) * float64(time.Second))
	t.faultStart = max(warm, warmMin)
	return t
}

func (t *trial) run() {
	end := t.faultStart + t.c.Horizon
	t.arrive()
	for !t.out.Detected {
		next := min(t.events.next(), t.arrival, t.wake)
		if next >= end {
			t.now = end
			return
		}
		t.now = t.noticedAt(next)
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

// noticedAt returns when the judge notices an event. A paused judge notices it
// when it resumes.
func (t *trial) noticedAt(when time.Duration) time.Duration {
	if t.c.Fault == JudgePause && when >= t.faultStart {
		return max(when, t.faultStart+judgePause)
	}
	return max(when, t.now)
}

func (t *trial) arrive() {
	mean := float64(time.Second) / (t.c.Rate * poolServers)
	t.arrival += time.Duration(t.rng.ExpFloat64() * mean)
}

// assess lets a judge eject servers and schedules the owner's next wake.
func (t *trial) assess(judge int) {
	j := t.judges[judge]
	t.record(j.assess(t.now))
	if w := j.d.NextWake(at(t.now)); len(t.judges) == 1 && !w.IsZero() {
		t.wake = max(w.Sub(epoch), t.now+1)
	}
}

func (t *trial) record(list []ejection) {
	for _, e := range list {
		if t.now < t.faultStart && !t.c.FromStart {
			continue
		}
		if e.server != target || !t.c.Fault.mustEject() {
			t.out.FalseEjections[e.signal]++
			t.falselyEjected[e.server] = true
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
		t.out.Detected, t.out.Detection = true, t.now-t.faultStart
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
