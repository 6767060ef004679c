package pooltrial

import (
	"strconv"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// Fault is how one server fails.
type Fault string

// Faults of a server.
const (
	// FaultStall: it answers nothing, also not what it has.
	FaultStall Fault = "stall"
	// FaultErrors: it fails errorShare of its requests.
	FaultErrors Fault = "30% errors"
	// FaultSlow: it takes slowFactor times as long.
	FaultSlow Fault = "10x latency"
)

const (
	errorShare = 0.3
	slowFactor = 10
	// detectionFloor of the pool, as a share of its slots.
	detectionFloor = 0.6
	// detectionWarmUp lets the detector learn the pool's latency.
	detectionWarmUp = 30 * time.Second
	// detectionHorizon is how long after the fault a detection still counts.
	detectionHorizon = 30 * time.Second
	// backgroundErrors fail at every server.
	backgroundErrors = 0.005
	// faultyServer is the one that fails.
	faultyServer = model.ServerID("s0")
	// onceShare of the requests may not be repeated: one in ten.
	onceShare = 10
)

// Detection is the result of one trial of the real pool with the real detector.
type Detection struct {
	// After is the time from the fault to the ejection; negative: not ejected.
	After time.Duration
	// Dispatched counts attempts at the server after the fault began.
	Dispatched int
	// FalseEjections counts ejections of healthy servers, over the whole trial.
	FalseEjections int
	// Unknown counts requests with that outcome after the fault began.
	Unknown int
}

// detectionTrial watches one owner.
type detectionTrial struct {
	owner  *Owner
	fault  time.Time
	result Detection
}

// MeasureDetection lets one server fail in a pool that serves the given
// requests a second for each server, and returns when the pool ejects it.
func MeasureDetection(profile detector.Profile, fault Fault, rate float64, seed uint64) Detection {
	c := NewClock()
	o := NewOwner(c, OwnerConfig{Service: Exponential, Failures: backgroundErrors, Seed: seed, Change: func(p *pool.Config) {
		p.Detector, p.Plan = detector.NewSequential(profile), floor.Plan
		p.Limits = floor.Limits{Share: detectionFloor, MinServers: 1}
	}})
	t := &detectionTrial{owner: o, result: Detection{After: -1}}
	o.OnChange = t.changed
	random := newRand(seed, 1)
	Arrivals(c, random, Constant(rate*Servers), func() { o.Submit("w", random.IntN(onceShare) > 0, 2*time.Second) })
	c.RunUntil(c.Now().Add(detectionWarmUp))
	o.Measure(true)
	before, unknown := o.dispatchedTo[faultyServer], o.Total().Unknown
	t.fault = c.Now()
	o.fail(faultyServer, fault)
	c.RunUntil(t.fault.Add(detectionHorizon))
	t.result.Unknown = o.Total().Unknown - unknown
	if t.result.After < 0 {
		t.result.Dispatched = o.dispatchedTo[faultyServer] - before
	} else {
		t.result.Dispatched -= before
	}
	return t.result
}

func (t *detectionTrial) changed(x pool.ServerChanged) {
	if x.To != pool.Ejected {
		return
	}
	switch {
	case x.Server != faultyServer || t.fault.IsZero():
		t.result.FalseEjections++
	case t.result.After < 0:
		t.result.After = t.owner.clock.Now().Sub(t.fault)
		t.result.Dispatched = t.owner.dispatchedTo[faultyServer]
	}
}

// fail begins a fault at a server.
func (o *Owner) fail(id model.ServerID, fault Fault) {
	o.faults[id] = fault
	if fault != FaultStall {
		return
	}
	for a, server := range o.servers {
		if event, running := o.running[a]; running && server == id {
			event.Cancel()
			o.running[a] = &Event{}
		}
	}
}

// DetectionSummary sums up the trials of several seeds.
type DetectionSummary struct {
	Profile        string
	Fault          Fault
	Rate           float64
	Median, P99    time.Duration
	Missed, Trials int
	// Mean numbers for each trial.
	Dispatched, Unknown, FalseEjections float64
}

// MeasureDetections runs trials with the seeds from 1 on.
func MeasureDetections(profile detector.Profile, fault Fault, rate float64, trials int) DetectionSummary {
	out := DetectionSummary{Profile: profile.Name, Fault: fault, Rate: rate, Trials: trials}
	var times Samples
	for seed := range trials {
		d := MeasureDetection(profile, fault, rate, uint64(seed)+1)
		if d.After < 0 {
			out.Missed++
			d.After = detectionHorizon
		}
		times = append(times, d.After)
		out.Dispatched += float64(d.Dispatched) / float64(trials)
		out.Unknown += float64(d.Unknown) / float64(trials)
		out.FalseEjections += float64(d.FalseEjections) / float64(trials)
	}
	out.Median, out.P99 = times.Percentile(0.5), times.Percentile(0.99)
	return out
}

// String returns one row of a table.
func (s DetectionSummary) String() string {
	return s.Profile + "\t" + string(s.Fault) + "\t" + strconv.FormatFloat(s.Rate, 'f', -1, 64) +
		"\t" + s.Median.Round(time.Millisecond).String() + "\t" + s.P99.Round(time.Millisecond).String() +
		"\t" + strconv.Itoa(s.Missed) + "/" + strconv.Itoa(s.Trials) +
		"\t" + strconv.FormatFloat(s.Dispatched, 'f', 1, 64) + "\t" + strconv.FormatFloat(s.Unknown, 'f', 2, 64) +
		"\t" + strconv.FormatFloat(s.FalseEjections, 'f', 3, 64)
}
