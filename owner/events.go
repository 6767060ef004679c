package owner

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/pool"
)

// submitEvent submits a new request to the pool.
type submitEvent struct{ call *call }

func (e submitEvent) apply(d *driver, now time.Time) []pool.Decision {
	c := e.call
	d.calls[c.request.ID] = c
	return d.pool.Submit(now, pool.Request{
		ID: c.request.ID, Workspace: c.request.Workspace, Weight: c.weight,
		Repeatable: c.request.Repeatable, Deadline: c.deadline, Arrival: now,
	})
}

// cancelEvent cancels a request whose caller's context ended.
type cancelEvent struct{ id model.RequestID }

func (e cancelEvent) apply(d *driver, now time.Time) []pool.Decision {
	return d.pool.Cancel(now, e.id)
}

// attemptFinishedEvent reports the result of an attempt.
type attemptFinishedEvent struct{ outcome attemptOutcome }

func (e attemptFinishedEvent) apply(d *driver, now time.Time) []pool.Decision {
	id := e.outcome.result.Attempt
	if a, ok := d.attempts[id]; ok {
		a.response = e.outcome.response
		d.inFlight.Add(-1)
	}
	return d.pool.Finish(now, e.outcome.result)
}

// cancelConfirmedEvent reports that a server confirmed a cancellation.
type cancelConfirmedEvent struct{ attempt model.AttemptID }

func (e cancelConfirmedEvent) apply(d *driver, now time.Time) []pool.Decision {
	return d.pool.CancelConfirmed(now, e.attempt)
}

// configureEvent applies a changed configuration.
type configureEvent struct{ cfg pool.Config }

func (e configureEvent) apply(d *driver, now time.Time) []pool.Decision {
	return d.pool.Configure(now, e.cfg)
}

// viewEvent requests the pool's state.
type viewEvent struct{ reply chan pool.View }

func (e viewEvent) apply(d *driver, now time.Time) []pool.Decision {
	e.reply <- d.pool.View(now)
	return nil
}

// ejectionsEvent requests the pool's ejections, for its next owner.
type ejectionsEvent struct{ reply chan []pool.Ejection }

func (e ejectionsEvent) apply(d *driver, now time.Time) []pool.Decision {
	e.reply <- d.pool.Ejections(now)
	return nil
}

// adoptEjectionsEvent adopts the ejections of the pool's previous owner.
type adoptEjectionsEvent struct{ servers []pool.Ejection }

func (e adoptEjectionsEvent) apply(d *driver, now time.Time) []pool.Decision {
	return d.pool.AdoptEjections(now, e.servers)
}
