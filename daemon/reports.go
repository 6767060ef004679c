package daemon

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/report"
)

// observer records requests, retries and ejections for the daily reports, and the
// times of state changes. It implements owner.Observer and entry.Observer.
type observer struct {
	recorder *report.Recorder
	changes  *changeLog
}

// RequestDone implements entry.Observer.
func (o *observer) RequestDone(service model.ServiceName, workspace model.WorkspaceID, r *fleet.Response, took time.Duration) {
	o.recorder.Record(time.Now(), report.Sample{
		RowKey: report.RowKey{Service: service, Workspace: workspace}, Outcome: r.Outcome, Reason: r.Reason, Latency: took,
	})
}

// Retried implements owner.Observer.
func (o *observer) Retried(id model.PoolID, workspace model.WorkspaceID) {
	o.recorder.AddRetries(time.Now(), report.RowKey{Service: id.Service, Workspace: workspace}, 1)
}

// ServerChanged implements owner.Observer.
func (o *observer) ServerChanged(now time.Time, id model.PoolID, change pool.ServerChanged) {
	o.changes.record(now, change)
	switch {
	case outOfService(change.To) && !outOfService(change.From):
		o.recorder.BeginEjection(now, id.Service, change.Server)
	case outOfService(change.From) && !outOfService(change.To):
		o.recorder.EndEjection(now, id.Service, change.Server)
	}
}

// outOfService reports whether the daily reports count a server in this state as
// ejected. Probation counts too, since the server then gets test requests only.
func outOfService(s pool.Status) bool {
	return s == pool.Ejected || s == pool.EjectedByOperator || s == pool.Probation
}
