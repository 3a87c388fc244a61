package forwarder

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"poplarwind/apportioner"
	"poplarwind/bufferer"
	"poplarwind/pipeliner"
	"poplarwind/placer"
	"poplarwind/pooler"
	"poplarwind/quarantiner"
	"poplarwind/reacher"
	"poplarwind/router"
)

// RetryBudget bounds the retries of all entries together.
type RetryBudget struct {
	// Ratio is the fraction of a window's requests that may be retried, and
	// Allowance the number of retries permitted in addition.
	Ratio, Allowance float64
	Window           time.Duration
}

// Quota decides which requests are within the quotas of customers.
type Quota interface {
	// Admit decides whether a request of the customer is within the quota.
	Admit(now time.Time, customer string) apportioner.Decision
	// Send decides whether an admitted request that has waited may be sent.
	Send(now time.Time, customer string, waited time.Duration) apportioner.Decision
	// Preview returns the decision that Admit would make and changes nothing. It reports false
	// if the customer has no quota.
	Preview(now time.Time, customer string) (apportioner.Decision, bool)
	// Return returns the admission of a request that was sent to no upstream.
	Return(now time.Time, customer string)
}

// EntrySet describes the set of entries and the role of this one.
type EntrySet struct {
	// Total is the number of entries, and Assigned the number of entries
	// assigned to the service. Both are at least 1.
	Total, Assigned int
	// Starting is set while this entry may not know all others yet.
	Starting bool
	// IsAssigned reports whether this entry is assigned to the service.
	IsAssigned bool
	// LoadFraction is this entry's fraction of the load of the assigned entries, 0
	// if it is not one of them. Those of all entries add up to 1.
	LoadFraction float64
	// ProbeFraction is the fraction of the load probes to an upstream that this
	// entry may send, by the upstream's scope.
	ProbeFraction [placer.Scopes]float64
}

// Options configures a Forwarder.
type Options struct {
	// Dialect is required.
	Dialect Dialect
	// Domain is the failure domain of this entry.
	Domain string
	// RetryBudget is the retry budget of all entries together.
	RetryBudget RetryBudget
	// Hedge is the maximum fraction of the idempotent requests for a service that are sent
	// to a second upstream while the first one may still respond. 0 means none.
	Hedge float64
	// ProbeRate is the maximum rate of load probes to one upstream, per second
	// and over all entries. 0 means 10.
	ProbeRate float64
	// MaxResponseBody is the maximum size of a response body in bytes. 0 means
	// 16 MiB.
	MaxResponseBody int
	// Budget bounds the memory of responses. Nil means that it has no bound.
	Budget *bufferer.Budget
	// Entries returns the current set of entries and their assignment to a
	// service. Nil means a single entry.
	Entries func(service string) EntrySet
	// LimitFraction returns the fraction of the rate limit of an upstream, in
	// requests per second, that this entry may use. The fractions of all entries add
	// up to 1. Nil means a single entry.
	LimitFraction func(u placer.Spec, rate float64) float64
	// WarmupFraction returns the fraction of the warm-up rate of a cold upstream, in requests per
	// second, that this entry may use. The fractions of all entries add up to at most 1.
	// Nil means a single entry.
	WarmupFraction func(u placer.Spec, rate float64) float64
	// AwaitEvacuations makes the entry reject requests until SetEvacuated was called.
	AwaitEvacuations bool
	// Quarantine holds the requests that are not forwarded because upstreams crash
	// when they run them. Nil means a table of this entry alone.
	Quarantine *quarantiner.Table
	// Reach records which upstreams of all services are reached. Nil means one of this
	// entry alone.
	Reach *reacher.Reach
	// Relays returns the addresses of other entries that reach upstreams, in the order
	// in which they are to be tried for a request for a service while this entry does
	// not. Nil means that there are none.
	Relays func(service string) []string
	// Secret proves to other entries that this one relays a request. Without it nothing is proven.
	Secret []byte
	// Quota decides which requests of customers are within their quotas. Nil means that there
	// are none.
	Quota Quota
	// Refresh loads the newest configuration that is available before ctx
	// expires. It is called when a request matches no route or has an unknown key. Nil disables it.
	Refresh func(ctx context.Context)
	// OnComplete is called with the outcome of each request, if it is not nil.
	OnComplete func(*Record)
	// Dial opens a connection to an upstream. Nil means a TCP connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Log receives changes in the state of upstreams. Nil discards them.
	Log *slog.Logger
}

const (
	defaultMaxBody   = 16 << 20
	defaultProbeRate = 10
	// headerBufferSize bounds the header of an upstream's response in bytes.
	// An entry may hold thousands of connections, each with two buffers of
	// this size.
	headerBufferSize = 4 << 10
	// dialTimeout bounds the opening of a connection. Upstreams are
	// milliseconds away, and a lost SYN is retransmitted only after a second.
	dialTimeout = 150 * time.Millisecond
)

// Forwarder forwards requests. Use New to create one.
type Forwarder struct {
	options Options
	pool    *pooler.Pool
	// entries holds the connections to other entries.
	entries *pooler.Pool
	table   atomic.Pointer[router.Table]
	// arrived counts received requests.
	arrived atomic.Int64
	// running counts requests that were received and not yet answered.
	running atomic.Int64
	// closed reports whether new requests are rejected.
	closed atomic.Bool
	// end is when the entry stops, nil if no stop is planned.
	end atomic.Pointer[time.Time]
	// evacuationsKnown is set when the evacuated failure domains were set.
	evacuationsKnown atomic.Bool
	// hedgeLines limits the log lines about hedges.
	hedgeLines *rate.Limiter

	mu sync.Mutex
	// evacuated holds the evacuated failure domains.
	evacuated map[string]bool
	// services holds each service that has an upstream, or had one or a routed
	// request in the last serviceTTL, by name.
	services map[string]*service
}

// New returns a Forwarder without a configuration or upstreams.
func New(o Options) *Forwarder {
	if o.MaxResponseBody == 0 {
		o.MaxResponseBody = defaultMaxBody
	}
	if o.ProbeRate == 0 {
		o.ProbeRate = defaultProbeRate
	}
	if o.Entries == nil {
		o.Entries = func(string) EntrySet {
			return EntrySet{Total: 1, Assigned: 1, IsAssigned: true, LoadFraction: 1, ProbeFraction: [placer.Scopes]float64{1, 1}}
		}
	}
	if o.LimitFraction == nil {
		o.LimitFraction = func(placer.Spec, float64) float64 { return 1 }
	}
	if o.WarmupFraction == nil {
		o.WarmupFraction = func(placer.Spec, float64) float64 { return 1 }
	}
	if o.Quarantine == nil {
		o.Quarantine = quarantiner.NewTable()
	}
	if o.Reach == nil {
		o.Reach = reacher.New()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	f := &Forwarder{options: o, services: make(map[string]*service), hedgeLines: newHedgeLimiter()}
	f.entries = &pooler.Pool{DialTimeout: dialTimeout, BufferSize: headerBufferSize, Dial: o.Dial, Budget: o.Budget}
	f.pool = &pooler.Pool{DialTimeout: dialTimeout, BufferSize: headerBufferSize, Dial: f.dialUpstream, Budget: o.Budget}
	return f
}

// Configure replaces the configuration if the new one supersedes it, and reports whether it did. Several tasks may have read the configuration at different times.
func (f *Forwarder) Configure(t *router.Table) bool {
	for {
		old := f.table.Load()
		if !t.Supersedes(old) {
			return false
		}
		if f.table.CompareAndSwap(old, t) {
			f.configureWarmups()
			return true
		}
	}
}

// Table returns the current configuration, or nil.
func (f *Forwarder) Table() *router.Table { return f.table.Load() }

// InFlight returns the number of requests in progress.
func (f *Forwarder) InFlight() int { return int(f.running.Load()) }

// Arrived returns the number of requests received since the start.
func (f *Forwarder) Arrived() int64 { return f.arrived.Load() }

// RejectNew rejects new requests. The response states that they did not run, so
// that callers can retry at once at another entry.
func (f *Forwarder) RejectNew() { f.closed.Store(true) }

// SetEnd sets when the entry stops. Requests that are likely to last longer are rejected,
// so that they are not cut off then.
func (f *Forwarder) SetEnd(t time.Time) { f.end.Store(&t) }

// Trim closes connections to upstreams and other entries that have been idle for too long, and
// forgets services that are not used any more: others may write any name to the store, and the
// configuration changes.
func (f *Forwarder) Trim() {
	f.pool.Trim()
	f.entries.Trim()
	names := make(map[string]bool)
	if t := f.table.Load(); t != nil {
		for _, r := range t.Spec().Routes {
			names[r.Name] = true
		}
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range f.services {
		if now.Sub(s.usedAt) > serviceTTL && s.unused(now) {
			delete(f.services, name)
			f.options.Reach.Forget(name)
			continue
		}
		s.trimRoutes(names)
	}
}

// PutUpstream adds or updates an upstream. It is removed from any other service.
func (f *Forwarder) PutUpstream(u placer.Spec) {
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
	s.fleet.Put(now, u)
	s.dispatchQueued(now)
	var cold []*placer.Upstream
	if p := s.fleet.Find(u.ID); s.fleet.IsCold(now, p) {
		cold = append(cold, p)
	}
	s.mu.Unlock()
	s.updateWarmupFractions(f.options, now, cold)
}

// RemoveUpstream removes an upstream. Its requests in flight are not interrupted.
func (f *Forwarder) RemoveUpstream(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.remove(id)
	}
}

// service returns the state of the named service, which it creates if needed.
func (f *Forwarder) service(name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		s = &service{name: name, reach: f.options.Reach.Service(name), serviceTimes: make(map[string]*placer.ServiceTime)}
		s.fleet.Domain = f.options.Domain
		s.fleet.SetEvacuated(time.Now(), f.evacuated)
		s.configureWarmup(f.table.Load())
		s.updateLimits(f.options, time.Now())
		f.services[name] = s
	}
	s.usedAt = time.Now()
	return s
}

// UpdateLimits updates the limits that depend on the set of entries. It is to be
// called whenever the set or the load of entries may have changed, at least a few
// times per window of the retry budget.
func (f *Forwarder) UpdateLimits() {
	f.mu.Lock()
	services := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	for _, s := range services {
		s.updateLimits(f.options, time.Now())
		s.updateLimitFractions(f.options, time.Now())
		s.updateColdFractions(f.options, time.Now())
	}
}

// Concurrent implements pipeliner.Handler: idempotent requests run concurrently.
func (f *Forwarder) Concurrent(c *pipeliner.Call) bool {
	t := f.table.Load()
	if t == nil {
		return false
	}
	route := t.Find(string(c.Request.Host()), string(c.Request.Header.RequestURI()))
	return route != nil && route.Idempotent
}

// Handle implements pipeliner.Handler: it serves one request of a caller.
func (f *Forwarder) Handle(ctx context.Context, c *pipeliner.Call) {
	if f.answerQuery(c) {
		return
	}
	f.arrived.Add(1)
	f.running.Add(1)
	defer f.running.Add(-1)
	x, err := f.admit(ctx, c)
	res := result{err: err}
	if err == nil {
		res = x.run()
		x.returnUnusedQuota()
	}
	x.respond(res)
	if f.options.OnComplete != nil {
		f.options.OnComplete(x.record(res))
	}
}

// admit validates a request and determines its route, deadline and service.
func (f *Forwarder) admit(ctx context.Context, c *pipeliner.Call) (*exchange, error) {
	x := &exchange{forwarder: f, call: c, caller: ctx, id: string(f.options.Dialect.ID(&c.Request.Header)), dequeued: make(chan struct{}, 1)}
	t, err := x.checkEntry()
	if err != nil {
		return x, err
	}
	host, uri := string(c.Request.Host()), string(c.Request.Header.RequestURI())
	err = x.identify(t, host, uri)
	// No newer configuration knows a customer for a request without a key, and a flood of such
	// requests must not wait for the store.
	if err != nil && !errors.Is(err, errNoKey) && f.options.Refresh != nil {
		refreshCtx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
		f.options.Refresh(refreshCtx)
		cancel()
		t = f.table.Load()
		err = x.identify(t, host, uri)
	}
	if err != nil {
		return x, err
	}
	if limit := t.Limits().Body; limit > 0 && c.Body.Len() > limit {
		return x, errBodyTooLarge
	}
	x.setDeadlines()
	x.parseRelayed()
	x.flow = x.queueFlow()
	name := x.route.NextService()
	x.service = f.service(name)
	if svc := t.Service(name); svc != nil {
		x.healthURI, x.maxConns = svc.HealthPath, svc.MaxConns
	}
	if x.quarantined() {
		return x, errQuarantined
	}
	x.serviceTime = x.service.admit(x.route.Name, !x.relayed)
	return x, x.checkEnd()
}

// checkEntry returns the configuration, or an error if the entry serves no requests now.
func (x *exchange) checkEntry() (*router.Table, error) {
	f := x.forwarder
	if f.closed.Load() {
		return nil, errDraining
	}
	if !f.EvacuationsKnown() {
		x.retryAfter = noSlotsWait
		return nil, errNoEvacuations
	}
	t := f.table.Load()
	if t == nil {
		return nil, errNoConfig
	}
	return t, nil
}

// checkEnd returns an error if the request is likely to last longer than the entry.
func (x *exchange) checkEnd() error {
	if end := x.forwarder.end.Load(); end != nil && x.outlasts(*end) {
		return errDraining
	}
	return nil
}

// refreshTimeout bounds the wait for a newer configuration.
const refreshTimeout = 400 * time.Millisecond
