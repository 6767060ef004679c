package owner

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// submitEvent is a new request.
type submitEvent struct{ call *call }

func (e submitEvent) apply(d *driver, now time.Time) []pool.Decision {
	c := e.call
	d.calls[c.request.ID] = c
	return d.pool.Submit(now, pool.Request{
		ID: c.request.ID, Workspace: c.request.Workspace, Weight: c.weight,
		Repeatable: c.request.Repeatable, Deadline: c.deadline, Arrival: now,
	})
}

// cancelEvent says that the caller went away.
type cancelEvent struct{ id model.RequestID }

func (e cancelEvent) apply(d *driver, now time.Time) []pool.Decision {
	return d.pool.Cancel(now, e.id)
}

// attemptEvent is the end of an attempt.
type attemptEvent struct{ end attemptEnd }

func (e attemptEvent) apply(d *driver, now time.Time) []pool.Decision {
	id := e.end.result.Attempt
	if a, ok := d.attempts[id]; ok {
		a.response = e.end.response
		d.running.Add(-1)
	}
	return d.pool.Finish(now, e.end.result)
}

// confirmEvent says that a server confirmed a cancellation.
type confirmEvent struct{ attempt model.AttemptID }

func (e confirmEvent) apply(d *driver, now time.Time) []pool.Decision {
	return d.pool.CancelConfirmed(now, e.attempt)
}

// configureEvent is a changed configuration.
type configureEvent struct{ cfg pool.Config }

func (e configureEvent) apply(d *driver, now time.Time) []pool.Decision {
	return d.pool.Configure(now, e.cfg)
}

// viewEvent asks for the pool's state.
type viewEvent struct{ reply chan pool.View }

func (e viewEvent) apply(d *driver, now time.Time) []pool.Decision {
	e.reply <- d.pool.View(now)
	return nil
}

// healthEvent asks for the verdicts to pass on.
type healthEvent struct{ reply chan []pool.Ejection }

func (e healthEvent) apply(d *driver, now time.Time) []pool.Decision {
	e.reply <- d.pool.Ejections(now)
	return nil
}

// adoptEvent brings another owner's verdicts.
type adoptEvent struct{ servers []pool.Ejection }

func (e adoptEvent) apply(d *driver, now time.Time) []pool.Decision {
	return d.pool.AdoptEjections(now, e.servers)
}
