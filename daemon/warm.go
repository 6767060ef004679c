package daemon

import (
	"context"
	"time"

	"github.com/agateusher/agateusher/telemetry"
)

// warmTimeout bounds the hand-over of verdicts. It is shorter than the stop
// notice, within which the next owners get their first requests.
const warmTimeout = time.Second

// warmSuccessors passes the verdicts of the owned pools to their next owners.
// Losing one costs a new detection, so it is not repeated.
func (d *Daemon) warmSuccessors() {
	ctx, cancel := context.WithTimeout(context.Background(), warmTimeout)
	defer cancel()
	for _, h := range d.owner.ExportHealth(ctx) {
		for _, to := range d.directory().Owners(h.Pool(), 2) {
			if to.Host == d.settings.Host.ID {
				continue
			}
			if err := d.client.TransferHealth(ctx, to, h); err != nil {
				d.log.WithFields(telemetry.Fields{"event": "health_not_passed_on", "pool": h.Pool().String(), "owner": to.Host}).WithError(err).Warn("the next owner will judge the servers anew")
			}
			break
		}
	}
}
