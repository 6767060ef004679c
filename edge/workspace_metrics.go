package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/workspace"
)

const (
	// maxNamedWorkspaces is the number of workspaces that metrics name. The others are
	// counted together as otherWorkspaces.
	maxNamedWorkspaces = 100
	otherWorkspaces    = "other"
	// usageInterval is the interval at which the named workspaces are chosen anew.
	usageInterval = 30 * time.Second
)

// workspaceCollector exposes the requests of workspaces. It implements
// prometheus.Collector, because the workspaces that are named change.
type workspaceCollector struct {
	keys *keyState
	desc *prometheus.Desc
}

func newWorkspaceCollector(k *keyState) *workspaceCollector {
	return &workspaceCollector{keys: k, desc: prometheus.NewDesc(
		metricsPrefix+"_workspace_requests", "requests of workspaces by result", []string{"workspace", "result"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *workspaceCollector) Describe(descs chan<- *prometheus.Desc) { descs <- c.desc }

// Collect implements prometheus.Collector.
func (c *workspaceCollector) Collect(metrics chan<- prometheus.Metric) {
	named, rest := c.keys.usageCounts()
	for name, counts := range named {
		if name == otherWorkspaces {
			// A workspace of this name cannot be told from the rest.
			for r, count := range counts {
				rest[r] += count
			}
			continue
		}
		c.send(metrics, string(name), counts)
	}
	c.send(metrics, otherWorkspaces, rest)
}

func (c *workspaceCollector) send(metrics chan<- prometheus.Metric, name string, counts workspace.Counts) {
	for r, count := range counts {
		metrics <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(count), name, workspace.ResultNames[r])
	}
}

// usageCounts returns the counts of the named workspaces and those of the rest.
func (k *keyState) usageCounts() (named map[model.WorkspaceID]workspace.Counts, rest workspace.Counts) {
	k.mu.Lock()
	defer k.mu.Unlock()
	named = map[model.WorkspaceID]workspace.Counts{}
	rest = k.usage.Each(func(name model.WorkspaceID, c workspace.Counts) { named[name] = c })
	return named, rest
}

// rebalanceUsage chooses the named workspaces anew.
func (k *keyState) rebalanceUsage() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.usage.Rebalance()
}

// recordWorkspace counts a request that was answered.
func (f *forwarding) recordWorkspace() {
	if f.workspace == nil {
		return
	}
	result := workspace.Refused
	switch {
	case f.dials > 0:
		result = workspace.Admitted
	case f.reason == model.ReasonRateLimited:
		result = workspace.OverQuota
	}
	f.node.keys.recordUsage(f.workspace.Name, result)
}
