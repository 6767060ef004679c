package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"time"

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
func NewMetrics(prefix string) (*Metrics, error) {
	reporter, err := prometheus.Configuration{}.NewReporter(prometheus.ConfigurationOptions{})
	if err != nil {
		return nil, fmt.Errorf("metrics reporter: %w", err)
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         prefix,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}, nil
}

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
