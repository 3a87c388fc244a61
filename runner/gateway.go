package runner

import (
	"context"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"poplarwind/announcer"
	"poplarwind/forwarder"
	"poplarwind/internal/sleeper"
	"poplarwind/keeper"
	"poplarwind/parser"
	"poplarwind/placer"
	"poplarwind/platform"
	"poplarwind/reporter"
	"poplarwind/tracker"
	"poplarwind/watcher"
)

// Gateway is one daemon on the users' platform.
type Gateway struct {
	process   *parser.Process
	log       *slog.Logger
	store     *platform.Store
	state     *tracker.State
	tracker   *tracker.Tracker
	table     *announcer.Table
	announcer *announcer.Announcer
	forwarder *forwarder.Forwarder
	recorder  *reporter.Recorder
	reporter  *reporter.Gateway
	// doors begins with those that any daemon has, by place: callers, peers, ops.
	doors []gate
	// counted is the last census, nil before the first.
	counted atomic.Pointer[census]
	// leaving is set once a planned stop has begun.
	leaving atomic.Bool
	// lapse decides which upstreams count that the store does not name. Only
	// adopt touches it, and used, the upstreams that are in use.
	lapse tracker.Lapse
	used  map[string]placer.Spec
}

// gate is a listener of a gateway with what answers on it.
type gate struct {
	door
	// address is where it listens by the settings.
	address string
	handle  fasthttp.RequestHandler
	idle    time.Duration
}

const (
	// gatewayIdle is how long a connection may rest where the configuration
	// sets no bound.
	gatewayIdle = time.Minute
	// holdShare is the part of the upstreams' drain time for which lapsed
	// upstreams stay in use.
	holdShare = 0.75
)

// farSilence is how many times as long entries of other failure domains may not
// be heard of: their news comes by way of two entries that speak seldom.
const farSilence = 3

// NewGateway puts a daemon for the users' platform together and opens its
// listeners. Dropped returns how many log lines were dropped.
func NewGateway(p *parser.Process, log *slog.Logger, dropped func() int64) (*Gateway, error) {
	start := time.Now()
	o := p.Gateway()
	g := &Gateway{process: p, log: log, state: &tracker.State{}, store: platform.NewStore(p.Platform())}
	g.lapse.Hold = time.Duration(holdShare * float64(o.Drain()))
	g.table = announcer.NewTable(start, announcer.Member{
		Name: p.Name(), Domain: p.Domain(), Region: p.Region(), Callers: p.Callers(), Peers: p.Peers(), Ops: p.Ops(), Epoch: start.UnixNano(),
		Power: power(o.Cores(), o.Link()),
	}, p.Silence())
	g.table.Allow(farSilence * p.Silence())
	g.announcer = announcer.New(g.table, announcer.Options{
		Secret: p.Secret(), Seeds: p.Seeds(), Beat: p.Beat(), Control: p.Control(), Book: &watcher.Book{},
		Instances: func() []keeper.Instance { return []keeper.Instance{} }, Learn: func([]keeper.Instance) {},
		Local: true,
		Serve: func(ctx context.Context, path string, body []byte) (any, error) {
			return g.tracker.Serve(ctx, path, body)
		},
		Log: log,
	})
	g.tracker = tracker.New(g.state, g.store, g.announcer, p.Name(), func() []announcer.Member { return g.table.Live(time.Now()) }, log)
	if o.First() {
		g.tracker.First()
	}
	g.recorder = reporter.NewRecorder(log)
	share, extra, window := o.Retries()
	g.forwarder = forwarder.New(forwarder.Options{
		Dialect: platform.Dialect{}, Domain: p.Domain(), Probes: probeShare * o.Probes(), Body: p.Body(), Log: log,
		Retries: forwarder.Retries{Share: share, Allowance: extra, Window: window},
		Entries: g.entries, Refresh: g.refresh, Record: g.record,
	})
	var err error
	g.reporter, err = reporter.NewGateway(reporter.GatewaySources{
		Name: p.Name(), Start: start, Ready: g.ready, State: g.state, Table: g.table,
		Announcer: g.announcer, Forwarder: g.forwarder, Calls: g.store.Calls, Dropped: dropped,
	})
	if err != nil {
		return nil, err
	}
	return g, g.open()
}

// probeShare is the part of the budget for asking upstreams that is spent.
const probeShare = 0.9

// open opens the listeners.
func (g *Gateway) open() error {
	p := g.process
	o := p.Gateway()
	small := door{body: opsBody, header: smallHeaders, conns: peersAndOps}
	g.doors = []gate{
		{address: p.Callers(), handle: g.forwarder.Handle, idle: gatewayIdle, door: door{body: p.Body(), header: p.Header(), conns: p.Conns()}},
		{address: p.Peers(), handle: g.announcer.Handle, idle: gatewayIdle, door: door{body: peersBody, header: smallHeaders, conns: peersAndOps}},
		{address: p.Ops(), handle: g.reporter.Handle, idle: idleCaller, door: small},
		{address: o.Resolve(), handle: platform.Resolve(g.resolve), idle: idleCaller, door: small},
		{address: o.Ready(), handle: platform.Ready(g.ready), idle: idleCaller, door: small},
	}
	for i := range g.doors {
		l, err := net.Listen("tcp", g.doors[i].address)
		if err != nil {
			return errors.Annotatef(err, "listening at %s", g.doors[i].address)
		}
		g.doors[i].Listener = l
	}
	g.doors[callers].Listener = idleListener{Listener: g.doors[callers].Listener, bound: g.idle}
	return nil
}

// idle returns how long a caller's connection may rest by the configuration in
// force, 0 if that does not say.
func (g *Gateway) idle() time.Duration {
	if t := g.forwarder.Table(); t != nil {
		return t.Limits().Idle
	}
	return 0
}

// ready reports whether requests can be served here.
func (g *Gateway) ready() bool {
	return !g.leaving.Load() && g.forwarder.Table() != nil && g.state.Mark(time.Now(), tracker.Upstreams).AsOf > 0
}

// refresh reads the configuration if what is known of it is not of this
// moment.
func (g *Gateway) refresh(ctx context.Context) {
	if g.tracker.Refresh(ctx, tracker.Configs) {
		g.adoptConfig()
	}
}

// serve answers on a listener. That a planned stop closes it is no failure.
func (g *Gateway) serve(s *fasthttp.Server, l net.Listener) error {
	if err := s.Serve(l); err != nil && !g.leaving.Load() {
		return errors.Trace(err)
	}
	return nil
}

// memoryShare is the part of the process's memory that the heap may grow to
// before it is collected harder: beside it there are stacks, the program, and
// what is received and not yet read.
const memoryShare = 0.55

// Run serves until ctx ends, then stops in order and returns.
func (g *Gateway) Run(ctx context.Context) error {
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, live := errgroup.WithContext(live)
	servers := make([]*fasthttp.Server, 0, len(g.doors))
	for _, d := range g.doors {
		s := d.server(d.handle)
		s.IdleTimeout, s.ReduceMemoryUsage = d.idle, true
		servers = append(servers, s)
		group.Go(func() error { return g.serve(s, d.Listener) })
	}
	duties := []func(context.Context) error{
		func(ctx context.Context) error { return g.tracker.Follow(ctx, tracker.Configs) },
		func(ctx context.Context) error { return g.tracker.Follow(ctx, tracker.Upstreams) },
		g.tracker.Spread, g.announcer.Run, g.enroll, g.adopt, g.trim, g.report,
	}
	for _, f := range duties {
		group.Go(func() error { return f(live) })
	}
	if m := g.process.Gateway().Memory(); m > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(m<<20)))
	}
	g.log.Info("entry started", "callers", g.process.Callers(), "peers", g.process.Peers(), "ops", g.process.Ops())
	select {
	case <-ctx.Done():
		g.leave(live)
	case <-live.Done():
	}
	g.close(servers)
	stop()
	err := g.join(group)
	g.log.Info("entry stopped")
	return errors.Trace(err)
}

func (g *Gateway) trim(ctx context.Context) error {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, trimEvery)
		g.forwarder.Pool().Trim()
	}
	return nil
}

func (g *Gateway) record(r *forwarder.Record) {
	g.recorder.Record(r)
	g.reporter.Observe(r)
}
