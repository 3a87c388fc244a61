package forwarder

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/placer"
	"poplarwind/pooler"
	"poplarwind/router"
)

// Retries bound the requests that are sent again, over all entries.
type Retries struct {
	// Share is the part of a window's requests that may be repeated, and
	// Allowance how many may be beside that.
	Share, Allowance float64
	Window           time.Duration
}

// Entries is how many entries there are, and this one's part.
type Entries struct {
	// All is how many there are, and Carriers how many carry a service, both at
	// least 1.
	All, Carriers int
	// Carries says that this one carries the service.
	Carries bool
	// Questions is the part of all questions for the load of an upstream that
	// this entry may ask, by where the upstream is.
	Questions [placer.Scopes]float64
}

// Options set a Forwarder.
type Options struct {
	// Dialect must be set.
	Dialect Dialect
	// Domain is the failure domain of this entry.
	Domain string
	// Retries is shared by all entries.
	Retries Retries
	// Probes is how often an upstream may be asked for its load, a second and
	// over all entries, 0 meaning 10.
	Probes float64
	// Body bounds an answer's body in bytes, 0 meaning 16 MiB.
	Body int
	// Entries returns how many entries there are and carry a service. It is
	// called for each request. Nil means one.
	Entries func(service string) Entries
	// Refresh makes sure that the configuration is the newest, as far as that
	// can be done in a moment; nil for nothing. It is called when a request
	// has no route.
	Refresh func(ctx context.Context)
	// Record is told how each request ended, nil for nobody.
	Record func(*Record)
	// Open opens a connection to an upstream, nil meaning over TCP.
	Open func(ctx context.Context, addr string) (net.Conn, error)
	// Log is told what changes beliefs about upstreams.
	Log *slog.Logger
}

const (
	defaultBody   = 16 << 20
	defaultProbes = 10
	// headerBuffer bounds the header of an upstream's answer. An entry may hold
	// thousands of connections, each with two buffers of this size.
	headerBuffer = 4 << 10
	// dialWait bounds the opening of a connection. Upstreams are milliseconds
	// away; a lost opening packet is only sent again after a second.
	dialWait = 150 * time.Millisecond
)

// Forwarder carries requests. It is made by New.
type Forwarder struct {
	options Options
	pool    *pooler.Pool
	table   atomic.Pointer[router.Table]
	// arrived counts requests that came.
	arrived atomic.Int64
	// running counts requests between their arrival and their answer.
	running atomic.Int64
	// leaving makes answers ask callers to go elsewhere.
	leaving atomic.Bool
	// closed refuses requests that come from now on.
	closed atomic.Bool

	mu sync.Mutex
	// services holds those that have upstreams or are in the configuration.
	services map[string]*service
}

// New returns a forwarder without configuration and upstreams.
func New(o Options) *Forwarder {
	if o.Body == 0 {
		o.Body = defaultBody
	}
	if o.Probes == 0 {
		o.Probes = defaultProbes
	}
	if o.Entries == nil {
		o.Entries = func(string) Entries {
			return Entries{All: 1, Carriers: 1, Carries: true, Questions: [placer.Scopes]float64{1, 1}}
		}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Forwarder{options: o, pool: &pooler.Pool{Dial: dialWait, Buffer: headerBuffer, Open: o.Open}, services: make(map[string]*service)}
}

// Configure puts a configuration in force.
func (f *Forwarder) Configure(t *router.Table) { f.table.Store(t) }

// Table returns the configuration in force, or nil.
func (f *Forwarder) Table() *router.Table { return f.table.Load() }

// Running returns how many requests are in flight.
func (f *Forwarder) Running() int { return int(f.running.Load()) }

// Arrived returns how many requests came since the start.
func (f *Forwarder) Arrived() int64 { return f.arrived.Load() }

// Leave makes answers ask callers to open their next connection elsewhere.
func (f *Forwarder) Leave() { f.leaving.Store(true) }

// Close refuses requests that come from now on: they are told that they have
// not run, and to come back at another entry at once.
func (f *Forwarder) Close() { f.closed.Store(true) }

// Pool returns the connections to upstreams.
func (f *Forwarder) Pool() *pooler.Pool { return f.pool }

// Put makes an upstream known or takes in a change of it.
func (f *Forwarder) Put(u placer.Spec) {
	now := time.Now()
	f.mu.Lock()
	for name, s := range f.services {
		if name != u.Service {
			s.remove(u.ID)
		}
	}
	f.mu.Unlock()
	s := f.service(u.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Put(now, u)
	s.pump(now)
}

// Remove forgets an upstream.
func (f *Forwarder) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.remove(id)
	}
}

// service returns the service of the name.
func (f *Forwarder) service(name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		s = &service{name: name, works: make(map[string]*placer.Work)}
		s.fleet.Domain = f.options.Domain
		f.services[name] = s
	}
	return s
}

// Handle serves one request of a caller.
func (f *Forwarder) Handle(ctx *fasthttp.RequestCtx) {
	f.arrived.Add(1)
	f.running.Add(1)
	defer f.running.Add(-1)
	x, err := f.admit(ctx, time.Now())
	v := verdict{err: err}
	if err == nil {
		v = x.run()
	}
	x.answer(v)
	if f.leaving.Load() {
		ctx.SetConnectionClose()
	}
	if f.options.Record != nil {
		f.options.Record(x.record(v))
	}
}

// admit finds the route of a request and how long it has.
func (f *Forwarder) admit(ctx *fasthttp.RequestCtx, now time.Time) (*exchange, error) {
	x := &exchange{forwarder: f, ctx: ctx, start: now, id: f.options.Dialect.ID(&ctx.Request.Header), turn: make(chan struct{}, 1)}
	if f.closed.Load() {
		return x, errLeaving
	}
	if lengthsConflict(ctx.Request.Header.RawHeaders()) {
		ctx.SetConnectionClose()
		return x, errLengths
	}
	t := f.table.Load()
	if t == nil {
		return x, errNoConfig
	}
	host, uri := string(ctx.Host()), string(ctx.Request.Header.RequestURI())
	x.path = t.Find(host, uri)
	if x.path == nil && f.options.Refresh != nil {
		wait, cancel := context.WithTimeout(context.Background(), refreshWait)
		f.options.Refresh(wait)
		cancel()
		t = f.table.Load()
		x.path = t.Find(host, uri)
	}
	x.version = t.Version()
	if x.path == nil {
		return x, errNoRoute
	}
	if most := t.Limits().Body; most > 0 && len(ctx.Request.Body()) > most {
		return x, errLarge
	}
	x.limit(now)
	name := x.path.Next()
	x.service = f.service(name)
	if v := t.Service(name); v != nil {
		x.health, x.conns = v.Health, v.Conns
	}
	x.work = x.service.configure(f.options, x.path.Name, now)
	return x, nil
}

// refreshWait bounds the look for a newer configuration.
const refreshWait = 400 * time.Millisecond
