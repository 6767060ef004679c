package daemon

import (
	"context"
	"time"

	"github.com/agateusher/agateusher/telemetry"
)

// healthTransferTimeout bounds the transfer of server health to the next owners.
// It is shorter than the stop notice, during which they get their first requests.
const healthTransferTimeout = time.Second

// transferHealth sends the server health of the owned pools to their next owners.
// A failed transfer isn't retried, since the next owner can detect failures anew.
func (d *Daemon) transferHealth() {
	ctx, cancel := context.WithTimeout(context.Background(), healthTransferTimeout)
	defer cancel()
	for _, h := range d.owner.ExportHealth(ctx) {
		for _, to := range d.directory().Owners(h.Pool(), 2) {
			if to.Host == d.settings.Host.ID {
				continue
			}
			if err := d.client.TransferHealth(ctx, to, h); err != nil {
				d.log.WithFields(telemetry.Fields{"event": "health_not_passed_on", "pool": h.Pool().String(), "owner": to.Host}).WithError(err).Warn("cannot transfer server health; the next owner will detect failures anew")
			}
			break
		}
	}
}
