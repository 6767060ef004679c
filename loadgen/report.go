package loadgen

import (
	"context"
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// GroupReport summarises a group of requests.
type GroupReport struct {
	Name string `json:"name"`
	// Requests counts requests, Sends their transmissions including repeats.
	Requests int           `json:"requests"`
	Sends    int           `json:"sends"`
	Classes  map[Class]int `json:"classes"`
	// Latency of the answered requests, from the intended send time.
	Latency Latencies `json:"latency"`
}

// Second summarises the requests of one second of the run.
type Second struct {
	// Second is the number of whole seconds from the start of the run to the
	// intended send time.
	Second  int           `json:"second"`
	Classes map[Class]int `json:"classes"`
	// P50Ms and P99Ms are latencies of the answered requests of this second, in
	// milliseconds.
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`
}

// AddedLatency compares requests through the fleet with direct calls. Both are
// measured from the actual start of the request, so that delays of the generator
// (LagP99Ms) do not distort the comparison.
type AddedLatency struct {
	// Fleet and Direct are the time outside the answering server. Fleet leaves out
	// requests that were hedged or retried, because their time includes an earlier
	// attempt.
	Fleet  Latencies `json:"fleet"`
	Direct Latencies `json:"direct"`
	// P50Ms and P99Ms are the differences of these quantiles, in milliseconds.
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`
	// EndToEndFleet and EndToEndDirect are the whole time of all answered
	// requests; the differences are in milliseconds. Hedging may make them
	// negative.
	EndToEndFleet  Latencies `json:"wholeFleet"`
	EndToEndDirect Latencies `json:"wholeDirect"`
	EndToEndP50Ms  float64   `json:"wholeP50Ms"`
	EndToEndP99Ms  float64   `json:"wholeP99Ms"`
}

// ReasonCount counts the requests of one operation that ended with the same class
// and reason.
type ReasonCount struct {
	Operation string       `json:"operation"`
	Class     Class        `json:"class"`
	Reason    model.Reason `json:"reason"`
	Count     int          `json:"count"`
}

// Report is the result of a run.
type Report struct {
	Started time.Time `json:"started"`
	// ExtraAttempts is the ratio of hedges, retries and shed attempts to
	// requests, from the execution logs.
	ExtraAttempts float64 `json:"extraAttempts"`
	// DurationMs is the time from the start to the last answer.
	DurationMs float64       `json:"durationMs"`
	Seed       uint64        `json:"seed"`
	Total      GroupReport   `json:"total"`
	Operations []GroupReport `json:"operations"`
	Workspaces []GroupReport `json:"workspaces"`
	Reasons    []ReasonCount `json:"reasons"`
	// AddedLatency covers the whole run, AddedLatencyBeforeFault only the requests
	// before the planned fault began. Both are nil without direct calls.
	AddedLatency            *AddedLatency `json:"added,omitempty"`
	AddedLatencyBeforeFault *AddedLatency `json:"addedCalm,omitempty"`
	// DirectFailures counts direct calls without a complete, correct answer.
	DirectFailures int `json:"directFailures"`
	// LagP99Ms and LagMaxMs are the delays with which the generator started
	// requests, in milliseconds.
	LagP99Ms float64      `json:"lagP99Ms"`
	LagMaxMs float64      `json:"lagMaxMs"`
	Fault    *FaultReport `json:"fault,omitempty"`
	// Ejections lists the servers that daemons reported as ejected; nil if no
	// daemon was polled.
	Ejections *EjectionReport `json:"ejections,omitempty"`
	// Checked reports whether outcomes were compared with the execution logs.
	Checked    bool         `json:"checked"`
	Violations []Violations `json:"violations"`
	Seconds    []Second     `json:"seconds"`
}

// Passed reports whether requests were sent and no guarantee was violated.
func (r *Report) Passed() bool { return len(r.Violations) == 0 && r.Total.Requests > 0 }

// buildReport reads the execution logs and builds the report.
func (r *runner) buildReport(ctx context.Context) (*Report, error) {
	report := &Report{Started: r.start, DurationMs: ms(time.Since(r.start)), Seed: r.config.Seed}
	var v violationSet
	v.checkAnswers(r.results, r.config.Operations)
	if r.standins != nil {
		time.Sleep(r.config.SettleTime)
		logs, err := r.standins.Logs(ctx, r.servers, r.start)
		if err != nil {
			return nil, err
		}
		countAttempts(r.results, logs)
		v.checkExecutions(r.results, r.config.Operations, logs)
		report.Checked = true
		if f := r.config.Fault; f != nil && !r.fault.began.IsZero() {
			fault := measureDetection(logs[f.Server].Executions, r.fault, r.config.QuietPeriod)
			fault.Server = f.Server
			fault.BeganMs, fault.ClearedMs = ms(r.fault.began.Sub(r.start)), ms(r.fault.cleared.Sub(r.start))
			report.Fault = &fault
		}
	}
	report.Violations = v.list()
	if len(r.config.Daemons) > 0 {
		report.Ejections = r.watch.report(r.faultyServer())
	}
	r.summarise(report)
	return report, nil
}

func (r *runner) faultyServer() model.ServerID {
	if r.config.Fault == nil {
		return ""
	}
	return r.config.Fault.Server
}

func (r *runner) summarise(report *Report) {
	all := func(result) bool { return true }
	report.Total = r.group("all requests", all)
	for i, op := range r.config.Operations {
		report.Operations = append(report.Operations, r.group(op.String(), func(x result) bool { return x.operation == i }))
	}
	for i, w := range r.config.Workspaces {
		report.Workspaces = append(report.Workspaces, r.group(string(w.ID), func(x result) bool { return x.workspace == i }))
	}
	report.Reasons = r.reasons()
	report.ExtraAttempts = r.extraAttempts()
	report.AddedLatency = r.addedLatency(time.Time{})
	if !r.fault.began.IsZero() {
		report.AddedLatencyBeforeFault = r.addedLatency(r.fault.began)
	}
	for _, d := range r.direct {
		if d.failed {
			report.DirectFailures++
		}
	}
	lag := newHistogram()
	for _, x := range r.results {
		lag.add(x.lag)
	}
	report.LagP99Ms, report.LagMaxMs = lag.summary().P99Ms, lag.summary().MaxMs
	report.Seconds = r.seconds()
}

func (r *runner) group(name string, include func(result) bool) GroupReport {
	g := GroupReport{Name: name, Classes: map[Class]int{}}
	h := newHistogram()
	for _, x := range r.results {
		if !include(x) {
			continue
		}
		g.Requests++
		g.Sends += x.sends
		g.Classes[x.class]++
		if x.class == ClassAnswered {
			h.add(x.latency)
		}
	}
	g.Latency = h.summary()
	return g
}

func (r *runner) reasons() []ReasonCount {
	counts := map[ReasonCount]int{}
	out := []ReasonCount{}
	for _, x := range r.results {
		if x.class == ClassAnswered {
			continue
		}
		key := ReasonCount{Operation: r.config.Operations[x.operation].String(), Class: x.class, Reason: x.reason}
		if counts[key]++; counts[key] == 1 {
			out = append(out, key)
		}
	}
	for i, key := range out {
		out[i].Count = counts[key]
	}
	return out
}

// addedLatency compares requests through the fleet and direct calls whose intended
// send time is before the given one; zero: all. It returns nil if one side has
// no calls.
func (r *runner) addedLatency(before time.Time) *AddedLatency {
	included := func(t time.Time) bool { return before.IsZero() || t.Before(before) }
	fleet, direct, wholeFleet, wholeDirect := newHistogram(), newHistogram(), newHistogram(), newHistogram()
	for _, x := range r.results {
		if x.class != ClassAnswered || x.answerErr != nil || !included(x.intended) {
			continue
		}
		wholeFleet.add(x.sinceStart)
		if x.attempts == 1 {
			fleet.add(x.overhead)
		}
	}
	for _, d := range r.direct {
		if !d.failed && included(d.intended) {
			wholeDirect.add(d.sinceStart)
			direct.add(d.overhead)
		}
	}
	if fleet.TotalCount() == 0 || direct.TotalCount() == 0 {
		return nil
	}
	a := &AddedLatency{
		Fleet: fleet.summary(), Direct: direct.summary(),
		EndToEndFleet: wholeFleet.summary(), EndToEndDirect: wholeDirect.summary(),
	}
	a.P50Ms, a.P99Ms = a.Fleet.P50Ms-a.Direct.P50Ms, a.Fleet.P99Ms-a.Direct.P99Ms
	a.EndToEndP50Ms, a.EndToEndP99Ms = a.EndToEndFleet.P50Ms-a.EndToEndDirect.P50Ms, a.EndToEndFleet.P99Ms-a.EndToEndDirect.P99Ms
	return a
}

// extraAttempts returns the ratio of attempts beyond the first to requests that
// reached a server.
func (r *runner) extraAttempts() float64 {
	reached, extra := 0, 0
	for _, x := range r.results {
		if x.attempts > 0 {
			reached++
			extra += x.attempts - 1
		}
	}
	return float64(extra) / float64(max(reached, 1))
}

func (r *runner) seconds() []Second {
	last := 0
	bySecond := map[int][]result{}
	for _, x := range r.results {
		at := int(x.intended.Sub(r.start) / time.Second)
		bySecond[at] = append(bySecond[at], x)
		last = max(last, at)
	}
	out := make([]Second, last+1)
	for at := range out {
		s := Second{Second: at, Classes: map[Class]int{}}
		h := newHistogram()
		for _, x := range bySecond[at] {
			s.Classes[x.class]++
			if x.class == ClassAnswered {
				h.add(x.latency)
			}
		}
		s.P50Ms, s.P99Ms = h.summary().P50Ms, h.summary().P99Ms
		out[at] = s
	}
	return out
}
