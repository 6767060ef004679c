package pooltrial

import (
	"strconv"
	"time"

	"github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/floor"
	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// Fault is a failure mode of one server.
type Fault string

// Faults of a server.
const (
	// FaultStall: the server answers no request, also none that it already runs.
	FaultStall Fault = "stall"
	// FaultErrors: errorShare of the server's requests fail.
	FaultErrors Fault = "30% errors"
	// FaultSlow: the server takes slowFactor times as long.
	FaultSlow Fault = "10x latency"
)

const (
	errorShare = 0.3
	slowFactor = 10
	// detectionFloor is the pool's floor, as a share of its slots.
	detectionFloor = 0.6
	// detectionWarmUp is the time in which the detector learns the pool's latency
	// before the fault begins.
	detectionWarmUp = 30 * time.Second
	// detectionHorizon is the time after the start of the fault in which an
	// ejection counts as a detection.
	detectionHorizon = 30 * time.Second
	// backgroundErrorRate is the share of attempts that fail at every server.
	backgroundErrorRate = 0.005
	// faultyServer is the server with the fault.
	faultyServer = model.ServerID("s0")
	// One in nonRepeatableOneIn requests, on average, is not repeatable.
	nonRepeatableOneIn = 10
)

// Detection is the result of one trial of the real pool with the real detector.
type Detection struct {
	// Delay is the time from the start of the fault to the ejection; negative if
	// the server was not ejected.
	Delay time.Duration
	// Dispatched counts the attempts at the faulty server between the start of the
	// fault and its ejection or, without one, the end of the trial.
	Dispatched int
	// FalseEjections counts ejections of healthy servers over the whole trial.
	FalseEjections int
	// Unknown counts requests with an unknown outcome after the fault began.
	Unknown int
}

// detectionTrial records the ejections of one owner.
type detectionTrial struct {
	owner  *Owner
	fault  time.Time
	result Detection
}

// MeasureDetection makes one server of a pool faulty and measures when the pool
// ejects it. rate is in requests per second and server.
func MeasureDetection(profile detector.Profile, fault Fault, rate float64, seed uint64) Detection {
	c := NewClock()
	o := NewOwner(c, OwnerConfig{Service: Exponential, Failures: backgroundErrorRate, Seed: seed, Configure: func(p *pool.Config) {
		p.Detector, p.Plan = detector.NewSequential(profile), floor.Plan
		p.Limits = floor.Limits{Share: detectionFloor, MinServers: 1}
	}})
	t := &detectionTrial{owner: o, result: Detection{Delay: -1}}
	o.OnChange = t.onChange
	random := newRand(seed, 1)
	Arrivals(c, random, Constant(rate*Servers), func() { o.Submit("w", random.IntN(nonRepeatableOneIn) > 0, 2*time.Second) })
	c.RunUntil(c.Now().Add(detectionWarmUp))
	o.Measure(true)
	before, unknown := o.dispatchedTo[faultyServer], o.Total().Unknown
	t.fault = c.Now()
	o.fail(faultyServer, fault)
	c.RunUntil(t.fault.Add(detectionHorizon))
	t.result.Unknown = o.Total().Unknown - unknown
	if t.result.Delay < 0 {
		t.result.Dispatched = o.dispatchedTo[faultyServer] - before
	} else {
		t.result.Dispatched -= before
	}
	return t.result
}

func (t *detectionTrial) onChange(x pool.ServerChanged) {
	if x.To != pool.Ejected {
		return
	}
	switch {
	case x.Server != faultyServer || t.fault.IsZero():
		t.result.FalseEjections++
	case t.result.Delay < 0:
		t.result.Delay = t.owner.clock.Now().Sub(t.fault)
		t.result.Dispatched = t.owner.dispatchedTo[faultyServer]
	}
}

// fail starts a fault at a server.
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

// DetectionSummary summarizes the trials of several seeds.
type DetectionSummary struct {
	Profile        string
	Fault          Fault
	Rate           float64
	Median, P99    time.Duration
	Missed, Trials int
	// Means per trial.
	Dispatched, Unknown, FalseEjections float64
}

// MeasureDetections runs trials with the seeds 1 to trials. A missed detection
// counts as detectionHorizon in the percentiles.
func MeasureDetections(profile detector.Profile, fault Fault, rate float64, trials int) DetectionSummary {
	out := DetectionSummary{Profile: profile.Name, Fault: fault, Rate: rate, Trials: trials}
	var times Samples
	for seed := range trials {
		d := MeasureDetection(profile, fault, rate, uint64(seed)+1)
		if d.Delay < 0 {
			out.Missed++
			d.Delay = detectionHorizon
		}
		times = append(times, d.Delay)
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
