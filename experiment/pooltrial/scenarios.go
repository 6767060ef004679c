package pooltrial

import (
	"strconv"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

const (
	// warmUp is the time before the measurement of waits, fairness or goodput starts.
	warmUp = 5 * time.Second
	// interactiveTimeout is the timeout of a request from an interactive caller.
	interactiveTimeout = time.Second
	// Workspaces is the number of workspaces. They have equal weights.
	Workspaces = 10
	// floodFactor is the load of the flooding workspace, relative to its fair share.
	floodFactor = 10
	// overloadFactor is the load during an overload, relative to Capacity.
	overloadFactor = 3
	// overloadQueue holds more requests than can be answered within the timeout at
	// full capacity, so that deadlines limit the queue. A shorter queue would hide
	// requests that are dispatched too late to be answered.
	overloadQueue = 10000
	// recoveredShare is the share of offered requests that are answered again
	// after recovery from an overload.
	recoveredShare = 0.95
)

// OwnerWaits measures the queueing delays of requests at one owner. Hedging is off
// so that the workload is the same as in EntryWaits. load is relative to Capacity.
func OwnerWaits(service Service, load float64, length time.Duration, seed uint64) Samples {
	c := NewClock()
	o := NewOwner(c, OwnerConfig{Service: service, Seed: seed, Configure: func(p *pool.Config) {
		p.HedgePercentile = -1
	}})
	o.Measure(false)
	Arrivals(c, newRand(seed, 1), Constant(load*Capacity), func() { o.Submit("w", true, time.Minute) })
	c.RunUntil(c.Now().Add(warmUp))
	o.Measure(true)
	c.RunUntil(c.Now().Add(length))
	return o.Waits
}

// Fairness is the service that workspaces get while another one floods the pool.
type Fairness struct {
	// Load is the offered load of each other workspace, relative to its fair share.
	Load float64
	// Pulse is the period of a flood that lasts for half of each period. Zero
	// means a constant flood.
	Pulse time.Duration
	// AnsweredShare is the lowest share of offered requests that were answered,
	// over the other workspaces.
	AnsweredShare float64
	// P99Alone is the 99th percentile of the latency of a workspace that runs
	// alone. P99BesideFlood is the highest one of the other workspaces during the
	// flood.
	P99Alone, P99BesideFlood time.Duration
	// Retries is the number of attempts beyond the first, relative to dispatched
	// requests.
	Retries float64
}

// MeasureFairness runs Workspaces workspaces. One offers floodFactor times its fair
// share, in pulses if pulse is not zero. The others offer load times theirs.
func MeasureFairness(load float64, pulse time.Duration, service Service, length time.Duration, seed uint64) Fairness {
	share := Capacity / Workspaces
	alone := runWorkspaces([]func(time.Time) float64{Constant(load * share)}, service, length, seed)
	rates := []func(time.Time) float64{flood(floodFactor*share, pulse)}
	for range Workspaces - 1 {
		rates = append(rates, Constant(load*share))
	}
	beside := runWorkspaces(rates, service, length, seed)
	out := Fairness{
		Load: load, Pulse: pulse, AnsweredShare: 1, P99Alone: alone.Stats(workspace(0)).Latency.Percentile(0.99),
		Retries: float64(beside.Dispatched-beside.FirstAttempts) / float64(beside.FirstAttempts),
	}
	for i := 1; i < Workspaces; i++ {
		a := beside.Stats(workspace(i))
		out.AnsweredShare = min(out.AnsweredShare, float64(a.Answered)/float64(a.Offered))
		out.P99BesideFlood = max(out.P99BesideFlood, a.Latency.Percentile(0.99))
	}
	return out
}

// pauseRate is the rate of a flooding workspace between pulses, in requests/s.
const pauseRate = 10

// flood returns a rate that is high in the first half of each period and
// pauseRate in the second. With a zero period it is always high.
func flood(high float64, period time.Duration) func(time.Time) float64 {
	return func(t time.Time) float64 {
		if period > 0 && time.Duration(t.UnixNano())%period >= period/2 {
			return pauseRate
		}
		return high
	}
}

func workspace(i int) model.WorkspaceID { return model.WorkspaceID("w" + strconv.Itoa(i)) }

// runWorkspaces runs one workspace for each rate and returns the owner. One in four
// requests, on average, is not repeatable.
func runWorkspaces(rates []func(time.Time) float64, service Service, length time.Duration, seed uint64) *Owner {
	c := NewClock()
	o := NewOwner(c, OwnerConfig{Service: service, Seed: seed})
	o.Measure(false)
	for i, rate := range rates {
		random := newRand(seed, uint64(i)+1)
		Arrivals(c, random, rate, func() { o.Submit(workspace(i), random.IntN(4) > 0, interactiveTimeout) })
	}
	c.RunUntil(c.Now().Add(warmUp))
	o.Measure(true)
	c.RunUntil(c.Now().Add(length))
	o.Measure(false)
	c.RunUntil(c.Now().Add(interactiveTimeout))
	return o
}

// Overload is the result of an overload and the recovery from it.
type Overload struct {
	// Goodput during the overload relative to the capacity.
	Goodput float64
	// Unknown is the share of offered requests whose outcome is unknown.
	Unknown float64
	// Recovery is the time from the end of the overload to the end of the first
	// whole second in which recoveredShare of the offered requests are answered
	// and none is refused or fails unexecuted; at most maxRecovery.
	Recovery time.Duration
}

// MeasureOverload offers overloadFactor times the capacity for the given length,
// then the load after, relative to Capacity. Servers confirm cancellations unless
// unconfirmed is set.
func MeasureOverload(length time.Duration, after float64, service Service, unconfirmed bool, seed uint64) Overload {
	c := NewClock()
	o := NewOwner(c, OwnerConfig{Service: service, Seed: seed, Unconfirmed: unconfirmed, Configure: func(p *pool.Config) {
		p.QueueLimit = overloadQueue
	}})
	start := c.Now()
	end := start.Add(length)
	rate := func(t time.Time) float64 {
		if t.Before(end) {
			return overloadFactor * Capacity
		}
		return after * Capacity
	}
	random := newRand(seed, 1)
	answered := 0
	o.OnAnswer = func() { answered++ }
	Arrivals(c, random, rate, func() {
		o.Submit(workspace(random.IntN(Workspaces)), random.IntN(4) > 0, interactiveTimeout)
	})
	c.RunUntil(start.Add(warmUp))
	atStart := answered
	c.RunUntil(end)
	out := Overload{
		Goodput: float64(answered-atStart) / (Capacity * (length - warmUp).Seconds()),
		Unknown: float64(o.Total().Unknown) / float64(o.Total().Offered),
	}
	out.Recovery = recovery(c, o, end)
	return out
}

// maxRecovery is the longest recovery time that is measured.
const maxRecovery = time.Minute

func recovery(c *Clock, o *Owner, end time.Time) time.Duration {
	for c.Now().Before(end.Add(maxRecovery)) {
		before := o.Total()
		c.RunUntil(c.Now().Add(time.Second))
		total := o.Total()
		if float64(total.Answered-before.Answered) >= recoveredShare*float64(total.Offered-before.Offered) &&
			total.NotRun == before.NotRun {
			break
		}
	}
	return c.Now().Sub(end)
}

// Stall is the service that callers get while servers stall and no detector ejects
// them.
type Stall struct {
	// Stalled is the number of servers that never answer.
	Stalled int
	// Lookups is the share of lookups that are answered, P99 the 99th percentile
	// of their latency.
	Lookups float64
	P99     time.Duration
	// Postings is the share of postings that are answered, Unknown the share whose
	// outcome is unknown.
	Postings, Unknown float64
}

// MeasureStall runs three quarters of repeatable lookups and a quarter of
// non-repeatable postings. load is relative to Capacity.
func MeasureStall(stalled int, load float64, length time.Duration, seed uint64) Stall {
	c := NewClock()
	o := NewOwner(c, OwnerConfig{Service: Exponential, Stalled: stalled, Seed: seed})
	random := newRand(seed, 1)
	Arrivals(c, random, Constant(load*Capacity), func() {
		if random.IntN(4) == 0 {
			o.Submit("postings", false, interactiveTimeout)
		} else {
			o.Submit("lookups", true, interactiveTimeout)
		}
	})
	c.RunUntil(c.Now().Add(length))
	lookups, postings := o.Stats("lookups"), o.Stats("postings")
	return Stall{
		Stalled: stalled, Lookups: lookups.answeredShare(), P99: lookups.Latency.Percentile(0.99),
		Postings: postings.answeredShare(),
		Unknown:  float64(postings.Unknown) / float64(postings.Answered+postings.NotRun+postings.Unknown),
	}
}

// Retries is the load that a pool adds when attempts fail.
type Retries struct {
	// Failures is the share of attempts that fail after they were sent.
	Failures float64
	// Requests counts the dispatched requests.
	Requests int
	// Added is the number of attempts beyond the first, relative to dispatched
	// requests.
	Added float64
	// Answered is the share of lookups that were answered.
	Answered float64
}

// MeasureRetries runs lookups while the given share of attempts fails. load is
// relative to Capacity.
func MeasureRetries(failures, load float64, length time.Duration, seed uint64) Retries {
	c := NewClock()
	o := NewOwner(c, OwnerConfig{Service: Exponential, Failures: failures, Seed: seed})
	Arrivals(c, newRand(seed, 1), Constant(load*Capacity), func() { o.Submit("w", true, interactiveTimeout) })
	c.RunUntil(c.Now().Add(length))
	total := o.Total()
	return Retries{
		Failures: failures, Requests: o.FirstAttempts, Added: float64(o.Dispatched-o.FirstAttempts) / float64(o.FirstAttempts),
		Answered: float64(total.Answered) / float64(total.Answered+total.Unknown+total.NotRun),
	}
}
