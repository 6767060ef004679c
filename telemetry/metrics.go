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

// reportInterval is how often tally passes its values to the scrape registry.
const reportInterval = time.Second

// Scope is the metrics scope that all packages take.
type Scope = tally.Scope

// Metrics is a metrics scope with its scrape endpoint.
type Metrics struct {
	Scope   Scope
	Handler http.Handler
	closer  io.Closer
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
	return &Metrics{Scope: scope, Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer: closer}
}

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// LatencyBuckets are the bounds of latency histograms: 0.25 ms to about 8 s,
// doubling.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)
