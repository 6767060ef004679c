package edge

import (
	"time"

	"github.com/agateusher/agateusher/telemetry"
)

const (
	// forcedExitMargin is how long before the end of the grace period the daemon
	// stops waiting for open connections.
	forcedExitMargin = 500 * time.Millisecond
	// unreadRequestMargin is how long before the daemon stops waiting for connections
	// the requests that are still being read are refused.
	unreadRequestMargin = 300 * time.Millisecond
	// drainPollInterval is the interval between checks for open connections.
	drainPollInterval = 20 * time.Millisecond
)

// drain shuts down gracefully. The readiness check fails at once, so that the load
// balancer stops sending requests. New requests are accepted during the notice period
// in which it may still send some. Those that were read are answered.
func (n *Node) drain() {
	startedAt := time.Now()
	n.draining.Store(true)
	n.log.WithFields(telemetry.Fields{"event": "stopping", "connections": n.connectionCount()}).Info("daemon is stopping")
	n.gossiper.Announce()
	n.mu.Lock()
	stop := n.settings.Stop
	n.mu.Unlock()
	grace := stop.Grace.Std()
	time.Sleep(min(stop.Notice.Std(), grace/2))
	n.mu.Lock()
	n.stopped = true
	for c := range n.conns {
		c.stop(startedAt.Add(grace - forcedExitMargin - unreadRequestMargin))
	}
	n.mu.Unlock()
	_ = n.callerListener.Close()
	for n.connectionCount() > 0 && time.Since(startedAt) < grace-forcedExitMargin {
		time.Sleep(drainPollInterval)
	}
	n.log.WithFields(telemetry.Fields{"event": "stopped", "connections": n.connectionCount(), "took": time.Since(startedAt).Round(time.Millisecond)}).Info("daemon stopped")
}

func (n *Node) connectionCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}
