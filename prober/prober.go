package prober

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/announcer"
	"poplarwind/dispatcher"
	"poplarwind/internal/sleeper"
	"poplarwind/parser"
	"poplarwind/pooler"
	"poplarwind/relayer"
	"poplarwind/resolver"
)

const (
	scanInterval = 100 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	maxBodyBytes = 256
)

// Options configures a Prober. All fields are required.
type Options struct {
	Name string
	// Subset returns the entries that serve a service.
	Subset func(*parser.Service) []announcer.Member
	// Rank returns this entry's rank for a service among all entries that the
	// platform lists, negative if it is not listed, and the number of entries
	// listed.
	Rank     func(*parser.Service) (rank, listed int)
	Services func() []*relayer.Service
	Pool     *pooler.Pool
}

// Prober probes the servers that are assigned to this entry.
type Prober struct {
	options Options

	mu sync.Mutex
	// budgets is keyed by settings path.
	budgets map[string]*Budget
	// inFlight is the set of addresses of servers with a probe in flight.
	inFlight map[string]bool
}

// New returns a prober.
func New(o Options) *Prober {
	return &Prober{options: o, budgets: make(map[string]*Budget), inFlight: make(map[string]bool)}
}

// Usage returns the cost of the probes of the service with this settings path.
func (p *Prober) Usage(path string) Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.budgets[path]; b != nil {
		return b.Usage()
	}
	return Usage{}
}

// Run probes servers until ctx is done.
func (p *Prober) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, s := range p.options.Services() {
			p.probeService(ctx, s)
		}
		sleeper.Sleep(ctx, scanInterval)
	}
	return nil
}

// target is a server that is due for a probe.
type target struct {
	name, addr string
}

// probeService probes the servers of one service that are due and assigned to
// this entry.
func (p *Prober) probeService(ctx context.Context, s *relayer.Service) {
	settings := s.Settings()
	if settings.ProbePath() == "" || settings.Disabled() {
		return
	}
	subset := p.options.Subset(settings)
	if !contains(subset, p.options.Name) {
		return
	}
	var due []target
	s.Update(func(now time.Time, d *dispatcher.Dispatcher) {
		for _, v := range d.Servers() {
			if Due(now, v, settings.ProbeMaxAge()) && resolver.Owner(v.Name(), subset) == p.options.Name {
				due = append(due, target{v.Name(), v.Addr()})
			}
		}
	})
	for _, t := range due {
		if p.reserve(settings, t) {
			go p.probe(ctx, s, settings, t)
		}
	}
}

// Due reports whether the last response of the server is older than maxAge. That
// includes servers that receive no calls because they were ejected after failures
// or are marked as draining.
func Due(now time.Time, s *dispatcher.Server, maxAge time.Duration) bool {
	return now.Sub(s.LastResponse()) > maxAge
}

func contains(members []announcer.Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return true
		}
	}
	return false
}

// reserve charges a probe of t to the budget and marks it as in flight. It
// reports false if one is in flight already or the budget is exhausted.
func (p *Prober) reserve(s *parser.Service, t target) bool {
	now := time.Now()
	rank, listed := p.options.Rank(s)
	fraction := BudgetFraction(rank, s.MinEntries(), listed)
	probes, bytes := fraction*s.ProbeRate(), int(fraction*float64(s.ProbeBytes()))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[t.addr] {
		return false
	}
	b := p.budgets[s.Path()]
	if b == nil {
		b = NewBudget(probes, bytes)
		p.budgets[s.Path()] = b
	}
	b.Resize(now, probes, bytes)
	if !b.Allow(now) {
		return false
	}
	p.inFlight[t.addr] = true
	return true
}

// probe sends one probe and records its result.
func (p *Prober) probe(ctx context.Context, s *relayer.Service, settings *parser.Service, t target) {
	r := p.send(ctx, settings, t)
	p.mu.Lock()
	delete(p.inFlight, t.addr)
	p.mu.Unlock()
	s.Update(func(now time.Time, d *dispatcher.Dispatcher) { d.RecordProbe(now, t.name, r) })
}

// send sends one probe and returns its result, which is not OK if the exchange
// failed or the status is 500 or above.
func (p *Prober) send(ctx context.Context, s *parser.Service, t target) dispatcher.ProbeResult {
	failed := dispatcher.ProbeResult{Load: -1}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.options.Pool.Get(ctx, t.addr, s.MaxConns(), false)
	if err != nil {
		return failed
	}
	c.SetDeadline(time.Now().Add(probeTimeout))
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(s.ProbePath())
	req.Header.SetHost(t.addr)
	if err := c.Send(req); err != nil {
		p.options.Pool.Discard(c)
		return failed
	}
	if err := c.Receive(resp, false, maxBodyBytes); err != nil {
		p.options.Pool.Discard(c)
		return failed
	}
	if resp.ConnectionClose() {
		p.options.Pool.Discard(c)
	} else {
		p.options.Pool.Put(c)
	}
	r := dispatcher.ProbeResult{OK: resp.StatusCode() < fasthttp.StatusInternalServerError, Load: relayer.ParseLoad(resp.Header.Peek(relayer.HeaderLoad))}
	r.Draining = len(resp.Header.Peek(relayer.HeaderDraining)) > 0
	return r
}
