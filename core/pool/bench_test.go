package pool_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// benchmarkSubmitFinish measures one Submit and one Finish of a pool of 20
// servers with 2 slots each and the given number of waiting requests.
func benchmarkSubmitFinish(b *testing.B, waiting int) {
	f := newFixture(20, 2, func(c *pool.Config) { c.ReserveShare, c.HedgePercentile = 0.1, 0.95 })
	workspaces := make([]model.WorkspaceID, 100)
	for i := range workspaces {
		workspaces[i] = model.WorkspaceID("w" + strconv.Itoa(i))
	}
	// IDs are reused after their requests have finished.
	ids := make([]model.RequestID, 4096)
	for i := range ids {
		ids[i] = model.RequestID(strconv.Itoa(i))
	}
	now := at(0)
	var running []model.AttemptID
	next := 0
	submit := func() {
		r := pool.Request{
			ID: ids[next%len(ids)], Workspace: workspaces[next%len(workspaces)], Repeatable: next%4 > 0,
			Arrival: now, Deadline: now.Add(time.Minute),
		}
		next++
		for _, d := range f.pool.Submit(now, r) {
			if d, ok := d.(pool.Dispatch); ok {
				running = append(running, d.Attempt)
			}
		}
	}
	if waiting > 0 {
		for range waiting + 40 {
			submit()
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		submit()
		oldest := running[0]
		running = running[1:]
		for _, d := range f.pool.Finish(now, pool.AttemptResult{Attempt: oldest, Kind: pool.Answered, Latency: 20 * time.Millisecond}) {
			if d, ok := d.(pool.Dispatch); ok {
				running = append(running, d.Attempt)
			}
		}
	}
}

func BenchmarkSubmitFinishIdle(b *testing.B)   { benchmarkSubmitFinish(b, 0) }
func BenchmarkSubmitFinishQueued(b *testing.B) { benchmarkSubmitFinish(b, 500) }
