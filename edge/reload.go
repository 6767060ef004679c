package edge

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/telemetry"
)

// Reload applies changed seeds, memory, retry, revocation, stop and log settings. It either applies
// all of these, or none and returns a *RestartError or a *telemetry.LogLevelError. A
// change of host, listeners, store or regions is a *RestartError.
func (n *Node) Reload(next Settings) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.settings.checkReload(next); err != nil {
		return err
	}
	if err := telemetry.SetLevel(n.logger, next.Log.Level); err != nil {
		return err
	}
	n.requestLog.limiter.SetLimit(rate.Limit(next.Log.RequestsPerSecond))
	n.serverState.setBudget(next.Retries)
	n.bodyMemory.setProcessBytes(next.memoryBytes())
	n.seeds.Store(&next.Seeds)
	n.keys.configure(next.Workspaces.Revocation)
	n.settings.Retries, n.settings.Stop, n.settings.Log = next.Retries, next.Stop, next.Log
	return nil
}

// LogReload logs the result of reading the settings again after a signal.
func (n *Node) LogReload(err error) {
	if err != nil {
		n.log.WithField("event", "reload_refused").WithError(err).Error("cannot reload the settings; they stay unchanged")
		return
	}
	n.log.WithField("event", "reloaded").Info("settings reloaded")
}

func (s *serverState) setBudget(r RetrySettings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetBudget(time.Now(), balance.Budget{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Std()})
}
