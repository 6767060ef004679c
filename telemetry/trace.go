package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/agateusher/agateusher/kernel"
)

// Exporter is implemented by the modules of the namespace "exporter". Tracing is
// off if SpanExporter returns nil.
type Exporter interface {
	kernel.Module
	SpanExporter(ctx context.Context) (sdktrace.SpanExporter, error)
}

// Tracing holds the tracer and the propagator of W3C trace context.
type Tracing struct {
	Tracer     trace.Tracer
	Propagator propagation.TextMapPropagator
	shutdown   func(context.Context) error
}

// NewTracing returns the tracing of one process, which exports its spans through
// e. program and host become the resource attributes service.name and host.name.
func NewTracing(ctx context.Context, program, host string, e Exporter) (*Tracing, error) {
	exporter, err := e.SpanExporter(ctx)
	if err != nil {
		return nil, fmt.Errorf("span exporter %s: %w", e.ModuleInfo().ID, err)
	}
	t := &Tracing{Propagator: propagation.TraceContext{}, shutdown: func(context.Context) error { return nil }}
	if exporter == nil {
		t.Tracer = noop.NewTracerProvider().Tracer(program)
		return t, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("host.name", host))),
	)
	t.Tracer, t.shutdown = provider.Tracer(program), provider.Shutdown
	return t, nil
}

// Shutdown sends the buffered spans and stops the exporter. It gives up when
// ctx ends.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }
