package runner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"poplarwind/announcer"
	"poplarwind/claimer"
	"poplarwind/dispatcher"
	"poplarwind/internal/sleeper"
	"poplarwind/parser"
	"poplarwind/prober"
	"poplarwind/relayer"
	"poplarwind/reporter"
	"poplarwind/resolver"
	"poplarwind/storer"
	"poplarwind/watcher"
)

// Runner is a daemon with the project's own interface: it resolves services to
// entries and relays calls to servers.
type Runner struct {
	process    *parser.Process
	log        *slog.Logger
	store      *storer.Client
	cache      *watcher.Cache
	follower   *watcher.Follower
	table      *announcer.Table
	announcer  *announcer.Announcer
	resolver   *resolver.Resolver
	relayer    *relayer.Relayer
	prober     *prober.Prober
	claimer    *claimer.Claimer
	serverSync *ServerSync
	reporter   *reporter.Reporter
	listeners  []listener
	// closeConnections makes responses close the connection, so that callers
	// open the next one at another entry.
	closeConnections atomic.Bool
	// lastCall is the arrival time of the last call, in Unix nanoseconds.
	lastCall atomic.Int64
}

// New assembles a daemon and opens its listeners. For port 0, the kernel chooses
// the port, and the chosen port is announced.
func New(p *parser.Process, log *slog.Logger) (*Runner, error) {
	start := time.Now()
	r := &Runner{process: p, log: log, cache: &watcher.Cache{}}
	if err := r.open(); err != nil {
		return nil, err
	}
	r.store = storer.NewClient(p.Platform(), 0)
	r.follower = watcher.NewFollower(r.cache, r.store, p.ResyncInterval(), log)
	r.table = announcer.NewTable(start, announcer.Member{
		Name: p.Name(), Domain: p.Domain(), Region: p.Region(), Callers: r.listeners[callers].addr(),
		Peers: r.listeners[peers].addr(), Ops: r.listeners[ops].addr(), Epoch: start.UnixNano(),
	}, p.HeartbeatTimeout())
	r.claimer = claimer.New(r.store, p.Name())
	metrics, err := reporter.NewMetrics()
	if err != nil {
		return nil, err
	}
	r.relayer = relayer.New(relayer.Options{
		MaxCalls: p.MaxCalls(), MaxBodyBytes: p.MaxBodyBytes(), MaxHeaderBytes: p.MaxHeaderBytes(), Claimer: r.claimer, Observe: metrics.Observe,
	})
	r.resolver = resolver.New(resolver.Options{
		Service: func(path string) *parser.Service { return r.cache.Snapshot().Service(path) },
		Live:    func() []announcer.Member { return r.table.Live(time.Now()) },
		Region:  p.Region(), TTL: p.TTL(),
	})
	r.serverSync = &ServerSync{name: p.Name(), lister: r.store, table: r.table, relayer: r.relayer, subset: r.subset, log: log}
	r.announcer = announcer.New(r.table, announcer.Options{
		Secret: p.Secret(), Seeds: p.Seeds(), HeartbeatInterval: p.HeartbeatInterval(), BytesPerSecond: p.PeerBytesPerSecond(), Cache: r.cache,
		Instances: r.serverSync.Instances, ApplyInstances: r.serverSync.SetInstances, Log: log,
	})
	r.prober = prober.New(prober.Options{
		Name: p.Name(), Subset: r.subset, Rank: r.serverSync.Rank, Services: r.relayer.Services, Pool: r.relayer.Pool(),
	})
	r.reporter = reporter.New(reporter.Sources{
		Process: p, Start: start, Ready: r.ready, Store: r.store, Follower: r.follower, Cache: r.cache,
		Table: r.table, Announcer: r.announcer, Relayer: r.relayer, Prober: r.prober,
		Claimer: r.claimer, Subset: r.subset,
	}, metrics)
	return r, errors.Trace(metrics.RegisterCounters(r.reporter))
}

// subset returns the entries that serve a service.
func (r *Runner) subset(s *parser.Service) []announcer.Member {
	first, _ := r.resolver.Subset(s)
	return first
}

// ready reports whether the entry has settings and an instance list.
func (r *Runner) ready() bool {
	return len(r.relayer.Services()) > 0 && r.serverSync.Instances() != nil
}

// Run serves until ctx ends, then shuts down gracefully and returns.
func (r *Runner) Run(ctx context.Context) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, taskCtx := errgroup.WithContext(taskCtx)
	servers := r.serve(g)
	tasks := []func(context.Context) error{
		r.follower.Watch, r.follower.Resync, r.configure, r.serverSync.Poll, r.serverSync.Run,
		r.announcer.Run, r.prober.Run, r.describe, r.claimer.Run, r.claimer.Run, r.claimer.Restore, r.trim,
	}
	for _, f := range tasks {
		g.Go(func() error { return f(taskCtx) })
	}
	self, _ := r.table.Self()
	r.log.Info("entry started", "callers", self.Callers, "peers", self.Peers, "ops", self.Ops)
	select {
	case <-ctx.Done():
		r.drain(taskCtx)
	case <-taskCtx.Done():
	}
	for _, s := range servers {
		_ = s.Shutdown()
	}
	r.waitClaims()
	stop()
	err := g.Wait()
	r.log.Info("entry stopped")
	return errors.Trace(err)
}

// configure applies each new snapshot of the settings to the relayer.
func (r *Runner) configure(ctx context.Context) error {
	for {
		changed := r.cache.Changed()
		r.relayer.Configure(r.cache.Snapshot())
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

const describeInterval = 500 * time.Millisecond

// describe periodically updates what this entry announces to its peers: the digest
// of its settings, its call rate per service, and the servers that reported to it
// that they are draining.
func (r *Runner) describe(ctx context.Context) error {
	last := make(map[string]int64)
	lastRun := time.Now()
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, describeInterval)
		elapsed := time.Since(lastRun).Seconds()
		lastRun = time.Now()
		var rates []announcer.Rate
		var marks []announcer.DrainMark
		for _, s := range r.relayer.Services() {
			var calls int64
			s.Update(func(_ time.Time, d *dispatcher.Dispatcher) {
				calls = d.Counts().Calls
				for _, v := range d.Servers() {
					if v.SelfDraining() {
						marks = append(marks, announcer.DrainMark{Path: s.Path(), Server: v.Name()})
					}
				}
			})
			if n := calls - last[s.Path()]; n > 0 {
				rates = append(rates, announcer.Rate{Path: s.Path(), Calls: float64(n) / elapsed})
			}
			last[s.Path()] = calls
		}
		r.table.SetDescription(r.cache.Snapshot().Digest(), rates, marks)
	}
	return nil
}

const trimInterval = 5 * time.Second

// trim periodically closes connections to servers that have been idle for too
// long.
func (r *Runner) trim(ctx context.Context) error {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, trimInterval)
		r.relayer.Pool().Trim()
	}
	return nil
}

const (
	drainPollInterval = 50 * time.Millisecond
	// idlePeriod is the time without a new call after which a Runner without
	// calls in flight stops draining. A Gateway without requests in flight stops
	// draining this long before the deadline.
	idlePeriod        = 500 * time.Millisecond
	claimFlushTimeout = 5 * time.Second
)

// drain takes the entry out of service. It announces that the entry is draining,
// so that it is no longer returned to callers. Once the TTL of earlier resolver
// responses has expired, responses close their connections, and drain waits until
// no call is in flight and none has arrived for idlePeriod. Drain returns after the
// configured drain timeout at the latest.
func (r *Runner) drain(ctx context.Context) {
	r.log.Info("entry leaving")
	deadline := time.Now().Add(r.process.DrainTimeout())
	r.announcer.AnnounceDrain(ctx)
	resolveExpiry := time.Now().Add(r.process.TTL())
	for time.Now().Before(deadline) {
		if time.Now().After(resolveExpiry) {
			r.closeConnections.Store(true)
			last := time.Unix(0, r.lastCall.Load())
			if r.relayer.InFlight() == 0 && time.Since(last) > idlePeriod {
				return
			}
		}
		sleeper.Sleep(ctx, drainPollInterval)
	}
	r.log.Warn("drain timed out with calls in flight", "calls", r.relayer.InFlight())
}

// waitClaims waits until the outcomes of claimed calls are written, at most
// claimFlushTimeout.
func (r *Runner) waitClaims() {
	deadline := time.Now().Add(claimFlushTimeout)
	for r.claimer.Pending() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}
