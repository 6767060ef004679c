package pooltrial

import (
	"strconv"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

const (
	// warmUp is left out of each measurement.
	warmUp = 5 * time.Second
	// limit is the time limit of requests, that of an interactive caller.
	limit = time.Second
	// Workspaces share the pool equally.
	Workspaces = 10
	// floodFactor is the load of the flooding workspace in fair shares.
	floodFactor = 10
	// overloadFactor is the offered load of an overload in capacities.
	overloadFactor = 3
	// overloadQueue is longer than the time limit allows at full capacity, so
	// that the deadlines limit the queue: a shorter one would hide requests that
	// are dispatched too late to be answered.
	overloadQueue = 10000
	// recoveredShare of the offered requests is answered once goodput is back.
	recoveredShare = 0.95
)

// OwnerWaits measures the waits of requests at one owner. Hedges are off, so
// that it runs the same work as EntryWaits.
func OwnerWaits(service Service, load float64, length time.Duration, seed uint64) Samples {
	c := NewClock()
	o := NewOwner(c, OwnerConfig{Service: service, Seed: seed, Change: func(p *pool.Config) {
		p.HedgePercentile = -1
	}})
	o.Measure(false)
	Arrivals(c, newRand(seed, 1), Constant(load*Capacity), func() { o.Submit("w", true, time.Minute) })
	c.RunUntil(c.Now().Add(warmUp))
	o.Measure(true)
	c.RunUntil(c.Now().Add(length))
	return o.Waits
}

// Fairness is what one workspace gets beside a flooding one.
type Fairness struct {
	// Load is the workspace's offered load as a share of its fair share.
	Load float64
	// Pulse is the period of a workspace that floods half of the time; zero: it
	// floods all the time.
	Pulse time.Duration
	// Kept is the least of the other workspaces' answered requests relative to
	// what they offered.
	Kept float64
	// Alone and Beside are the 99th percentiles of the latency of a workspace
	// that runs alone and, the worst of all others, beside the flood.
	Alone, Beside time.Duration
	// Retries are attempts beyond the first, relative to dispatched requests.
	Retries float64
}

// MeasureFairness runs Workspaces workspaces of which one offers floodFactor
// times its fair share, in pulses if pulse is not zero, and the others the given
// share of theirs.
func MeasureFairness(load float64, pulse time.Duration, service Service, length time.Duration, seed uint64) Fairness {
	share := Capacity / Workspaces
	alone := runWorkspaces([]func(time.Time) float64{Constant(load * share)}, service, length, seed)
	rates := []func(time.Time) float64{flood(floodFactor*share, pulse)}
	for range Workspaces - 1 {
		rates = append(rates, Constant(load*share))
	}
	beside := runWorkspaces(rates, service, length, seed)
	out := Fairness{
		Load: load, Pulse: pulse, Kept: 1, Alone: alone.Account(workspace(0)).Latency.Percentile(0.99),
		Retries: float64(beside.Dispatched-beside.First) / float64(beside.First),
	}
	for i := 1; i < Workspaces; i++ {
		a := beside.Account(workspace(i))
		out.Kept = min(out.Kept, float64(a.Answered)/float64(a.Offered))
		out.Beside = max(out.Beside, a.Latency.Percentile(0.99))
	}
	return out
}

// pauseRate is the rate of a flooding workspace between its pulses.
const pauseRate = 10

// flood returns a rate that is high in the first half of each period.
func flood(high float64, period time.Duration) func(time.Time) float64 {
	return func(t time.Time) float64 {
		if period > 0 && time.Duration(t.UnixNano())%period >= period/2 {
			return pauseRate
		}
		return high
	}
}

func workspace(i int) model.WorkspaceID { return model.WorkspaceID("w" + strconv.Itoa(i)) }

// runWorkspaces runs one workspace for each rate and returns the owner. One in
// four requests may not be repeated.
func runWorkspaces(rates []func(time.Time) float64, service Service, length time.Duration, seed uint64) *Owner {
	c := NewClock()
	o := NewOwner(c, OwnerConfig{Service: service, Seed: seed})
	o.Measure(false)
	for i, rate := range rates {
		random := newRand(seed, uint64(i)+1)
		Arrivals(c, random, rate, func() { o.Submit(workspace(i), random.IntN(4) > 0, limit) })
	}
	c.RunUntil(c.Now().Add(warmUp))
	o.Measure(true)
	c.RunUntil(c.Now().Add(length))
	o.Measure(false)
	c.RunUntil(c.Now().Add(limit))
	return o
}

// Overload is the result of an overload and its end.
type Overload struct {
	// Goodput during the overload relative to the capacity.
	Goodput float64
	// Unknown is the share of offered requests whose outcome is unknown.
	Unknown float64
	// Recovery is the time from the end of the overload until the first whole
	// second that answers recoveredShare of what arrives.
	Recovery time.Duration
}

// MeasureOverload offers overloadFactor times the capacity for a time, then
// the given load. Servers confirm cancellations unless unconfirmed is set.
func MeasureOverload(length time.Duration, after float64, service Service, unconfirmed bool, seed uint64) Overload {
	c := NewClock()
	o := NewOwner(c, OwnerConfig{Service: service, Seed: seed, Unconfirmed: unconfirmed, Change: func(p *pool.Config) {
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
		o.Submit(workspace(random.IntN(Workspaces)), random.IntN(4) > 0, limit)
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

// maxRecovery ends the measurement of a recovery.
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

// Stall is what callers see while servers stall and no detector ejects them.
type Stall struct {
	// Stalled counts servers that never answer.
	Stalled int
	// Lookups is the share of the lookups that are answered, P99 their latency.
	Lookups float64
	P99     time.Duration
	// Postings is the share of the postings that are answered, Unknown the share
	// whose outcome is unknown.
	Postings, Unknown float64
}

// MeasureStall runs lookups and a quarter of postings at a load.
func MeasureStall(stalled int, load float64, length time.Duration, seed uint64) Stall {
	c := NewClock()
	o := NewOwner(c, OwnerConfig{Service: Exponential, Stalled: stalled, Seed: seed})
	random := newRand(seed, 1)
	Arrivals(c, random, Constant(load*Capacity), func() {
		if random.IntN(4) == 0 {
			o.Submit("postings", false, limit)
		} else {
			o.Submit("lookups", true, limit)
		}
	})
	c.RunUntil(c.Now().Add(length))
	lookups, postings := o.Account("lookups"), o.Account("postings")
	return Stall{
		Stalled: stalled, Lookups: lookups.answeredShare(), P99: lookups.Latency.Percentile(0.99),
		Postings: postings.answeredShare(),
		Unknown:  float64(postings.Unknown) / float64(postings.Answered+postings.NotRun+postings.Unknown),
	}
}

// Retries is the work that a pool adds when attempts fail.
type Retries struct {
	// Failures is the share of attempts that fail after they were sent.
	Failures float64
	// Requests counts the dispatched requests.
	Requests int
	// Added is the attempts beyond the first, relative to dispatched requests.
	Added float64
	// Answered is the share of the lookups that were answered.
	Answered float64
}

// MeasureRetries runs lookups at a load while attempts fail.
func MeasureRetries(failures, load float64, length time.Duration, seed uint64) Retries {
	c := NewClock()
	o := NewOwner(c, OwnerConfig{Service: Exponential, Failures: failures, Seed: seed})
	Arrivals(c, newRand(seed, 1), Constant(load*Capacity), func() { o.Submit("w", true, limit) })
	c.RunUntil(c.Now().Add(length))
	total := o.Total()
	return Retries{
		Failures: failures, Requests: o.First, Added: float64(o.Dispatched-o.First) / float64(o.First),
		Answered: float64(total.Answered) / float64(total.Answered+total.Unknown+total.NotRun),
	}
}
