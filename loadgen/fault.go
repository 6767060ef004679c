package loadgen

import (
	"context"
	"slices"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/standin/backend"
)

// faultTimes is the period in which the planned fault was active.
type faultTimes struct {
	began   time.Time
	cleared time.Time
}

// FaultReport describes how the fleet reacted to the planned fault.
type FaultReport struct {
	Server model.ServerID `json:"server"`
	// BeganMs and ClearedMs are relative to the start of the run, in milliseconds.
	BeganMs   float64 `json:"beganMs"`
	ClearedMs float64 `json:"clearedMs"`
	// Detected reports that the server stopped receiving new requests: none
	// arrived for at least Config.QuietPeriod.
	Detected bool `json:"detected"`
	// DetectionMs is the time from the start of the fault to the last new request
	// before that quiet period, in milliseconds. Only meaningful if Detected.
	DetectionMs float64 `json:"detectionMs"`
	// LastRequestMs is the time from the start of the fault to the last new request
	// of all, in milliseconds. It exceeds DetectionMs if the fleet tried the server
	// again.
	LastRequestMs float64 `json:"lastRequestMs"`
	// Requests counts the new requests during the fault, RequestsAfterDetection
	// those of them that arrived after the detection.
	Requests               int `json:"requests"`
	RequestsAfterDetection int `json:"later"`
}

// runFault injects the planned fault and clears it at its end.
func (r *runner) runFault(sendCtx context.Context) error {
	plan := r.config.Fault
	if !sleepUntil(sendCtx, r.start.Add(plan.At)) {
		return nil
	}
	ctx := context.WithoutCancel(sendCtx)
	began, err := r.standins.SetFaults(ctx, plan.Server, plan.Faults)
	if err != nil {
		return err
	}
	r.fault.began = began
	end := r.start.Add(r.config.Duration)
	if plan.For > 0 {
		end = began.Add(plan.For)
	}
	sleepUntil(sendCtx, end)
	_, err = r.standins.SetFaults(ctx, plan.Server, backend.Faults{})
	r.fault.cleared = time.Now()
	return err
}

// measureDetection computes the report on a fault from the arrival times of the
// fleet's requests at the server.
func measureDetection(log []backend.Execution, t faultTimes, quiet time.Duration) FaultReport {
	var arrivals []time.Duration
	for _, e := range log {
		if !e.Direct && !e.Arrived.Before(t.began) && e.Arrived.Before(t.cleared) {
			arrivals = append(arrivals, e.Arrived.Sub(t.began))
		}
	}
	slices.Sort(arrivals)
	report := FaultReport{Requests: len(arrivals)}
	if len(arrivals) > 0 {
		report.LastRequestMs = ms(arrivals[len(arrivals)-1])
	}
	last := time.Duration(0)
	for i, next := range append(arrivals, t.cleared.Sub(t.began)) {
		if next-last >= quiet {
			report.Detected, report.DetectionMs = true, ms(last)
			report.RequestsAfterDetection = len(arrivals) - i
			break
		}
		last = next
	}
	return report
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
