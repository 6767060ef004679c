package detection

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/agateusher/agateusher/core/detector"
)

// FaultKind names a way in which servers, links or the judge misbehave.
type FaultKind uint8

// Faults. Those of a single server affect the target, server 0.
const (
	// NoFault: only the background errors and the latency tail occur.
	NoFault FaultKind = iota
	// Stall: the target does not answer.
	Stall
	// Errors: 30% of the target's answers are server errors.
	Errors
	// Slow: the target takes ten times as long.
	Slow
	// Flapping: the target stalls for 2 s, works for 2 s, and so on.
	Flapping
	// DegradedLink: on the link to the target 20% of attempts fail to connect after
	// 1 s and 30% take 200 ms to 1 s longer.
	DegradedLink
	// Shedding: the target sheds half of its requests within 1 ms.
	Shedding
	// SlowService: every server takes five times as long.
	SlowService
	// FailingService: every server answers half of its requests with an error.
	FailingService
	// StalledService: no server answers for 3 s.
	StalledService
	// JudgePause: the process of the judge is paused for 5 s.
	JudgePause
)

// Parameters of the faults.
const (
	errorShare      = 0.3
	slowFactor      = 10
	flapPhase       = 2 * time.Second
	linkFailShare   = 0.2
	linkFailAfter   = time.Second
	linkDelayShare  = 0.3
	linkDelayMin    = 200 * time.Millisecond
	linkDelaySpread = 800 * time.Millisecond
	shedShare       = 0.5
	shedAfter       = time.Millisecond
	serviceFactor   = 5
	serviceErrors   = 0.5
	serviceStall    = 3 * time.Second
	judgePause      = 5 * time.Second
)

// Fault is one row of the table of detection times.
type Fault struct {
	Name string
	Kind FaultKind
	// MustEject means that the target must be ejected. Otherwise every ejection
	// is false.
	MustEject bool
}

// Faults returns the rows of the table. The detectors use no probes, so a stalled
// server that still answers probes looks the same to them as a full stall; that
// row repeats the trial with other seeds.
func Faults() []Fault {
	return []Fault{
		{"none", NoFault, false},
		{"full stall", Stall, true},
		{"stall, probes good", Stall, true},
		{"30% errors", Errors, true},
		{"10x latency", Slow, true},
		{"flapping 2 s", Flapping, true},
		{"sick link", DegradedLink, true},
		{"shedding 50%", Shedding, false},
		{"slow service 5x", SlowService, false},
		{"failing service 50%", FailingService, false},
		{"stalled service 3 s", StalledService, false},
		{"judge paused 5 s", JudgePause, false},
	}
}

// Background is the behaviour of a healthy server.
type Background struct {
	// Median latency. Sigma is the standard deviation of the latency's logarithm.
	Median time.Duration
	Sigma  float64
	// ErrorRate is the share of answers that are server errors.
	ErrorRate float64
	// TailShare of the answers take TailFactor times as long.
	TailShare, TailFactor float64
	// TailIndex, if not zero, makes the factor of the tail a Pareto variable with
	// this index and the minimum TailFactor. Otherwise the factor is constant.
	TailIndex float64
	// CancelAfter, if not zero, is the time after which an attempt is hedged. The
	// attempt is cancelled if the hedge answers first.
	CancelAfter time.Duration
}

// TargetBackground returns the background for which the detection targets are
// stated: 0.5% errors and a 1% tail of 10x. The median is 20 ms, but 5 ms above 50
// requests per second, since a server with 2 slots cannot serve 100 requests per
// second at 20 ms.
func TargetBackground(rate float64) Background {
	b := Background{Median: 20 * time.Millisecond, Sigma: 0.35, ErrorRate: 0.005, TailShare: 0.01, TailFactor: 10}
	if rate > 50 {
		b.Median = 5 * time.Millisecond
	}
	return b
}

// answer is a server's result for an attempt, with its latency.
type answer struct {
	kind    detector.Kind
	latency time.Duration
}

func (b Background) draw(rng *rand.Rand) answer {
	a := answer{kind: detector.Success}
	factor := math.Exp(b.Sigma * rng.NormFloat64())
	if rng.Float64() < b.TailShare {
		factor *= b.TailFactor
		if b.TailIndex > 0 {
			factor *= math.Pow(1-rng.Float64(), -1/b.TailIndex)
		}
	}
	a.latency = time.Duration(factor * float64(b.Median))
	if rng.Float64() < b.ErrorRate {
		a.kind = detector.Failure
	}
	if b.CancelAfter > 0 && a.latency > b.CancelAfter {
		hedge := time.Duration(math.Exp(b.Sigma*rng.NormFloat64()) * float64(b.Median))
		if b.CancelAfter+hedge < a.latency {
			return answer{kind: detector.Cancelled, latency: b.CancelAfter + hedge}
		}
	}
	return a
}

// modify applies the fault to the answer of a healthy server. since is the time
// since the fault began, negative before it.
func (f FaultKind) modify(a answer, server int, since time.Duration, rng *rand.Rand) answer {
	if since < 0 {
		return a
	}
	switch {
	case f == SlowService:
		a.latency *= serviceFactor
	case f == FailingService && rng.Float64() < serviceErrors:
		a.kind = detector.Failure
	case server != target:
	case f == Errors && rng.Float64() < errorShare:
		a.kind = detector.Failure
	case f == Slow:
		a.latency *= slowFactor
	case f == Shedding && rng.Float64() < shedShare:
		return answer{kind: detector.Shed, latency: shedAfter}
	case f == DegradedLink:
		return degradedLink(a, rng)
	}
	return a
}

func degradedLink(a answer, rng *rand.Rand) answer {
	switch x := rng.Float64(); {
	case x < linkFailShare:
		return answer{kind: detector.ConnectFailure, latency: linkFailAfter}
	case x < linkFailShare+linkDelayShare:
		a.latency += linkDelayMin + time.Duration(rng.Float64()*float64(linkDelaySpread))
	}
	return a
}

// forever is later than any simulated time.
const forever = time.Duration(math.MaxInt64)

// stalledUntil returns when a server that is stalled at since works again, or zero
// if it is not stalled. Times are relative to the start of the fault.
func (f FaultKind) stalledUntil(server int, since time.Duration) time.Duration {
	switch {
	case since < 0:
	case f == StalledService && since < serviceStall:
		return serviceStall
	case server != target:
	case f == Stall:
		return forever
	case f == Flapping && (since/flapPhase)%2 == 0:
		return (since/flapPhase + 1) * flapPhase
	}
	return 0
}
