package telemetry

import (
	"io"
	"net/http"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally copies its values to the
// Prometheus registry.
const reportInterval = time.Second

// Scope is the metrics scope type used in all packages.
type Scope = tally.Scope

// Metrics is a metrics scope with the handler that Prometheus scrapes.
type Metrics struct {
	Scope   Scope
	Handler http.Handler

	registry *promclient.Registry
	closer   io.Closer
}

// NewMetrics returns a scope whose metric names start with prefix. Handler
// serves them in the Prometheus text format.
func NewMetrics(prefix string) *Metrics {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         prefix,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), registry: registry, closer: closer}
}

// Register adds a collector whose metrics Handler serves too.
func (m *Metrics) Register(c promclient.Collector) error { return m.registry.Register(c) }

// Close stops copying values to the Prometheus registry.
func (m *Metrics) Close() error { return m.closer.Close() }

// LatencyBuckets are the bucket bounds of latency histograms: 0.25 ms to about
// 8 s, each twice the one before.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)
