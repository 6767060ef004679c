package edge

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/telemetry"
)

// Reload applies changed settings as a whole, or refuses them with a
// *RestartError or a *telemetry.LogLevelError and changes nothing.
func (n *Node) Reload(next Settings) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.settings.checkReload(next); err != nil {
		return err
	}
	if err := telemetry.SetLevel(n.logger, next.Log.Level); err != nil {
		return err
	}
	n.requests.limiter.SetLimit(rate.Limit(next.Log.RequestsPerSecond))
	n.state.setBudget(next.Retries)
	n.settings.Retries, n.settings.Stop, n.settings.Log = next.Retries, next.Stop, next.Log
	return nil
}

// LogReload writes a line about a signal to read the settings again.
func (n *Node) LogReload(err error) {
	if err != nil {
		n.log.WithField("event", "reload_refused").WithError(err).Error("the settings were not changed")
		return
	}
	n.log.WithField("event", "reloaded").Info("the settings were read again")
}

func (s *state) setBudget(r RetrySettings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetBudget(time.Now(), balance.Budget{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Std()})
}
