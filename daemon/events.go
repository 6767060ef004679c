package daemon

import (
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/telemetry"
)

// handleEvents subscribes to the control events of this process. It counts them
// and logs them at level debug.
func (d *Daemon) handleEvents() {
	counters := telemetry.NewCounterVec(d.metrics.Scope, "control_events", "topic", "")
	kernel.Handle(d.bus, "count.configuration", TopicConfiguration, func(e ConfigurationApplied) error {
		counters.Inc(string(TopicConfiguration), "")
		d.log.WithFields(telemetry.Fields{"event": string(TopicConfiguration), "epoch": e.Epoch, "confirmed": e.Confirmed}).Debug("control event")
		return nil
	})
	kernel.Handle(d.bus, "count.host", TopicHost, func(e HostChanged) error {
		counters.Inc(string(TopicHost), "")
		d.log.WithFields(telemetry.Fields{"event": string(TopicHost), "peer": e.Host, "from": e.From, "to": e.To}).Debug("control event")
		return nil
	})
}
