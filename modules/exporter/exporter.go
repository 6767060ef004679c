// Package exporter registers the trace exporters "exporter.none" (the
// default), "exporter.stdout" and "exporter.otlp" (OTLP over HTTP).
package exporter

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/agateusher/agateusher/kernel"
)

func init() {
	kernel.Register(&None{})
	kernel.Register(&Stdout{})
	kernel.Register(&OTLP{})
}

// None turns tracing off. Trace context is still propagated.
type None struct{}

// ModuleInfo implements kernel.Module.
func (*None) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "exporter.none", New: func() kernel.Module { return new(None) }}
}

// SpanExporter returns nil, which turns tracing off.
func (*None) SpanExporter(context.Context) (sdktrace.SpanExporter, error) { return nil, nil }

// Stdout writes spans as JSON to the standard output.
type Stdout struct{}

// ModuleInfo implements kernel.Module.
func (*Stdout) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "exporter.stdout", New: func() kernel.Module { return new(Stdout) }}
}

// SpanExporter implements telemetry.Exporter.
func (*Stdout) SpanExporter(context.Context) (sdktrace.SpanExporter, error) { return stdouttrace.New() }

// OTLP sends spans to a collector with OTLP over HTTP.
type OTLP struct {
	// Endpoint is the collector's URL, such as http://127.0.0.1:4318.
	Endpoint string `json:"endpoint"`
}

// ErrNoEndpoint is returned by Validate if exporter.otlp has no endpoint.
var ErrNoEndpoint = errors.New("endpoint is required, such as http://127.0.0.1:4318")

// ModuleInfo implements kernel.Module.
func (*OTLP) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "exporter.otlp", New: func() kernel.Module { return new(OTLP) }}
}

// Validate implements kernel.Validator.
func (o *OTLP) Validate() error {
	if o.Endpoint == "" {
		return ErrNoEndpoint
	}
	return nil
}

// SpanExporter implements telemetry.Exporter.
func (o *OTLP) SpanExporter(ctx context.Context) (sdktrace.SpanExporter, error) {
	return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.Endpoint))
}
