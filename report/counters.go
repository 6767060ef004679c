package report

import (
	"maps"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agateusher/agateusher/core/model"
)

const (
	// minLatencyUs and maxLatencyUs bound the histogram's values, microseconds.
	// A request's deadline is at most ten minutes.
	minLatencyUs = 1
	maxLatencyUs = 10 * 60 * 1000 * 1000
	// latencyDigits gives a relative error of at most 1%.
	latencyDigits = 2

	// DefaultMaxRows bounds the rows of one daemon and day. At 3 KB a row
	// (BenchmarkCopyPart) they take 12 MB of the 128 MB that a daemon's control
	// plane may use. Requests of further workspaces are counted in
	// OtherWorkspace, in one more row for each service.
	DefaultMaxRows = 4096
	// OtherWorkspace stands for the workspaces over the bound. No workspace can
	// have this name.
	OtherWorkspace model.WorkspaceID = "(other)"
)

// RowKey identifies a row of the report.
type RowKey struct {
	Service   model.ServiceName
	Workspace model.WorkspaceID
}

// Sample is the end of one request.
type Sample struct {
	RowKey
	Outcome model.Outcome
	// Reason says why the request was not run.
	Reason model.Reason
	// Latency is the caller's, from arrival to the end of the response.
	Latency time.Duration
}

// Row holds the counters of one service and workspace.
type Row struct {
	RowKey
	Requests uint64
	Answered uint64
	Unknown  uint64
	Retries  uint64
	// NotRun counts by reason.
	NotRun map[model.Reason]uint64
	// Latency of answered requests, microseconds.
	Latency *hdrhistogram.PackedHistogram
}

// NewRow returns a row without counts.
func NewRow(k RowKey) *Row {
	return &Row{RowKey: k, NotRun: map[model.Reason]uint64{}, Latency: hdrhistogram.NewPacked(minLatencyUs, maxLatencyUs, latencyDigits)}
}

// Add counts a request.
func (r *Row) Add(s Sample) {
	r.Requests++
	switch s.Outcome {
	case model.Answered:
		r.Answered++
		// The value is within the histogram's bounds, so that this cannot fail.
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

// Merge adds the counts of another row.
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

// NotRunTotal returns the requests not run for any reason.
func (r *Row) NotRunTotal() uint64 {
	var total uint64
	for _, n := range r.NotRun {
		total += n
	}
	return total
}
