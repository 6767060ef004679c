package report

import (
	"maps"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agateusher/agateusher/core/model"
)

const (
	// minLatencyUs and maxLatencyUs bound the histogram's values, in microseconds.
	// The upper bound is the longest deadline of a request, ten minutes.
	minLatencyUs = 1
	maxLatencyUs = 10 * 60 * 1000 * 1000
	// latencySignificantDigits keeps the relative error at or below 1%.
	latencySignificantDigits = 2

	// DefaultMaxRows bounds the number of rows of one daemon and day. At 3 KB per
	// row (BenchmarkCopyPart) they take 12 MB of the 128 MB that a daemon's control
	// plane may use. Requests of further workspaces are counted under
	// OtherWorkspace, in one additional row per service.
	DefaultMaxRows = 4096
	// OtherWorkspace stands for the workspaces beyond the bound. It is not a valid
	// workspace name.
	OtherWorkspace model.WorkspaceID = "(other)"
)

// RowKey identifies a row of the report.
type RowKey struct {
	Service   model.ServiceName
	Workspace model.WorkspaceID
}

// Sample describes a request that ended.
type Sample struct {
	RowKey
	Outcome model.Outcome
	// Reason is the reason why the request was not run.
	Reason model.Reason
	// Latency is the time from the request's arrival from the caller to the end of
	// the response.
	Latency time.Duration
}

// Row holds the counters of one service and workspace.
type Row struct {
	RowKey
	Requests uint64
	Answered uint64
	Unknown  uint64
	Retries  uint64
	// NotRun counts the requests that were not run, by reason.
	NotRun map[model.Reason]uint64
	// Latency of answered requests, in microseconds.
	Latency *hdrhistogram.PackedHistogram
}

// NewRow returns a row whose counters are zero.
func NewRow(k RowKey) *Row {
	return &Row{RowKey: k, NotRun: map[model.Reason]uint64{}, Latency: hdrhistogram.NewPacked(minLatencyUs, maxLatencyUs, latencySignificantDigits)}
}

// Add counts a request.
func (r *Row) Add(s Sample) {
	r.Requests++
	switch s.Outcome {
	case model.Answered:
		r.Answered++
		// This cannot fail, because the value is within the histogram's bounds.
		_ = r.Latency.RecordValue(min(max(s.Latency.Microseconds(), minLatencyUs), maxLatencyUs))
	case model.NotRun:
		r.NotRun[s.Reason]++
	default:
		r.Unknown++
	}
}

func (r *Row) clone() *Row {
	c := *r
	c.NotRun = maps.Clone(r.NotRun)
	c.Latency = r.Latency.Clone()
	return &c
}

// Merge adds the counters of another row.
func (r *Row) Merge(o *Row) {
	r.Requests += o.Requests
	r.Answered += o.Answered
	r.Unknown += o.Unknown
	r.Retries += o.Retries
	for reason, n := range o.NotRun {
		r.NotRun[reason] += n
	}
	r.Latency.Merge(o.Latency)
}

// NotRunTotal returns the number of requests that were not run, for all reasons.
func (r *Row) NotRunTotal() uint64 {
	var total uint64
	for _, n := range r.NotRun {
		total += n
	}
	return total
}
