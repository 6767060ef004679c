package edge

import (
	"time"

	"github.com/agateusher/agateusher/telemetry"
)

const (
	// stopMargin is how long before the forced end the process leaves.
	stopMargin = 500 * time.Millisecond
	// drainPoll is how often the end of the last request is looked for.
	drainPoll = 20 * time.Millisecond
)

// drain ends the service as planned: the balancer is told at once, requests are
// taken until it has stopped sending them, and those that were read are
// answered.
func (n *Node) drain() {
	began := time.Now()
	n.leaving.Store(true)
	n.log.WithFields(telemetry.Fields{"event": "stopping", "connections": n.connections()}).Info("daemon is stopping")
	n.link.Announce()
	n.mu.Lock()
	stop := n.settings.Stop
	n.mu.Unlock()
	grace := stop.Grace.Std()
	time.Sleep(min(stop.Notice.Std(), grace/2))
	n.mu.Lock()
	n.stopped = true
	for c := range n.conns {
		c.stop()
	}
	n.mu.Unlock()
	_ = n.callers.Close()
	for n.connections() > 0 && time.Since(began) < grace-stopMargin {
		time.Sleep(drainPoll)
	}
	n.log.WithFields(telemetry.Fields{"event": "stopped", "connections": n.connections(), "took": time.Since(began).Round(time.Millisecond)}).Info("daemon stopped")
}

func (n *Node) connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}
