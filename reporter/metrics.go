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

// Follow makes the metrics read totals from the reporter on each scrape.
func (m *Metrics) Follow(r *Reporter) error {
	type gauge struct {
		name, unit, about string
		read              func(ServiceStatus) int64
	}
	perService := []gauge{
		{"poplarwind.calls", "{call}", "Calls taken in.", func(s ServiceStatus) int64 { return s.Calls }},
		{"poplarwind.refused", "{call}", "Calls refused before they were sent.", func(s ServiceStatus) int64 { return s.Refused }},
		{"poplarwind.retries", "{attempt}", "Attempts after a failed one.", func(s ServiceStatus) int64 { return s.Retries }},
		{"poplarwind.hedges", "{attempt}", "Attempts beside a slow one.", func(s ServiceStatus) int64 { return s.Hedges }},
		{"poplarwind.late", "{call}", "Calls not answered before their deadline.", func(s ServiceStatus) int64 { return s.Late }},
		{"poplarwind.probes", "{probe}", "Probes sent.", func(s ServiceStatus) int64 { return s.Probes.Probes }},
		{"poplarwind.probe.bytes", "By", "Bytes of probes.", func(s ServiceStatus) int64 { return s.Probes.Bytes }},
		{"poplarwind.probe.denied", "{probe}", "Probes that the budget denied.", func(s ServiceStatus) int64 { return s.Probes.Denied }},
	}
	whole := []struct {
		name, unit, about string
		read              func(Status) int64
	}{
		{"poplarwind.store.calls", "{call}", "Calls on the platform's store.", func(s Status) int64 { return s.Store.Calls }},
		{"poplarwind.store.writes", "{call}", "Writes among them.", func(s Status) int64 { return s.Store.Writes }},
		{"poplarwind.peer.sent", "By", "Bytes sent to other entries.", func(s Status) int64 { return s.Peers.Sent }},
		{"poplarwind.peer.received", "By", "Bytes received from other entries.", func(s Status) int64 { return s.Peers.Received }},
		{"poplarwind.claims.granted", "{claim}", "Claims granted.", func(s Status) int64 { return s.Claims.Granted }},
		{"poplarwind.claims.pending", "{claim}", "Outcomes still to be written.", func(s Status) int64 { return s.Claims.Pending }},
	}
	for _, g := range perService {
		_, err := m.meter.Int64ObservableGauge(g.name, metric.WithUnit(g.unit), metric.WithDescription(g.about),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				for _, v := range r.sources.Relayer.Services() {
					o.Observe(g.read(r.service(v)), metric.WithAttributes(attribute.String("service", v.Path())))
				}
				return nil
			}))
		if err != nil {
			return errors.Trace(err)
		}
	}
	for _, g := range whole {
		_, err := m.meter.Int64ObservableGauge(g.name, metric.WithUnit(g.unit), metric.WithDescription(g.about),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(g.read(r.Status()))
				return nil
			}))
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
