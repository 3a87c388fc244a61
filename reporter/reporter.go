package reporter

import (
	"encoding/json"
	"runtime"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"poplarwind/announcer"
	"poplarwind/claimer"
	"poplarwind/dispatcher"
	"poplarwind/parser"
	"poplarwind/prober"
	"poplarwind/relayer"
	"poplarwind/storer"
	"poplarwind/watcher"
)

// Sources holds the components that a Reporter reads. All fields must be set.
type Sources struct {
	Process   *parser.Process
	Start     time.Time
	Ready     func() bool
	Store     *storer.Client
	Follower  *watcher.Follower
	Cache     *watcher.Cache
	Table     *announcer.Table
	Announcer *announcer.Announcer
	Relayer   *relayer.Relayer
	Prober    *prober.Prober
	Claimer   *claimer.Claimer
	Subset    func(*parser.Service) []announcer.Member
}

// Reporter serves the status, a state dump and the metrics of an entry to
// operators.
type Reporter struct {
	sources Sources
	metrics *Metrics
	scrape  fasthttp.RequestHandler
	reports reportLimiter
}

// New returns a Reporter that reads the sources and serves the metrics.
func New(s Sources, m *Metrics) *Reporter {
	return &Reporter{sources: s, metrics: m, scrape: fasthttpadaptor.NewFastHTTPHandler(m.Handler())}
}

// Handle serves one HTTP request of an operator: /status, /dump, /ready or
// /metrics.
func (r *Reporter) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/status":
		r.reports.serve(ctx, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, r.Status()) })
	case "/dump":
		r.reports.serve(ctx, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, r.dump()) })
	case "/ready":
		if !r.sources.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case "/metrics":
		r.reports.serve(ctx, r.scrape)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// writeJSON responds with v as JSON, and with status 500 if it can't be encoded.
func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Status returns the current state of the entry.
func (r *Reporter) Status() Status {
	s, p := r.sources, r.sources.Process
	now := time.Now()
	out := Status{
		Name: p.Name(), Domain: p.Domain(), Region: p.Region(),
		Ready: s.Ready(), Draining: s.Table.Draining(), Uptime: time.Since(s.Start).Seconds(),
		Store: r.storeStatus(), Members: s.Table.Members(now), Peers: s.Announcer.Traffic(),
		Settings: []SettingsStatus{}, Services: []ServiceStatus{},
	}
	out.Claims.Granted, out.Claims.Replayed, out.Claims.Rejected, out.Claims.Dropped = s.Claimer.Counts()
	out.Claims.Pending = s.Claimer.Pending()
	for _, state := range s.Cache.Snapshot().States() {
		t := SettingsStatus{Path: state.Path(), Version: state.Version()}
		if v, fault := state.Rejected(); v > 0 {
			t.Rejected, t.Fault = v, fault.Error()
		}
		out.Settings = append(out.Settings, t)
	}
	for _, v := range s.Relayer.Services() {
		out.Services = append(out.Services, r.serviceStatus(v))
	}
	return out
}

func (r *Reporter) storeStatus() StoreStatus {
	age := -1.0
	if a := r.sources.Follower.Staleness(); a > 0 {
		age = a.Seconds()
	}
	return StoreStatus{Age: age, Usage: r.sources.Store.Usage()}
}

func (r *Reporter) serviceStatus(v *relayer.Service) ServiceStatus {
	stats := v.Stats()
	out := ServiceStatus{
		Path: v.Path(), No: stats.No, Unknown: stats.Unknown, Yes: stats.Yes, Late: stats.Late, Disconnected: stats.Disconnected,
		OnTime: 1, Probes: r.sources.Prober.Usage(v.Path()), Subset: []string{}, Servers: []ServerStatus{},
	}
	if stats.TotalWeight > 0 {
		out.OnTime = stats.GoodWeight / stats.TotalWeight
	}
	for _, m := range r.sources.Subset(v.Settings()) {
		out.Subset = append(out.Subset, m.Name)
		out.Assigned = out.Assigned || m.Name == r.sources.Process.Name()
	}
	v.Update(func(now time.Time, d *dispatcher.Dispatcher) {
		c := d.Counts()
		out.Waiting, out.Calls, out.Rejected = d.Waiting(), c.Calls, c.Rejected
		out.Retries, out.Hedges = c.Retries, c.Hedges
		for _, s := range d.Servers() {
			load, _ := s.Reported()
			out.Servers = append(out.Servers, ServerStatus{
				Name: s.Name(), Addr: s.Addr(), Domain: s.Domain(), InFlight: s.InFlight(), FreeSlots: s.FreeSlots(now), Load: load,
				Draining: s.Draining(), Ejected: s.Ejected(now), Suspect: s.Suspect(now), Owned: s.Owned(),
				MeanLatency: millis(s.MeanLatency()),
			})
		}
	})
	return out
}

// Dump is the complete state of a process.
type Dump struct {
	Status Status `json:"status"`
	// Goroutines is the number of goroutines.
	Goroutines int `json:"goroutines"`
	// Heap is the size of the allocated heap objects in bytes.
	Heap uint64 `json:"heap"`
	// InFlight is the number of calls in flight at the entry.
	InFlight int `json:"held"`
	// Conns is the number of connections to servers in the pool.
	Conns int `json:"conns"`
	// Digest identifies the settings in force.
	Digest uint64 `json:"digest"`
	// Objects holds the settings in force, as stored.
	Objects []storer.Object `json:"objects"`
}

func (r *Reporter) dump() Dump {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	v := r.sources.Cache.Snapshot()
	d := Dump{
		Status: r.Status(), Goroutines: runtime.NumGoroutine(), Heap: m.HeapAlloc,
		InFlight: r.sources.Relayer.InFlight(), Conns: r.sources.Relayer.Pool().Count(), Digest: v.Digest(),
	}
	for _, state := range v.States() {
		d.Objects = append(d.Objects, state.Object())
	}
	return d
}
