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

// Metrics are the OpenTelemetry metrics of one process.
type Metrics struct {
	registry *client.Registry
	provider *sdk.MeterProvider
	meter    metric.Meter
	latency  metric.Float64Histogram

	mu sync.RWMutex
	// labels holds the prepared attributes of each kind of call.
	labels map[label]metric.MeasurementOption
}

// label is what calls are told apart by.
type label struct {
	service string
	class   parser.Class
	ran     relayer.Ran
}

// buckets are the bounds of latency, in seconds.
var buckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// NewMetrics returns metrics with nothing measured yet.
func NewMetrics() (*Metrics, error) {
	m := &Metrics{registry: client.NewRegistry(), labels: make(map[label]metric.MeasurementOption)}
	exporter, err := prometheus.New(prometheus.WithRegisterer(m.registry), prometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Annotate(err, "metrics exporter")
	}
	m.provider = sdk.NewMeterProvider(sdk.WithReader(exporter))
	m.meter = m.provider.Meter("poplarwind")
	m.latency, err = m.meter.Float64Histogram("poplarwind.call.duration",
		metric.WithUnit("s"),
		metric.WithDescription("Time from a call's admission to its answer."),
		metric.WithExplicitBucketBoundaries(buckets...))
	return m, errors.Trace(err)
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Observe takes in how one call ended.
func (m *Metrics) Observe(service string, class parser.Class, ran relayer.Ran, took time.Duration) {
	m.latency.Record(context.Background(), took.Seconds(), m.option(label{service, class, ran}))
}

func (m *Metrics) option(l label) metric.MeasurementOption {
	m.mu.RLock()
	o, ok := m.labels[l]
	m.mu.RUnlock()
	if ok {
		return o
	}
	o = metric.WithAttributeSet(attribute.NewSet(
		attribute.String("service", l.service),
		attribute.String("class", l.class.String()),
		attribute.String("ran", l.ran.String()),
	))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.labels[l] = o
	return o
}
