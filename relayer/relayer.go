package relayer

import (
	"context"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/claimer"
	"poplarwind/limiter"
	"poplarwind/parser"
	"poplarwind/pooler"
	"poplarwind/watcher"
)

// Options configures a Relayer.
type Options struct {
	// MaxCalls is the maximum number of calls in flight, 0 meaning 4096.
	MaxCalls int
	// MaxBodyBytes is the maximum size of a response body in bytes, 0 meaning 1
	// MiB.
	MaxBodyBytes int
	// MaxHeaderBytes is the maximum size of response headers in bytes, 0 meaning
	// 16 KiB.
	MaxHeaderBytes int
	// Claimer acquires and settles claims for idempotency keys. If it is nil,
	// calls that need a claim are rejected.
	Claimer *claimer.Claimer
	// Dial dials servers, nil meaning over TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Observe is called with the result of each admitted call, unless it is
	// nil.
	Observe func(service string, class parser.Class, ran Ran, duration time.Duration)
}

const (
	defaultCalls  = 4096
	defaultBody   = 1 << 20
	defaultHeader = 16 << 10
)

// Errors that reject a call before it is sent.
const (
	errNoService   = errors.ConstError("no such service")
	errWithdrawn   = errors.ConstError("service is withdrawn by its settings")
	errMethod      = errors.ConstError("unknown method")
	errLengths     = errors.ConstError("Content-Length and Transfer-Encoding conflict")
	errKeyRequired = errors.ConstError("route needs an " + HeaderKey)
)

// Relayer relays the calls of all services at this entry.
type Relayer struct {
	options   Options
	pool      *pooler.Pool
	admission *limiter.Quotas
	snapshot  atomic.Pointer[watcher.Snapshot]

	mu sync.RWMutex
	// services is keyed by settings path. The map is replaced, never
	// modified.
	services map[string]*Service
}

// New returns a Relayer without services.
func New(o Options) *Relayer {
	if o.MaxCalls == 0 {
		o.MaxCalls = defaultCalls
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultBody
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = defaultHeader
	}
	r := &Relayer{options: o, admission: limiter.NewQuotas(o.MaxCalls), pool: &pooler.Pool{BufferSize: o.MaxHeaderBytes, Dial: o.Dial}}
	r.snapshot.Store(&watcher.Snapshot{})
	return r
}

// Configure applies the accepted settings. Services that are no longer
// configured are kept.
func (r *Relayer) Configure(v *watcher.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := maps.Clone(r.services)
	if next == nil {
		next = make(map[string]*Service)
	}
	for _, state := range v.States() {
		p := v.Service(state.Path())
		if p == nil {
			continue
		}
		s := next[state.Path()]
		if s == nil {
			s = newService(state.Path(), r.pool)
			next[state.Path()] = s
		}
		if s.Settings() != p {
			s.configure(p)
		}
	}
	teams := make(map[string]bool)
	for path := range next {
		teams[parser.TeamOf(path)] = true
	}
	r.admission.SetTeams(len(teams))
	r.services = next
	r.snapshot.Store(v)
}

// Service returns the service of the path, or nil.
func (r *Relayer) Service(path string) *Service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[path]
}

// Services returns all services in order of path.
func (r *Relayer) Services() []*Service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*Service, 0, len(r.services))
	for _, p := range slices.Sorted(maps.Keys(r.services)) {
		out = append(out, r.services[p])
	}
	return out
}

// InFlight returns the number of calls in flight at this entry.
func (r *Relayer) InFlight() int { return r.admission.InFlight() }

// Pool returns the pool of connections to servers.
func (r *Relayer) Pool() *pooler.Pool { return r.pool }

// Handle serves one call of a caller.
func (r *Relayer) Handle(ctx *fasthttp.RequestCtx) {
	start := time.Now()
	s, x, err := r.admit(ctx, start)
	if err != nil {
		reject(ctx, err, ranBeforeClaim(&ctx.Request))
		return
	}
	defer r.admission.Release(s.settings.Team())
	res := r.serve(x)
	if res.resp != nil {
		defer fasthttp.ReleaseResponse(res.resp)
		copyResponse(ctx, res.resp)
		ctx.Response.Header.Set(HeaderRan, res.ran.String())
	} else {
		reject(ctx, res.err, res.ran)
	}
	if x.retried {
		ctx.Response.Header.Set(HeaderSpent, "1")
	}
	s.service.record(x, res)
	if r.options.Observe != nil {
		r.options.Observe(s.service.path, x.route.Class(), res.ran, time.Since(start))
	}
}

// target is a service and the settings that apply to one call.
type target struct {
	service  *Service
	settings *parser.Service
}

// find returns the service that a request path such as "/team/service/rest"
// names, and the rest of the path.
func (r *Relayer) find(path string) (target, string, error) {
	team, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	name, tail, _ := strings.Cut(rest, "/")
	s := r.Service("/" + team + "/" + name)
	if s == nil {
		return target{}, "", errNoService
	}
	p := s.Settings()
	if p.Disabled() {
		return target{}, "", errWithdrawn
	}
	return target{service: s, settings: p}, "/" + tail, nil
}

// admit validates a request and counts it against the limit on its team's
// calls until Handle releases it.
func (r *Relayer) admit(ctx *fasthttp.RequestCtx, start time.Time) (target, *exchange, error) {
	method := string(ctx.Method())
	if !parser.MethodAllowed(method) {
		return target{}, nil, errMethod
	}
	if hasConflictingLengths(ctx.Request.Header.RawHeaders()) {
		ctx.SetConnectionClose()
		return target{}, nil, errLengths
	}
	t, tail, err := r.find(string(ctx.Path()))
	if err != nil {
		return t, nil, err
	}
	x := &exchange{
		relayer: r, service: t.service, ctx: ctx, request: &ctx.Request,
		route: t.settings.Route(method, tail), maxConns: t.settings.MaxConns(),
		trustsShed: t.settings.TrustsShed(), events: make(chan event, eventBuffer),
	}
	x.repeatable = x.route.Idempotent()
	timeout := x.route.Deadline()
	if v := ctx.Request.Header.Peek(HeaderDeadline); len(v) > 0 {
		if timeout, err = ParseDeadline(v); err != nil {
			return t, nil, err
		}
	}
	x.deadline = start.Add(timeout)
	team := r.snapshot.Load().Team(t.settings.Team())
	if err := r.admission.Admit(t.settings.Team(), team.MaxCalls(), team.MaxFraction()); err != nil {
		return t, nil, err
	}
	return t, x, nil
}
