package capacity

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/report"
	"github.com/agateusher/agateusher/standin/platform"
)

// samplesPerRow is the number of requests recorded for each row before a flush.
const samplesPerRow = 20

// measureReports measures the memory and the writes of a daemon for each report
// row, a pair of service and workspace.
func measureReports() ([]Fit, error) {
	held := Fit{Name: "report.held", Per: "row", Unit: "bytes", Mechanism: "report Recorder: counters of a service and workspace"}
	writes := Fit{Name: "report.writes", Per: "row", Unit: "store writes/flush", Mechanism: "report Flusher: one object for 64 rows"}
	bytes := Fit{Name: "report.bytes", Per: "row", Unit: "bytes/flush", Mechanism: "report Flusher: whole parts that changed"}
	for _, n := range []int{64, 640, 4096} {
		p, err := flushCosts(n)
		if err != nil {
			return nil, err
		}
		for i, f := range []*Fit{&held, &writes, &bytes} {
			f.Points = append(f.Points, Point{float64(n), p[i]})
		}
	}
	return []Fit{held, writes, bytes}, nil
}

// flushCosts returns the bytes in memory for n rows, and the writes and bytes
// written of a flush.
func flushCosts(n int) (p [3]float64, err error) {
	now := time.Now()
	var recorder *report.Recorder
	p[0] = heapGrowth(func() any {
		recorder = report.NewRecorder(report.RecorderOptions{Host: "host-0", Incarnation: "a", Started: now})
		for i := range n * samplesPerRow {
			recorder.Record(now, report.Sample{
				RowKey:  report.RowKey{Service: serviceName(i % n % 50), Workspace: workspaceID(i % n)},
				Outcome: model.Answered, Latency: time.Duration(1+i/n) * 3 * time.Millisecond,
			})
		}
		return recorder
	})
	store := platform.New(platform.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	api, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: "http://platform", Transport: store.Endpoint.Transport(), Timeout: callTimeout})
	if err != nil {
		return p, err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f := report.NewFlusher(report.FlusherOptions{Recorder: recorder, Store: api, Log: logger, WritesPerSecond: 1e6})
	if err := f.Flush(context.Background(), false); err != nil {
		return p, err
	}
	p[1], p[2] = float64(store.Calls().Puts), float64(store.Calls().ValueBytesIn)
	return p, nil
}
