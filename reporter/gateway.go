package reporter

import (
	"context"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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
	"poplarwind/apportioner"
	"poplarwind/bufferer"
	"poplarwind/forwarder"
	"poplarwind/internal/acceptor"
	"poplarwind/internal/guarder"
	"poplarwind/internal/versioner"
	"poplarwind/pipeliner"
	"poplarwind/quarantiner"
	"poplarwind/reacher"
	"poplarwind/router"
	"poplarwind/tracker"
)

// GatewaySources holds the components that a Gateway reads. All fields must be
// set.
type GatewaySources struct {
	Name      string
	Start     time.Time
	Ready     func() bool
	State     *tracker.State
	Table     *announcer.Table
	Announcer *announcer.Announcer
	Forwarder *forwarder.Forwarder
	// Quarantine holds the requests during which upstreams crashed.
	Quarantine *quarantiner.Table
	// Quotas holds the quotas of customers.
	Quotas *apportioner.Table
	// Reach is whether the entry is cut off from the upstreams.
	Reach *reacher.Reach
	// StoreEra returns the era of the store as of the last read.
	StoreEra func() uint64
	// StoreCalls returns the number of calls made to the store.
	StoreCalls func() int64
	// Memory returns the use of the memory for messages.
	Memory func() bufferer.Usage
	// Connections returns the number of callers' connections.
	Connections func() pipeliner.Connections
	// Listeners returns the use of the other listeners, by name.
	Listeners func() map[string]acceptor.Usage
	// UnreadHeaders returns the number of headers of responses that nothing reads, by
	// name.
	UnreadHeaders func() map[string]int64
	// DroppedLogLines returns the number of dropped log lines.
	DroppedLogLines func() int64
}

// Gateway serves the status, a state dump and the metrics of an entry on the
// users' platform to operators.
type Gateway struct {
	sources GatewaySources
	scrape  fasthttp.RequestHandler
	reports reportLimiter
	latency metric.Float64Histogram
	queue   *queueMetrics
	// unauthorized counts the requests that were rejected because they had no valid key.
	unauthorized atomic.Int64

	mu sync.RWMutex
	// options caches the attribute set of each outcome, so that it is not built
	// again for each request.
	options map[outcome]metric.MeasurementOption
}

// outcome holds the attribute values of the request metrics.
type outcome struct {
	service, cause, rank string
	status               int
}

// NewGateway returns a Gateway that reads the sources.
func NewGateway(s GatewaySources) (*Gateway, error) {
	registry := client.NewRegistry()
	exporter, err := prometheus.New(prometheus.WithRegisterer(registry), prometheus.WithoutScopeInfo(), prometheus.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Annotate(err, "metrics exporter")
	}
	g := &Gateway{sources: s, options: make(map[outcome]metric.MeasurementOption)}
	var handler http.Handler = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	g.scrape = fasthttpadaptor.NewFastHTTPHandler(handler)
	meter := sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("poplarwind")
	g.latency, err = meter.Float64Histogram("poplarwind.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its answer."), metric.WithExplicitBucketBoundaries(latencyBuckets...))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if g.queue, err = newQueueMetrics(meter); err != nil {
		return nil, err
	}
	if err := g.registerCounters(meter); err != nil {
		return nil, err
	}
	return g, g.registerGauges(meter)
}

// registerCounters registers the counters that are read at each scrape.
func (g *Gateway) registerCounters(meter metric.Meter) error {
	for _, v := range []struct {
		name, description string
		read              func(o metric.Observer, i metric.Int64Observable)
	}{
		{"poplarwind.retries", "Requests sent to a further upstream, by service.", g.perService(func(s *forwarder.ServiceStatus) int64 { return s.Retries })},
		{"poplarwind.retries.denied", "Requests not sent to a further upstream for want of retry budget, by service.", g.perService(func(s *forwarder.ServiceStatus) int64 { return s.RetriesDenied })},
		{"poplarwind.hedges.sent", "Requests sent to a second upstream while the first one could still respond, by service.", g.perService(func(s *forwarder.ServiceStatus) int64 { return hedgesOf(s).Sent })},
		{"poplarwind.hedges.won", "Hedges whose response was returned, by service.", g.perService(func(s *forwarder.ServiceStatus) int64 { return hedgesOf(s).Won })},
		{"poplarwind.hedges.cancelled", "Attempts cancelled because another one of the same request had won, by service.", g.perService(func(s *forwarder.ServiceStatus) int64 { return hedgesOf(s).Cancelled })},
		{"poplarwind.hedges.denied", "Slow requests that were not hedged, by service and cause.", func(o metric.Observer, i metric.Int64Observable) {
			for _, s := range g.sources.Forwarder.Status() {
				for cause, n := range hedgesOf(&s).Denied {
					o.ObserveInt64(i, n, metric.WithAttributes(attribute.String("service", s.Name), attribute.String("cause", cause)))
				}
			}
		}},
		{"poplarwind.upstreams.sent_in_pauses", "Requests sent to upstreams during pauses that these asked for, by service.", g.perService(func(s *forwarder.ServiceStatus) int64 {
			var n int64
			for _, u := range s.Upstreams {
				n += u.SentWhilePaused
			}
			return n
		})},
		{"poplarwind.quota.admitted", "Requests admitted to quotas of customers.", g.counter(func() int64 { return g.sources.Quotas.Totals().Admitted })},
		{"poplarwind.quota.rejected", "Requests rejected by quotas of customers.", g.counter(func() int64 { return g.sources.Quotas.Totals().Rejected })},
		{"poplarwind.quota.returned", "Requests admitted to quotas of customers that were sent to no upstream.", g.counter(func() int64 { return g.sources.Quotas.Totals().Returned })},
		{"poplarwind.quota.customer.admitted", "Requests admitted to the quota of a customer, for those with the most rejections.", g.perCustomer(func(s *apportioner.Status) int64 { return s.Admitted })},
		{"poplarwind.quota.customer.rejected", "Requests rejected by the quota of a customer, for those with the most rejections.", g.perCustomer(func(s *apportioner.Status) int64 { return s.Rejected })},
		{"poplarwind.requests.unauthorized", "Requests rejected because they had no valid key of a customer.", g.counter(g.unauthorized.Load)},
		{"poplarwind.memory.evicted", "Messages that gave way to others in memory, by kind.", g.perKind(func(u bufferer.Usage) map[string]int64 { return u.Evicted })},
		{"poplarwind.memory.rejected", "Messages for which there was no memory left, by kind.", g.perKind(func(u bufferer.Usage) map[string]int64 { return u.Rejected })},
		{"poplarwind.connections.closed_idle", "Callers' connections that were closed for others while they were idle.", g.counter(func() int64 { return g.sources.Connections().ClosedIdle })},
		{"poplarwind.connections.closed_slow", "Callers' connections that were closed for others while a request was received slowly.", g.counter(func() int64 { return g.sources.Connections().ClosedSlow })},
		{"poplarwind.connections.turned_away", "Callers' connections for which there was no room.", g.counter(func() int64 { return g.sources.Connections().TurnedAway })},
		{"poplarwind.panics", "Panics that were contained.", g.counter(guarder.Panics)},
		{"poplarwind.listeners.closed", "Connections to other listeners that were closed for others, by listener.", g.perListener(func(u acceptor.Usage) int64 { return u.Closed })},
		{"poplarwind.listeners.turned_away", "Connections to other listeners for which there was no room, by listener.", g.perListener(func(u acceptor.Usage) int64 { return u.TurnedAway })},
		{"poplarwind.headers.unread", "Headers of responses that nothing reads, by name.", func(o metric.Observer, i metric.Int64Observable) {
			for name, n := range g.sources.UnreadHeaders() {
				o.ObserveInt64(i, n, metric.WithAttributes(attribute.String("name", name)))
			}
		}},
	} {
		i, err := meter.Int64ObservableCounter(v.name, metric.WithDescription(v.description))
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

// perService returns a callback that observes one value of each service.
func (g *Gateway) perService(value func(*forwarder.ServiceStatus) int64) func(metric.Observer, metric.Int64Observable) {
	return func(o metric.Observer, i metric.Int64Observable) {
		for _, s := range g.sources.Forwarder.Status() {
			o.ObserveInt64(i, value(&s), metric.WithAttributes(attribute.String("service", s.Name)))
		}
	}
}

// maxCustomers bounds the customers in metrics.
const maxCustomers = 20

// perCustomer returns a callback that observes one value of each of the customers with the most
// rejections.
func (g *Gateway) perCustomer(value func(*apportioner.Status) int64) func(metric.Observer, metric.Int64Observable) {
	return func(o metric.Observer, i metric.Int64Observable) {
		for _, s := range g.sources.Quotas.MostRejected(time.Now(), maxCustomers) {
			o.ObserveInt64(i, value(&s), metric.WithAttributes(attribute.String("customer", s.Customer)))
		}
	}
}

// hedgesOf returns the counts of hedges of a service.
func hedgesOf(s *forwarder.ServiceStatus) forwarder.HedgeStatus {
	if s.Hedges == nil {
		return forwarder.HedgeStatus{}
	}
	return *s.Hedges
}

// counter returns a callback that observes one count without attributes.
func (g *Gateway) counter(read func() int64) func(metric.Observer, metric.Int64Observable) {
	return func(o metric.Observer, i metric.Int64Observable) { o.ObserveInt64(i, read()) }
}

// perKind returns a callback that observes one value of each kind of message.
func (g *Gateway) perKind(values func(bufferer.Usage) map[string]int64) func(metric.Observer, metric.Int64Observable) {
	return func(o metric.Observer, i metric.Int64Observable) {
		for kind, n := range values(g.sources.Memory()) {
			o.ObserveInt64(i, n, metric.WithAttributes(attribute.String("kind", kind)))
		}
	}
}

// perListener returns a callback that observes one value of each listener other than that of
// callers.
func (g *Gateway) perListener(value func(acceptor.Usage) int64) func(metric.Observer, metric.Int64Observable) {
	return func(o metric.Observer, i metric.Int64Observable) {
		for name, u := range g.sources.Listeners() {
			o.ObserveInt64(i, value(u), metric.WithAttributes(attribute.String("listener", name)))
		}
	}
}

// registerGauges registers the gauges that are read at each scrape.
func (g *Gateway) registerGauges(meter metric.Meter) error {
	for _, v := range []struct {
		name, description string
		read              func(o metric.Observer, i metric.Float64Observable)
	}{
		{"poplarwind.store.calls", "Calls to the platform's store.", g.scalar(func() float64 { return float64(g.sources.StoreCalls()) })},
		{"poplarwind.store.era", "Era of the platform's store as of the last read.", g.scalar(func() float64 { return float64(g.sources.StoreEra()) })},
		{"poplarwind.memory.used", "Memory of messages in bytes, by kind.", func(o metric.Observer, i metric.Float64Observable) {
			for kind, n := range g.sources.Memory().Kinds {
				o.ObserveFloat64(i, float64(n), metric.WithAttributes(attribute.String("kind", kind)))
			}
		}},
		{"poplarwind.memory.peak", "Highest memory of messages since the start in bytes.", g.scalar(func() float64 { return float64(g.sources.Memory().Peak) })},
		{"poplarwind.memory.limit", "Memory that messages may use in bytes.", g.scalar(func() float64 { return float64(g.sources.Memory().Limit) })},
		{"poplarwind.connections.open", "Callers' connections.", g.scalar(func() float64 { return float64(g.sources.Connections().Open) })},
		{"poplarwind.connections.limit", "Most connections of callers at the same time.", g.scalar(func() float64 { return float64(g.sources.Connections().Limit) })},
		{"poplarwind.log.dropped", "Log lines dropped for a slow reader.", g.scalar(func() float64 { return float64(g.sources.DroppedLogLines()) })},
		{"poplarwind.entries.live", "Live entries as this one sees them.", g.scalar(func() float64 { return float64(len(g.sources.Table.Live(time.Now()))) })},
		{"poplarwind.requests.running", "Requests in flight.", g.scalar(func() float64 { return float64(g.sources.Forwarder.InFlight()) })},
		{"poplarwind.peer.bytes", "Bytes sent to and received from other entries.", g.scalar(func() float64 {
			t := g.sources.Announcer.Traffic()
			return float64(t.Sent + t.Received)
		})},
		{"poplarwind.copy.age", "Age of the copy of the store in seconds, by kind.", func(o metric.Observer, i metric.Float64Observable) {
			for k := range tracker.Kinds {
				if position := g.sources.State.Position(time.Now(), k); position.AsOf > 0 {
					o.ObserveFloat64(i, position.Age.Seconds(), metric.WithAttributes(attribute.String("kind", k.String())))
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
		{"poplarwind.upstreams.paused", "Upstreams that have asked this entry for a pause that has not ended, by service.", func(o metric.Observer, i metric.Float64Observable) {
			for _, s := range g.sources.Forwarder.Status() {
				paused := 0
				for _, u := range s.Upstreams {
					if u.PauseLeft > 0 {
						paused++
					}
				}
				o.ObserveFloat64(i, float64(paused), metric.WithAttributes(attribute.String("service", s.Name)))
			}
		}},
		{"poplarwind.upstreams.cold", "Upstreams that are cold, of services with a warm-up rate, by service.", func(o metric.Observer, i metric.Float64Observable) {
			for _, s := range g.sources.Forwarder.Status() {
				cold := 0
				for _, u := range s.Upstreams {
					if u.WarmupLeft > 0 {
						cold++
					}
				}
				o.ObserveFloat64(i, float64(cold), metric.WithAttributes(attribute.String("service", s.Name)))
			}
		}},
		{"poplarwind.domains.evacuated", "Failure domains to whose upstreams no requests are sent.", g.scalar(func() float64 { return float64(len(g.sources.Forwarder.Evacuated())) })},
		{"poplarwind.quarantine.requests", "Requests in quarantine because upstreams crash when they run them.", g.scalar(func() float64 { return float64(g.quarantined()) })},
		{"poplarwind.quota.isolated", "1 while this entry is cut off from most others and uses a part of its portions of quotas.", g.scalar(func() float64 {
			if g.sources.Quotas.Isolated() {
				return 1
			}
			return 0
		})},
		{"poplarwind.upstreams.cut", "1 while this entry is cut off from the upstreams of all services.", g.scalar(func() float64 {
			if g.sources.Reach.Cut() {
				return 1
			}
			return 0
		})},
		{"poplarwind.upstream.limit", "Rate limit in requests a second that an upstream states, by upstream.", g.limitedUpstreams(func(u forwarder.UpstreamStatus) float64 { return *u.RateLimit })},
		{"poplarwind.upstream.limit.sent", "Requests sent to an upstream since it states a rate limit, by upstream.", g.limitedUpstreams(func(u forwarder.UpstreamStatus) float64 { return float64(u.Sent) })},
	} {
		i, err := meter.Float64ObservableGauge(v.name, metric.WithDescription(v.description))
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

// quarantined returns the number of requests in quarantine.
func (g *Gateway) quarantined() int {
	n := 0
	for _, r := range g.sources.Quarantine.Status(time.Now()) {
		if r.Quarantined {
			n++
		}
	}
	return n
}

// scalar returns a callback that observes one value without attributes.
func (g *Gateway) scalar(read func() float64) func(metric.Observer, metric.Float64Observable) {
	return func(o metric.Observer, i metric.Float64Observable) { o.ObserveFloat64(i, read()) }
}

// limitedUpstreams returns a callback that observes one value of each upstream that
// states a rate limit.
func (g *Gateway) limitedUpstreams(value func(forwarder.UpstreamStatus) float64) func(metric.Observer, metric.Float64Observable) {
	return func(o metric.Observer, i metric.Float64Observable) {
		for _, s := range g.sources.Forwarder.Status() {
			for _, u := range s.Upstreams {
				if u.RateLimit != nil {
					o.ObserveFloat64(i, value(u), metric.WithAttributes(attribute.String("upstream", u.ID)))
				}
			}
		}
	}
}

// Observe records the outcome and the latency of one request.
func (g *Gateway) Observe(r *forwarder.Record) {
	key := outcome{service: r.Service, cause: r.Cause, rank: boundedRank(r.Rank), status: r.Status}
	g.mu.RLock()
	option, ok := g.options[key]
	g.mu.RUnlock()
	if !ok {
		option = metric.WithAttributeSet(attribute.NewSet(
			attribute.String("service", key.service), attribute.String("cause", key.cause),
			attribute.String("rank", key.rank), attribute.String("status", strconv.Itoa(key.status)),
		))
		g.mu.Lock()
		g.options[key] = option
		g.mu.Unlock()
	}
	if r.Status == fasthttp.StatusUnauthorized && r.Cause != "" {
		g.unauthorized.Add(1)
	}
	g.latency.Record(context.Background(), r.Duration.Seconds(), option)
	g.queue.observe(r)
}

// GatewayStatus is the state of an entry on the users' platform.
type GatewayStatus struct {
	Entry string `json:"entry"`
	// Build is the commit of the program, and Level the level of the messages that it
	// understands.
	Build string `json:"build"`
	Level int    `json:"level"`
	Ready bool   `json:"ready"`
	// Cut is set while the entry is cut off from the upstreams of all services.
	Cut     bool          `json:"cut,omitempty"`
	Uptime  time.Duration `json:"uptime_ns"`
	Version int64         `json:"version"`
	// Positions holds the revision and the age of the local replica of the store,
	// by kind of object.
	Positions map[string]tracker.Position `json:"marks"`
	Watches   bool                        `json:"watches"`
	// Evacuated holds the failure domains to whose upstreams no requests are sent.
	Evacuated []string                  `json:"evacuated,omitempty"`
	Members   []announcer.Status        `json:"members"`
	Services  []forwarder.ServiceStatus `json:"services"`
	// Crashes holds the requests during which upstreams crashed.
	Crashes []quarantiner.Status `json:"crashes,omitempty"`
	// Quotas holds the quotas of the customers that have had requests, and QuotaTotals the decisions
	// on them. Isolated is set while the entry is cut off from most others and uses a part of its
	// portions.
	Quotas      []apportioner.Status `json:"quotas,omitempty"`
	QuotaTotals apportioner.Totals   `json:"quota_totals"`
	Isolated    bool                 `json:"isolated,omitempty"`
	// Unauthorized counts the requests that were rejected because they had no valid key.
	Unauthorized int64             `json:"unauthorized"`
	StoreCalls   int64             `json:"calls"`
	StoreEra     uint64            `json:"era"`
	Peers        announcer.Traffic `json:"peers"`
	InFlight     int               `json:"running"`
	Memory       bufferer.Usage    `json:"memory"`
	// Connections counts callers' connections.
	Connections pipeliner.Connections `json:"connections"`
	// Listeners holds the use of the other listeners, by name.
	Listeners map[string]acceptor.Usage `json:"listeners"`
}

// Status returns the current state of the entry.
func (g *Gateway) Status() GatewayStatus {
	s := &g.sources
	now := time.Now()
	out := GatewayStatus{
		Entry: s.Name, Build: versioner.Build(), Level: announcer.Level, Ready: s.Ready(), Cut: s.Reach.Cut(), Uptime: now.Sub(s.Start), Positions: make(map[string]tracker.Position),
		Watches: tracker.RoleOf(s.Name, s.Table.Live(now)).Watch, Evacuated: s.Forwarder.Evacuated(), Members: s.Table.Members(now), Services: s.Forwarder.Status(), Crashes: s.Quarantine.Status(now),
		Quotas: s.Quotas.Status(now), QuotaTotals: s.Quotas.Totals(), Isolated: s.Quotas.Isolated(), Unauthorized: g.unauthorized.Load(),
		StoreCalls: s.StoreCalls(), StoreEra: s.StoreEra(), Peers: s.Announcer.Traffic(), InFlight: s.Forwarder.InFlight(), Memory: s.Memory(), Connections: s.Connections(), Listeners: s.Listeners(),
	}
	if t := s.Forwarder.Table(); t != nil {
		out.Version = t.Version()
	}
	for k := range tracker.Kinds {
		if p := s.State.Position(now, k); k != tracker.Evacuations || p.AsOf > 0 {
			out.Positions[k.String()] = p
		}
	}
	return out
}

// Handle serves one HTTP request of an operator: /metrics, /status, /dump or
// /ready.
func (g *Gateway) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		g.reports.serve(ctx, g.scrape)
	case "/status":
		g.reports.serve(ctx, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, g.Status()) })
	case "/dump":
		g.reports.serve(ctx, g.dump)
	case "/explain":
		g.reports.serve(ctx, g.explain)
	case "/ready":
		if !g.sources.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// explain responds with what would become of a request that the query parameters describe. They have
// the digest of a key, never the key.
func (g *Gateway) explain(ctx *fasthttp.RequestCtx) {
	q, err := parseQuery(ctx.QueryArgs())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBodyString(err.Error())
		return
	}
	e := g.sources.Forwarder.Explain(q)
	e.Entry = g.sources.Name
	writeJSON(ctx, e)
}

// parseQuery returns the request to explain. The error satisfies errors.Is(err, errors.NotValid).
func parseQuery(args *fasthttp.Args) (forwarder.Query, error) {
	q := forwarder.Query{Host: string(args.Peek("host")), Path: string(args.Peek("path"))}
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return q, errors.NotValidf("query: got: host %q, path %q want: a host, and a path that begins with a slash:", q.Host, q.Path)
	}
	if v := args.Peek("key_digest"); len(v) > 0 {
		q.Key = new(router.Digest)
		if err := q.Key.UnmarshalText(v); err != nil {
			return q, err
		}
	}
	if v := args.Peek("deadline"); len(v) > 0 {
		d, err := time.ParseDuration(string(v))
		if err != nil || d <= 0 {
			return q, errors.NotValidf("query: deadline: got: %q want: a time above 0, such as 2s:", v)
		}
		q.Timeout = d
	}
	return q, nil
}

// dump responds with all that the entry knows, and with the stacks of its goroutines.
func (g *Gateway) dump(ctx *fasthttp.RequestCtx) {
	stacks := make([]byte, maxStackBytes)
	writeJSON(ctx, struct {
		Status GatewayStatus      `json:"status"`
		Config any                `json:"config"`
		Copy   [][]tracker.Change `json:"copy"`
		Stacks string             `json:"stacks"`
	}{g.Status(), g.config(), g.replicatedObjects(), string(stacks[:runtime.Stack(stacks, true)])})
}

// maxStackBytes bounds the goroutine stacks in a dump.
const maxStackBytes = 256 << 10

// config returns the configuration in force, nil if there is none yet.
func (g *Gateway) config() any {
	if t := g.sources.Forwarder.Table(); t != nil {
		return t.Spec()
	}
	return nil
}

// replicatedObjects returns the local replica of the store, by kind of object.
func (g *Gateway) replicatedObjects() [][]tracker.Change {
	var out [][]tracker.Change
	for k := range tracker.Kinds {
		out = append(out, g.sources.State.All(k))
	}
	return out
}
