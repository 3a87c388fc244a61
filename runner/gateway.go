package runner

import (
	"context"
	"log/slog"
	"net"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"poplarwind/announcer"
	"poplarwind/apportioner"
	"poplarwind/bufferer"
	"poplarwind/forwarder"
	"poplarwind/internal/acceptor"
	"poplarwind/internal/guarder"
	"poplarwind/internal/sleeper"
	"poplarwind/internal/versioner"
	"poplarwind/parser"
	"poplarwind/pipeliner"
	"poplarwind/placer"
	"poplarwind/platform"
	"poplarwind/quarantiner"
	"poplarwind/reacher"
	"poplarwind/reporter"
	"poplarwind/router"
	"poplarwind/storer"
	"poplarwind/tracker"
	"poplarwind/watcher"
)

// Gateway is one daemon on the users' platform.
type Gateway struct {
	process *parser.Process
	// start is when the daemon was started.
	start time.Time
	log   *slog.Logger
	store *platform.Store
	// budget bounds the memory of all messages.
	budget      *bufferer.Budget
	state       *tracker.State
	tracker     *tracker.Tracker
	table       *announcer.Table
	announcer   *announcer.Announcer
	forwarder   *forwarder.Forwarder
	quarantiner *quarantiner.Quarantiner
	quotas      *quotaExchange
	refresher   refresher
	// applying is held while a configuration is put in force, so that its routes and quotas are of
	// the same one.
	applying sync.Mutex
	// unread is the highest version of a configuration that lacks fields and could not be read from
	// the store.
	unread     atomic.Int64
	reach      *reacher.Reach
	monitor    *reacher.Monitor
	requestLog *reporter.RequestLogger
	reporter   *reporter.Gateway
	// callers serves the connections that callersListener accepts.
	callers         *pipeliner.Server
	callersListener net.Listener
	// listeners holds the other listeners.
	listeners []gatewayListener
	// membershipCache is the last membership snapshot, nil before the first.
	membershipCache atomic.Pointer[membership]
	// draining is set when a planned stop begins.
	draining atomic.Bool
	// expiry decides which upstreams stay in use although the store no longer
	// lists them, and active holds the upstreams in use. Both are accessed only by
	// applyStoreChanges.
	expiry tracker.ExpiryFilter
	active map[string]placer.Spec
}

// gatewayListener is a listener of a gateway with its handler.
type gatewayListener struct {
	listener
	// name is what the listener is for, in metrics.
	name string
	// address is the configured listen address.
	address     string
	handle      fasthttp.RequestHandler
	idleTimeout time.Duration
	// limiter bounds the open connections.
	limiter *acceptor.Limiter
}

const (
	// gatewayIdleTimeout is the idle timeout of a connection where the
	// configuration sets none.
	gatewayIdleTimeout = time.Minute
)

// remoteTimeoutFactor is the heartbeat timeout of entries in other failure
// domains as a multiple of the local one: their updates are relayed by two
// entries that send infrequently.
const remoteTimeoutFactor = 3

// NewGateway assembles a daemon for the users' platform and opens its listeners.
// Dropped returns the number of dropped log lines.
func NewGateway(p *parser.Process, log *slog.Logger, dropped func() int64) (*Gateway, error) {
	start := time.Now()
	o := p.Gateway()
	descriptors, err := descriptorLimit()
	if err != nil {
		return nil, err
	}
	limits, err := newConnLimits(descriptors, p.MaxConns())
	if err != nil {
		return nil, err
	}
	budget := bufferer.New(budgetBytes(o.MemoryLimitMiB()))
	unread := platform.NewUnreadHeaders(log)
	g := &Gateway{process: p, start: start, log: log, state: &tracker.State{}, reach: reacher.New(), store: platform.NewStore(p.Platform(), log, unread, budget), budget: budget}
	g.expiry.Drain = o.UpstreamDrainTimeout()
	if d := tracker.DetectionTime(); d >= g.expiry.Drain {
		log.Warn("upstreams that leave may get requests for longer than allowed", "drain_ms", g.expiry.Drain.Milliseconds(), "detection_ms", d.Milliseconds())
	}
	g.table = announcer.NewTable(start, announcer.Member{
		Name: p.Name(), Domain: p.Domain(), Region: p.Region(), Callers: p.Callers(), Peers: p.Peers(), Ops: p.Ops(), Epoch: start.UnixNano(),
		Build: versioner.Build(), Level: announcer.Level, Capacity: capacity(o.Cores(), o.LinkMbps()),
	}, p.HeartbeatTimeout())
	g.table.SetRemoteTimeout(remoteTimeoutFactor * p.HeartbeatTimeout())
	g.announcer = announcer.New(g.table, announcer.Options{
		Secret: p.Secret(), Seeds: p.Seeds(), HeartbeatInterval: p.HeartbeatInterval(), BytesPerSecond: p.PeerBytesPerSecond(), Cache: &watcher.Cache{},
		Instances: func() []storer.Instance { return []storer.Instance{} }, ApplyInstances: func([]storer.Instance) {},
		DomainLocal: true,
		Handler:     g.servePeer,
		Budget:      budget,
		Log:         log,
	})
	g.tracker = tracker.New(g.state, g.store, g.announcer, p.Name(), func() []announcer.Member { return g.table.Live(time.Now()) }, log)
	if o.Bootstrap() {
		g.tracker.SetInitialStart()
	}
	if limit := o.EvacuationTime(); limit > 0 {
		g.tracker.Replicate(tracker.Evacuations, limit)
		if d := tracker.DetectionTime(); d >= limit {
			log.Warn("evacuations may be in force later than allowed", "evacuate_ms", limit.Milliseconds(), "detection_ms", d.Milliseconds())
		}
	}
	g.tracker.SetContacts(g.contacts, slices.Contains(p.Seeds(), p.Peers()))
	quarantine := quarantiner.NewTable()
	g.quarantiner = quarantiner.New(quarantiner.Options{
		Table: quarantine, Peers: g.announcer, Store: g.store, Self: p.Name(), Domain: p.Domain(),
		Live: func() []announcer.Member { return g.table.Live(time.Now()) }, Contacts: g.contacts, Era: g.storeEra, Initial: o.Bootstrap(), Log: log,
	})
	g.quotas = newQuotaExchange(apportioner.New(start, p.Name(), start.UnixNano(), quotaSlackFraction*o.QuotaTolerance()))
	g.requestLog = reporter.NewRequestLogger(log)
	ratio, extra, window := o.RetryBudget()
	g.forwarder = forwarder.New(forwarder.Options{
		Dialect: platform.Dialect{Unread: unread}, Domain: p.Domain(), ProbeRate: probeBudgetFraction * o.ProbeRate(), MaxResponseBody: p.MaxBodyBytes(), Budget: budget, Log: log,
		RetryBudget: forwarder.RetryBudget{Ratio: ratio, Allowance: extra, Window: window},
		Hedge:       o.HedgeRatio(),
		Secret:      p.Secret(),
		Quota:       g.quotas.table, Quarantine: quarantine, Reach: g.reach, Relays: g.relays, Entries: g.entries, Refresh: g.refreshConfig, OnComplete: g.record,
		LimitFraction: func(u placer.Spec, rate float64) float64 { return g.membership().limitFraction(p.Name(), u, rate) },
		WarmupFraction: func(u placer.Spec, rate float64) float64 {
			return g.membership().warmupFraction(p.Name(), u, rate, time.Since(g.start))
		},
		AwaitEvacuations: o.EvacuationTime() > 0,
	})
	g.monitor = reacher.NewMonitor(reacher.Options{
		Reach: g.reach, Peers: g.announcer, Self: p.Name(), Live: func() []announcer.Member { return g.table.Live(time.Now()) },
		Upstreams: g.forwarder.Upstreams, Dial: g.forwarder.TryUpstream, Log: log,
	})
	g.callers = pipeliner.New(pipeliner.Options{
		Handler: g.forwarder, MaxHeader: p.MaxHeaderBytes(), MaxBody: p.MaxBodyBytes(), Budget: budget, MaxConns: limits.callers,
		IdleTimeout: g.callerIdleTimeout, Limits: g.callerLimits, Log: log,
	})
	g.reporter, err = reporter.NewGateway(reporter.GatewaySources{
		Name: p.Name(), Start: start, Ready: g.ready, State: g.state, Table: g.table,
		Announcer: g.announcer, Forwarder: g.forwarder, Quarantine: quarantine, Quotas: g.quotas.table, Reach: g.reach, StoreCalls: g.store.Calls, Memory: budget.Usage, Connections: g.callers.Connections, Listeners: g.listenerUsage, UnreadHeaders: unread.Counts, StoreEra: g.storeEra, DroppedLogLines: dropped,
	})
	if err != nil {
		return nil, err
	}
	return g, g.open(limits)
}

// storeEra returns the era of the store as of the last read.
func (g *Gateway) storeEra() uint64 { return g.state.Position(time.Now(), tracker.Configs).Era }

// contacts returns the other entries that are known, live or not, and the seeds.
func (g *Gateway) contacts() []announcer.Member {
	out := g.table.Peers(time.Now())
	for _, address := range g.process.Seeds() {
		if address != g.process.Peers() {
			out = append(out, announcer.Member{Peers: address})
		}
	}
	return out
}

// probeBudgetFraction is the fraction of the load probe budget that is used.
const probeBudgetFraction = 0.9

// open opens the listeners of the gateway.
func (g *Gateway) open(limits connLimits) error {
	p := g.process
	o := p.Gateway()
	small := listener{body: opsMaxBody, header: internalMaxHeader, conns: limits.others}
	g.listeners = []gatewayListener{
		{name: "peers", address: p.Peers(), handle: g.announcer.Handle, idleTimeout: gatewayIdleTimeout, listener: listener{body: peersMaxBody, header: internalMaxHeader, conns: limits.others, stream: true}},
		{name: "ops", address: p.Ops(), handle: g.reporter.Handle, idleTimeout: idleTimeout, listener: small},
		{name: "directory", address: o.ResolveAddr(), handle: platform.ResolveHandler(g.resolve), idleTimeout: idleTimeout, listener: small},
		{name: "ready", address: o.ReadyAddr(), handle: platform.ReadyHandler(g.ready), idleTimeout: idleTimeout, listener: small},
	}
	var err error
	if g.callersListener, err = listenTCP(p.Callers()); err != nil {
		return err
	}
	for i := range g.listeners {
		l := &g.listeners[i]
		if l.Listener, err = listenTCP(l.address); err != nil {
			return err
		}
		l.limiter = &acceptor.Limiter{Max: l.conns, Log: g.log}
	}
	return nil
}

// listenerUsage returns the use of the listeners other than that of callers, by name.
func (g *Gateway) listenerUsage() map[string]acceptor.Usage {
	out := make(map[string]acceptor.Usage, len(g.listeners))
	for i := range g.listeners {
		out[g.listeners[i].name] = g.listeners[i].limiter.Usage()
	}
	return out
}

func listenTCP(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Annotatef(err, "listening at %s", address)
}

// callerLimits returns the limits for callers that the configuration in force sets.
func (g *Gateway) callerLimits() router.Limits {
	if t := g.forwarder.Table(); t != nil {
		return t.Limits()
	}
	return router.Limits{}
}

// callerIdleTimeout returns the idle timeout of callers' connections, which the
// configuration in force may set.
func (g *Gateway) callerIdleTimeout() time.Duration {
	if t := g.callerLimits().IdleTimeout; t > 0 {
		return t
	}
	return gatewayIdleTimeout
}

// ready reports whether this entry can serve requests: it is not draining, has a
// configuration, and has read the upstream list and the evacuations.
func (g *Gateway) ready() bool {
	return !g.draining.Load() && g.forwarder.EvacuationsKnown() && g.forwarder.Table() != nil && g.state.Position(time.Now(), tracker.Upstreams).AsOf > 0
}

// serving reports whether callers are to use this entry: it is ready, and reaches upstreams
// itself.
func (g *Gateway) serving() bool { return g.ready() && !g.reach.Cut() }

// accept returns a listener that outlives a want of descriptors: idle connections of callers
// are then closed.
func (g *Gateway) accept(l net.Listener) net.Listener {
	return &acceptor.Listener{Listener: l, Log: g.log, Release: g.callers.CloseLongestIdle}
}

// serve runs a server on a listener. An error is ignored during a planned stop,
// which closes the listener.
func (g *Gateway) serve(s *fasthttp.Server, l gatewayListener) error {
	l.limiter.Listener, s.ConnState = g.accept(l.Listener), l.limiter.ConnState
	if err := s.Serve(l.limiter); err != nil && !g.draining.Load() {
		return errors.Annotatef(err, "serving at %s", l.Addr())
	}
	return nil
}

// heapFraction is the fraction of the process's memory that is set as the Go
// memory limit, above which the garbage collector runs more often. The rest is
// for stacks, the program, and data received but not yet read.
const heapFraction = 0.75

const (
	// smallMemory is the memory limit in MiB up to which an instance counts as small, and
	// smallGCPercent the growth of the heap in percent after which the garbage collector runs
	// there. A fleet has many small entries with little load, whose peak memory is mostly
	// garbage: with 184 entries of 136 MB a calm day took 89 instead of 117 GB s, and 1.3 times
	// the processor time.
	smallMemory    = 256
	smallGCPercent = 40
)

const (
	// budgetFraction is the fraction of the process's memory that messages may use.
	budgetFraction = 0.4
	// defaultMemory is the assumed memory of a process without a memory limit, in MiB.
	defaultMemory = 512
)

// budgetBytes returns the memory for messages of a process with a memory limit in MiB, 0
// meaning that it has none.
func budgetBytes(limit int) int {
	if limit == 0 {
		limit = defaultMemory
	}
	return int(budgetFraction * float64(limit<<20))
}

// Run serves until ctx ends, then shuts down gracefully and returns. It returns an error as
// soon as a task fails.
func (g *Gateway) Run(ctx context.Context) error {
	tasks := []func(context.Context) error{
		func(ctx context.Context) error { return g.tracker.Follow(ctx, tracker.Configs) },
		func(ctx context.Context) error { return g.tracker.Follow(ctx, tracker.Upstreams) },
		g.tracker.Disseminate, g.announcer.Run, g.register, g.applyStoreChanges, g.completeConfigs, g.trim, g.reportStatus, g.reportLimits, g.reportLeaving, g.exchangeQuotas, g.quarantiner.Run, g.monitor.Run,
	}
	if g.process.Gateway().EvacuationTime() > 0 {
		tasks = append(tasks, func(ctx context.Context) error { return g.tracker.Follow(ctx, tracker.Evacuations) })
	}
	return g.run(ctx, tasks...)
}

// run implements Run for the given tasks.
func (g *Gateway) run(ctx context.Context, tasks ...func(context.Context) error) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, taskCtx := errgroup.WithContext(taskCtx)
	group.Go(func() error { return g.callers.Serve(g.accept(g.callersListener)) })
	servers := []shutdowner{g.callers}
	for _, l := range g.listeners {
		s := l.server(guarder.Handler(g.log, l.handle))
		s.IdleTimeout, s.ReduceMemoryUsage = l.idleTimeout, true
		servers = append(servers, httpServer{s})
		group.Go(func() error { return g.serve(s, l) })
	}
	for _, f := range tasks {
		group.Go(func() error { return guarder.Task(taskCtx, g.log, taskName(f), f) })
	}
	if m := g.process.Gateway().MemoryLimitMiB(); m > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(m<<20)))
		if m <= smallMemory {
			debug.SetGCPercent(smallGCPercent)
		}
	}
	g.log.Info("entry started", "build", versioner.Build(), "level", announcer.Level, "callers", g.process.Callers(), "peers", g.process.Peers(), "ops", g.process.Ops())
	select {
	case <-ctx.Done():
		g.drain(taskCtx)
	case <-taskCtx.Done():
	}
	failed := context.Cause(taskCtx)
	if failed != nil {
		g.log.Error("entry stops because a task failed", "error", failed.Error())
	}
	g.shutdownServers(servers)
	stop()
	err := g.waitTasks(group)
	g.log.Info("entry stopped")
	if failed != nil {
		return errors.Trace(failed)
	}
	return errors.Trace(err)
}

// taskName returns the name of the function that runs a task.
func taskName(f func(context.Context) error) string {
	return runtime.FuncForPC(reflect.ValueOf(f).Pointer()).Name()
}

// trim periodically closes connections to upstreams that have been idle for too
// long.
func (g *Gateway) trim(ctx context.Context) error {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, trimInterval)
		g.forwarder.Trim()
		g.budget.Trim()
	}
	return nil
}

// record passes a completed request to the request log and to the metrics.
func (g *Gateway) record(r *forwarder.Record) {
	g.requestLog.Log(r)
	g.reporter.Observe(r)
}
