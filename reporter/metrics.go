package reporter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"poplarwind/parser"
	"poplarwind/relayer"
)

// Metrics holds the OpenTelemetry metrics of one process.
type Metrics struct {
	registry *client.Registry
	provider *sdk.MeterProvider
	meter    metric.Meter
	latency  metric.Float64Histogram

	mu sync.RWMutex
	// options caches the attribute set of each kind of call, so that it is not
	// built again for each call.
	options map[callKind]metric.MeasurementOption
}

// callKind holds the attribute values of the call metrics.
type callKind struct {
	service string
	class   parser.Class
	ran     relayer.Ran
}

// latencyBuckets holds the upper bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// NewMetrics returns Metrics without any recorded calls.
func NewMetrics() (*Metrics, error) {
	m := &Metrics{registry: client.NewRegistry(), options: make(map[callKind]metric.MeasurementOption)}
	exporter, err := prometheus.New(prometheus.WithRegisterer(m.registry), prometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Annotate(err, "metrics exporter")
	}
	m.provider = sdk.NewMeterProvider(sdk.WithReader(exporter))
	m.meter = m.provider.Meter("poplarwind")
	m.latency, err = m.meter.Float64Histogram("poplarwind.call.duration",
		metric.WithUnit("s"),
		metric.WithDescription("Time from a call's admission to its answer."),
		metric.WithExplicitBucketBoundaries(latencyBuckets...))
	return m, errors.Trace(err)
}

// Handler returns a handler that serves the metrics in the Prometheus text
// format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Observe records the outcome and the latency of one call.
func (m *Metrics) Observe(service string, class parser.Class, ran relayer.Ran, took time.Duration) {
	m.latency.Record(context.Background(), took.Seconds(), m.option(callKind{service, class, ran}))
}

func (m *Metrics) option(kind callKind) metric.MeasurementOption {
	m.mu.RLock()
	o, ok := m.options[kind]
	m.mu.RUnlock()
	if ok {
		return o
	}
	o = metric.WithAttributeSet(attribute.NewSet(
		attribute.String("service", kind.service),
		attribute.String("class", kind.class.String()),
		attribute.String("ran", kind.ran.String()),
	))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.options[kind] = o
	return o
}
