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
	tick         = 100 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	probeBody    = 256
)

// Options set a Prober. All fields must be set.
type Options struct {
	Name string
	// Subset returns the entries that carry a service.
	Subset func(*parser.Service) []announcer.Member
	// Rank returns this entry's place for a service among all that the
	// platform lists, negative if it is not listed, and how many there are.
	Rank     func(*parser.Service) (rank, listed int)
	Services func() []*relayer.Service
	Pool     *pooler.Pool
}

// Prober probes the servers that this entry has the duty for.
type Prober struct {
	options Options

	mu sync.Mutex
	// budgets is keyed by settings path.
	budgets map[string]*Budget
	// busy holds servers with a probe under way, by address.
	busy map[string]bool
}

// New returns a prober.
func New(o Options) *Prober {
	return &Prober{options: o, budgets: make(map[string]*Budget), busy: make(map[string]bool)}
}

// Spent returns the cost of the probes of each service, by settings path.
func (p *Prober) Spent(path string) Spent {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.budgets[path]; b != nil {
		return b.Spent()
	}
	return Spent{}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, s := range p.options.Services() {
			p.visit(ctx, s)
		}
		sleeper.Sleep(ctx, tick)
	}
	return nil
}

// target is a server that is due.
type target struct {
	name, addr string
}

// visit probes the due servers of one service that this entry owns.
func (p *Prober) visit(ctx context.Context, s *relayer.Service) {
	settings := s.Settings()
	if settings.ProbePath() == "" || settings.Off() {
		return
	}
	subset := p.options.Subset(settings)
	if !member(subset, p.options.Name) {
		return
	}
	var due []target
	s.Update(func(now time.Time, d *dispatcher.Dispatcher) {
		for _, v := range d.Servers() {
			if Due(now, v, settings.ProbeStale()) && resolver.Owner(v.Name(), subset) == p.options.Name {
				due = append(due, target{v.Name(), v.Addr()})
			}
		}
	})
	for _, t := range due {
		if p.start(settings, t) {
			go p.probe(ctx, s, settings, t)
		}
	}
}

// Due reports whether answers tell too little of the server: it was not heard
// of for a while, or it gets no calls for its failures or a mark of leaving.
func Due(now time.Time, s *dispatcher.Server, stale time.Duration) bool {
	return now.Sub(s.Heard()) > stale
}

func member(members []announcer.Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return true
		}
	}
	return false
}

// start pays for a probe, unless one is under way.
func (p *Prober) start(s *parser.Service, t target) bool {
	now := time.Now()
	rank, listed := p.options.Rank(s)
	part := Part(rank, s.Subset(), listed)
	probes, bytes := part*s.ProbeRate(), int(part*float64(s.ProbeBytes()))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[t.addr] {
		return false
	}
	b := p.budgets[s.Path()]
	if b == nil {
		b = NewBudget(probes, bytes)
		p.budgets[s.Path()] = b
	}
	b.Resize(now, probes, bytes)
	if !b.Pay(now) {
		return false
	}
	p.busy[t.addr] = true
	return true
}

func (p *Prober) probe(ctx context.Context, s *relayer.Service, settings *parser.Service, t target) {
	f := p.ask(ctx, settings, t)
	p.mu.Lock()
	delete(p.busy, t.addr)
	p.mu.Unlock()
	s.Update(func(now time.Time, d *dispatcher.Dispatcher) { d.Probed(now, t.name, f) })
}

func (p *Prober) ask(ctx context.Context, s *parser.Service, t target) dispatcher.Finding {
	bad := dispatcher.Finding{Load: -1}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.options.Pool.Get(ctx, t.addr, s.Conns(), false)
	if err != nil {
		return bad
	}
	c.Deadline(time.Now().Add(probeTimeout))
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(s.ProbePath())
	req.Header.SetHost(t.addr)
	if err := c.Send(req); err != nil {
		p.options.Pool.Drop(c)
		return bad
	}
	if err := c.Receive(resp, false, probeBody); err != nil {
		p.options.Pool.Drop(c)
		return bad
	}
	if resp.ConnectionClose() {
		p.options.Pool.Drop(c)
	} else {
		p.options.Pool.Put(c)
	}
	f := dispatcher.Finding{OK: resp.StatusCode() < fasthttp.StatusInternalServerError, Load: relayer.ParseLoad(resp.Header.Peek(relayer.HeaderLoad))}
	f.Leaving = len(resp.Header.Peek(relayer.HeaderLeaving)) > 0
	return f
}
