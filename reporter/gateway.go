package reporter

import (
	"context"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"poplarwind/announcer"
	"poplarwind/forwarder"
	"poplarwind/tracker"
)

// GatewaySources are what a Gateway reads. All fields must be set.
type GatewaySources struct {
	Name      string
	Start     time.Time
	Ready     func() bool
	State     *tracker.State
	Table     *announcer.Table
	Announcer *announcer.Announcer
	Forwarder *forwarder.Forwarder
	// Calls returns how many calls were made to the store.
	Calls func() int64
	// Dropped returns how many log lines were dropped.
	Dropped func() int64
}

// Gateway answers operators of an entry on the users' platform: its status, a
// dump of its state, and its metrics.
type Gateway struct {
	sources GatewaySources
	scrape  fasthttp.RequestHandler
	latency metric.Float64Histogram

	mu sync.RWMutex
	// labels holds the prepared attributes of each kind of outcome.
	labels map[outcome]metric.MeasurementOption
}

// outcome is what requests are told apart by in metrics.
type outcome struct {
	service, cause string
	rank, status   int
}

// NewGateway returns a reporter of the sources.
func NewGateway(s GatewaySources) (*Gateway, error) {
	registry := client.NewRegistry()
	exporter, err := prometheus.New(prometheus.WithRegisterer(registry), prometheus.WithoutScopeInfo(), prometheus.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Annotate(err, "metrics exporter")
	}
	g := &Gateway{sources: s, labels: make(map[outcome]metric.MeasurementOption)}
	var handler http.Handler = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	g.scrape = fasthttpadaptor.NewFastHTTPHandler(handler)
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("poplarwind")
	g.latency, err = meter.Float64Histogram("poplarwind.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its answer."), metric.WithExplicitBucketBoundaries(buckets...))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return g, g.observe(meter)
}

// observe registers the gauges and counters that are read at each scrape.
func (g *Gateway) observe(meter metric.Meter) error {
	for _, v := range []struct {
		name, text string
		read       func(o metric.Observer, i metric.Float64Observable)
	}{
		{"poplarwind.store.calls", "Calls to the platform's store.", g.one(func() float64 { return float64(g.sources.Calls()) })},
		{"poplarwind.log.dropped", "Log lines dropped for a slow reader.", g.one(func() float64 { return float64(g.sources.Dropped()) })},
		{"poplarwind.entries.live", "Live entries as this one sees them.", g.one(func() float64 { return float64(len(g.sources.Table.Live(time.Now()))) })},
		{"poplarwind.requests.running", "Requests in flight.", g.one(func() float64 { return float64(g.sources.Forwarder.Running()) })},
		{"poplarwind.peer.bytes", "Bytes sent to and received from other entries.", g.one(func() float64 {
			t := g.sources.Announcer.Traffic()
			return float64(t.Sent + t.Received)
		})},
		{"poplarwind.copy.age", "Age of the copy of the store in seconds, by kind.", func(o metric.Observer, i metric.Float64Observable) {
			for k := range tracker.Kinds {
				if m := g.sources.State.Mark(time.Now(), k); m.AsOf > 0 {
					o.ObserveFloat64(i, m.Age.Seconds(), metric.WithAttributes(attribute.String("kind", k.String())))
				}
			}
		}},
		{"poplarwind.line.length", "Requests that wait for a slot, by service.", func(o metric.Observer, i metric.Float64Observable) {
			for _, s := range g.sources.Forwarder.Status() {
				o.ObserveFloat64(i, float64(s.Waiting), metric.WithAttributes(attribute.String("service", s.Name)))
			}
		}},
		{"poplarwind.upstreams.usable", "Upstreams that may be sent requests, by service.", func(o metric.Observer, i metric.Float64Observable) {
			for _, s := range g.sources.Forwarder.Status() {
				o.ObserveFloat64(i, float64(s.Usable), metric.WithAttributes(attribute.String("service", s.Name)))
			}
		}},
	} {
		i, err := meter.Float64ObservableGauge(v.name, metric.WithDescription(v.text))
		if err != nil {
			return errors.Trace(err)
		}
		_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
			v.read(o, i)
			return nil
		}, i)
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (g *Gateway) one(read func() float64) func(metric.Observer, metric.Float64Observable) {
	return func(o metric.Observer, i metric.Float64Observable) { o.ObserveFloat64(i, read()) }
}

// Observe takes in how one request ended.
func (g *Gateway) Observe(r *forwarder.Record) {
	l := outcome{service: r.Service, cause: r.Cause, rank: r.Rank, status: r.Status}
	g.mu.RLock()
	o, ok := g.labels[l]
	g.mu.RUnlock()
	if !ok {
		o = metric.WithAttributeSet(attribute.NewSet(
			attribute.String("service", l.service), attribute.String("cause", l.cause),
			attribute.String("rank", strconv.Itoa(l.rank)), attribute.String("status", strconv.Itoa(l.status)),
		))
		g.mu.Lock()
		g.labels[l] = o
		g.mu.Unlock()
	}
	g.latency.Record(context.Background(), r.Took.Seconds(), o)
}

// GatewayStatus is what an entry on the users' platform tells of itself.
type GatewayStatus struct {
	Entry   string        `json:"entry"`
	Ready   bool          `json:"ready"`
	Uptime  time.Duration `json:"uptime_ns"`
	Version int64         `json:"version"`
	// Marks are the revision and the age of the copy of each kind.
	Marks    map[string]tracker.Mark   `json:"marks"`
	Watches  bool                      `json:"watches"`
	Members  []announcer.Status        `json:"members"`
	Services []forwarder.ServiceStatus `json:"services"`
	Calls    int64                     `json:"calls"`
	Peers    announcer.Traffic         `json:"peers"`
	Running  int                       `json:"running"`
}

// Status returns what the entry tells of itself.
func (g *Gateway) Status() GatewayStatus {
	s := &g.sources
	now := time.Now()
	out := GatewayStatus{
		Entry: s.Name, Ready: s.Ready(), Uptime: now.Sub(s.Start), Marks: make(map[string]tracker.Mark),
		Watches: tracker.MakePlan(s.Name, s.Table.Live(now)).Watch, Members: s.Table.Known(now), Services: s.Forwarder.Status(),
		Calls: s.Calls(), Peers: s.Announcer.Traffic(), Running: s.Forwarder.Running(),
	}
	if t := s.Forwarder.Table(); t != nil {
		out.Version = t.Version()
	}
	for k := range tracker.Kinds {
		out.Marks[k.String()] = s.State.Mark(now, k)
	}
	return out
}

// Handle serves one question of an operator.
func (g *Gateway) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		g.scrape(ctx)
	case "/status":
		answer(ctx, g.Status())
	case "/dump":
		stacks := make([]byte, maxStacks)
		answer(ctx, struct {
			Status GatewayStatus      `json:"status"`
			Config any                `json:"config"`
			Copy   [][]tracker.Change `json:"copy"`
			Stacks string             `json:"stacks"`
		}{g.Status(), g.config(), g.copies(), string(stacks[:runtime.Stack(stacks, true)])})
	case "/ready":
		if !g.sources.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// maxStacks bounds the goroutines' stacks in a dump, in bytes.
const maxStacks = 256 << 10

func (g *Gateway) config() any {
	if t := g.sources.Forwarder.Table(); t != nil {
		return t.Spec()
	}
	return nil
}

func (g *Gateway) copies() [][]tracker.Change {
	var out [][]tracker.Change
	for k := range tracker.Kinds {
		out = append(out, g.sources.State.All(k))
	}
	return out
}
