// Package trace creates the tracer of a box from its settings.
package trace

import (
	"context"
	"fmt"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"dooryard.example/dooryard/pkg/config"
)

// Constants of the tracer.
const (
	serviceName          = "dooryard-router"
	defaultSamplePercent = 1
	percent              = 100
)

// Tracer creates spans and shuts down their exporter.
type Tracer struct {
	trace.Tracer
	shutdown func(ctx context.Context) error
}

// Shutdown flushes buffered spans and stops the exporter.
func (t *Tracer) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// New returns the tracer selected by the settings. The stdout exporter writes
// spans to w.
func New(ctx context.Context, settings config.Traces, box, domain string, w io.Writer) (*Tracer, error) {
	exporter, err := newExporter(ctx, settings, w)
	if err != nil {
		return nil, fmt.Errorf("traces.exporter: %w", err)
	}
	if exporter == nil {
		return &Tracer{
			Tracer:   noop.NewTracerProvider().Tracer(serviceName),
			shutdown: func(context.Context) error { return nil },
		}, nil
	}
	config.SetDefault(&settings.SamplePercent, defaultSamplePercent)
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(float64(settings.SamplePercent)/percent))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", serviceName),
			attribute.String("dooryard.box", box),
			attribute.String("dooryard.failure_domain", domain),
		)),
	)
	return &Tracer{Tracer: provider.Tracer(serviceName), shutdown: provider.Shutdown}, nil
}

func newExporter(ctx context.Context, settings config.Traces, w io.Writer) (sdk.SpanExporter, error) {
	switch settings.Exporter {
	case "stdout":
		return stdouttrace.New(stdouttrace.WithWriter(w))
	case "otlp":
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(settings.Endpoint))
	default:
		return nil, nil //nolint:nilnil // without an exporter there are no spans
	}
}
