package daemon

import (
	"context"
	"time"

	"github.com/agateusher/agateusher/telemetry"
)

// drainPoll is how often the drain looks whether the last request has ended.
const drainPoll = 20 * time.Millisecond

// drain is the planned stop. The order matters: first the balancer and the
// fleet learn that this host leaves, while it serves as before; then the caller
// listener stops and its requests end; then the key ledgers move to a
// successor, while the fleet listener passes on what still arrives for them;
// the admin listener stays to the last, so that /live answers.
func (d *Daemon) drain() {
	started := time.Now()
	d.leaving.Store(true)
	d.keys.leave()
	d.members.leave()
	d.warmSuccessors()
	d.log.WithFields(telemetry.Fields{"event": "stopping", "notice": d.settings.Stop.Notice.Std()}).Info("planned stop begins")
	time.Sleep(d.settings.Stop.Notice.Std())
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Stop.Timeout.Std())
	defer cancel()
	d.shutdown(ctx, "caller")
	d.keys.run(ctx)
	d.shutdown(ctx, "fleet")
	for d.owner.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	d.log.WithFields(telemetry.Fields{"event": "drained", "running": d.owner.InFlight(), "took_ms": time.Since(started).Milliseconds()}).Info("last request ended")
}

func (d *Daemon) shutdown(ctx context.Context, name string) {
	for _, s := range d.servers {
		if s.name != name {
			continue
		}
		s.closeIdle()
		if err := s.shutdown(ctx); err != nil {
			d.log.WithFields(telemetry.Fields{"event": "drain_incomplete", "listener": name}).WithError(err).Error("requests were still in progress at the end of the stop timeout")
		}
	}
}
