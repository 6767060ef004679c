package edge

import (
	"context"
	"time"
)

// gaugeInterval is the time between updates of the gauges. Collectors read them
// every few seconds.
const gaugeInterval = time.Second

// reportGauges keeps the gauges up to date.
func (n *Node) reportGauges(ctx context.Context) error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		n.updateGauges(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (n *Node) updateGauges(now time.Time) {
	epoch, revision := n.keeper.Versions()
	configAge, serverAge := n.keeper.Ages(now)
	for name, value := range map[string]float64{
		"config_epoch":           float64(epoch),
		"server_revision":        float64(revision),
		"config_age_seconds":     configAge.Seconds(),
		"server_age_seconds":     serverAge.Seconds(),
		"live_hosts":             float64(n.link.LiveCount()),
		"caller_connections":     float64(n.connections()),
		"log_lines_dropped":      float64(n.lines.ring.Dropped()),
		"request_lines_left_out": float64(n.requests.leftOut.Load()),
		"observations_dropped":   float64(n.link.Dropped()),
	} {
		n.metrics.Scope.Gauge(name).Update(value)
	}
}
