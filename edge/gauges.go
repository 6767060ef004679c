package edge

import (
	"context"
	"time"
)

// gaugeInterval is the interval between updates of the gauges. It is shorter than
// the few seconds between the reads of metrics collectors.
const gaugeInterval = time.Second

// runGauges updates the gauges until ctx is cancelled.
func (n *Node) runGauges(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	rebalancedAt := time.Now()
	for {
		n.updateGauges(time.Now())
		if time.Since(rebalancedAt) >= usageInterval {
			rebalancedAt = time.Now()
			n.keys.rebalanceUsage()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (n *Node) updateGauges(now time.Time) {
	versions := n.cache.Versions()
	configAge, serverAge := n.cache.Ages(now)
	leaving, paused := n.serverState.withheldServers()
	for name, value := range map[string]float64{
		"config_epoch":           float64(versions.Epoch),
		"server_revision":        float64(versions.Revision),
		"config_age_seconds":     configAge.Seconds(),
		"server_age_seconds":     serverAge.Seconds(),
		"live_hosts":             float64(n.gossiper.LiveCount()),
		"caller_connections":     float64(n.connectionCount()),
		"body_bytes":             float64(n.bodyMemory.inUse()),
		"log_lines_dropped":      float64(n.logWriter.ring.Dropped()),
		"request_lines_left_out": float64(n.requestLog.skippedTotal.Load()),
		"limited_servers":        float64(n.serverState.limitedServers()),
		"requests_held_now":      float64(n.serverState.heldCount()),
		"shedding_services":      float64(n.serverState.sheddingServices()),
		"leaving_servers":        float64(leaving),
		"idle_connections":       float64(n.exchanger.conns.count()),
		"paused_servers":         float64(paused),
		"observations_dropped":   float64(n.gossiper.Dropped()),
	} {
		n.metrics.Scope.Gauge(name).Update(value)
	}
	for name, value := range n.quotas.gauges() {
		n.metrics.Scope.Gauge(name).Update(value)
	}
}
