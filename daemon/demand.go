package daemon

import (
	"context"
	"time"

	"github.com/agateusher/agateusher/fleet"
	"github.com/agateusher/agateusher/owner"
	"github.com/agateusher/agateusher/telemetry"
)

// demandTimeout bounds one demand report. A lost report isn't retried, since the
// next one replaces it.
const demandTimeout = 500 * time.Millisecond

// runDemand reports the demand of the owned pools to the owners of the same
// services' other pools, so that the pools share each fleet-wide rate limit.
func (d *Daemon) runDemand(ctx context.Context) error {
	ticker := time.NewTicker(owner.DemandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, p := range d.owner.ReportDemand(now) {
				d.sendDemand(ctx, p)
			}
		}
	}
}

func (d *Daemon) sendDemand(ctx context.Context, p owner.PoolDemand) {
	c := d.live.current.Load()
	if c == nil {
		return
	}
	report := fleet.Demand{Service: p.Pool.Service, DataCentre: p.Pool.DataCentre, Shard: p.Pool.Shard, Requests: p.Requests}
	for _, sibling := range c.Pools(p.Pool.Service) {
		if sibling.Pool == p.Pool {
			continue
		}
		for _, to := range d.directory().Owners(sibling.Pool, 1) {
			go d.reportDemand(ctx, to, report)
		}
	}
}

func (d *Daemon) reportDemand(ctx context.Context, to fleet.Peer, report fleet.Demand) {
	if to.Host == d.settings.Host.ID {
		d.owner.RecordSiblingDemand(time.Now(), report)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	if err := d.client.ReportDemand(ctx, to, report); err != nil {
		d.log.WithFields(telemetry.Fields{"event": "demand_report_failed", "owner": to.Host}).WithError(err).Debug("cannot deliver the demand report")
	}
}
