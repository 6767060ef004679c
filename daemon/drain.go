package daemon

import (
	"context"
	"time"

	"github.com/agateusher/agateusher/telemetry"
)

// drainPollInterval is the time between checks for requests in progress.
const drainPollInterval = 20 * time.Millisecond

// drain shuts the daemon down gracefully. The order matters:
//
//  1. The load balancer and the fleet learn that this host is leaving, and the
//     next owners of its pools get its server health, while it serves as before.
//  2. The caller listener stops and its requests complete.
//  3. The key ledgers move to a successor, while the fleet listener forwards
//     requests that still arrive for them.
//  4. The fleet listener stops and its requests complete.
//
// The admin listener stays open to the end, so that /live answers.
func (d *Daemon) drain() {
	started := time.Now()
	d.leaving.Store(true)
	d.handover.refuseLedgers()
	d.members.leave()
	d.transferHealth()
	d.log.WithFields(telemetry.Fields{"event": "stopping", "notice": d.settings.Stop.Notice.Std()}).Info("graceful shutdown started")
	time.Sleep(d.settings.Stop.Notice.Std())
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Stop.Timeout.Std())
	defer cancel()
	d.shutdown(ctx, "caller")
	d.handover.run(ctx)
	d.shutdown(ctx, "fleet")
	for d.owner.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	d.log.WithFields(telemetry.Fields{"event": "drained", "running": d.owner.InFlight(), "took_ms": time.Since(started).Milliseconds()}).Info("drain ended")
}

func (d *Daemon) shutdown(ctx context.Context, name string) {
	for _, s := range d.httpServers {
		if s.name != name {
			continue
		}
		s.disableKeepAlives()
		if err := s.shutdown(ctx); err != nil {
			d.log.WithFields(telemetry.Fields{"event": "drain_incomplete", "listener": name}).WithError(err).Error("requests were still in progress at the end of the stop timeout")
		}
	}
}
