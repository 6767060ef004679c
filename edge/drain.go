package edge

import (
	"time"

	"github.com/agateusher/agateusher/telemetry"
)

const (
	// forcedExitMargin is how long before the end of the grace period the daemon
	// stops waiting for open connections.
	forcedExitMargin = 500 * time.Millisecond
	// lastResponseMargin is how long before the daemon stops waiting for connections the
	// last responses have to be there, so that they reach their callers.
	lastResponseMargin = 300 * time.Millisecond
	// drainPollInterval is the interval between checks for open connections.
	drainPollInterval = 20 * time.Millisecond
)

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// refuseFrom is when the daemon begins to refuse requests whose deadline is after
	// lastResponse: half of the grace period. Earlier ones have the rest of it, and are
	// forwarded. The exit would cut a later one although it may have run.
	refuseFrom time.Time
	// lastResponse is when the last responses have to be there.
	lastResponse time.Time
}

func newStopTimes(startedAt time.Time, grace time.Duration) *stopTimes {
	return &stopTimes{
		refuseFrom: startedAt.Add(grace / 2), lastResponse: startedAt.Add(grace - forcedExitMargin - lastResponseMargin),
	}
}

// latest returns when a request with the given time until its deadline is taken for the
// last time.
func (t *stopTimes) latest(timeout time.Duration) time.Time {
	latest := t.lastResponse.Add(-timeout)
	if latest.Before(t.refuseFrom) {
		return t.refuseFrom
	}
	return latest
}

// exitsBefore reports whether a planned stop may end the process before a request with the
// given deadline is answered, so that the request is not to be forwarded any more.
func (n *Node) exitsBefore(deadline time.Time) bool {
	t := n.stopTimes.Load()
	return t != nil && time.Now().After(t.refuseFrom) && deadline.After(t.lastResponse)
}

// drain shuts down gracefully. The readiness check fails at once, so that the load
// balancer stops sending requests. New requests are accepted during the notice period
// in which it may still send some. Those that were read are answered; see stopTimes.
func (n *Node) drain() {
	startedAt := time.Now()
	n.draining.Store(true)
	n.log.WithFields(telemetry.Fields{"event": "stopping", "connections": n.connectionCount()}).Info("daemon is stopping")
	n.gossiper.Announce()
	n.mu.Lock()
	stop := n.settings.Stop
	n.mu.Unlock()
	grace := stop.Grace.Std()
	n.stopTimes.Store(newStopTimes(startedAt, grace))
	time.Sleep(min(stop.Notice.Std(), grace/2))
	n.mu.Lock()
	n.stopped = true
	for c := range n.conns {
		c.stop()
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
