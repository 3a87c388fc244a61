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
	"poplarwind/keeper"
	"poplarwind/parser"
	"poplarwind/prober"
	"poplarwind/relayer"
	"poplarwind/reporter"
	"poplarwind/resolver"
	"poplarwind/watcher"
)

// Runner is one daemon.
type Runner struct {
	process   *parser.Process
	log       *slog.Logger
	store     *keeper.Client
	book      *watcher.Book
	follower  *watcher.Follower
	table     *announcer.Table
	announcer *announcer.Announcer
	resolver  *resolver.Resolver
	relayer   *relayer.Relayer
	prober    *prober.Prober
	claimer   *claimer.Claimer
	roster    *Roster
	reporter  *reporter.Reporter
	doors     []door
	// closing makes answers ask callers to open their next connection
	// elsewhere.
	closing atomic.Bool
	// lastCall is when a call last came in, in Unix nanoseconds.
	lastCall atomic.Int64
}

// New puts a daemon together and opens its listeners. A port of 0 is chosen
// by the kernel and announced as it is.
func New(p *parser.Process, log *slog.Logger) (*Runner, error) {
	start := time.Now()
	r := &Runner{process: p, log: log, book: &watcher.Book{}}
	if err := r.open(); err != nil {
		return nil, err
	}
	r.store = keeper.NewClient(p.Platform(), 0)
	r.follower = watcher.NewFollower(r.book, r.store, p.Resync(), log)
	r.table = announcer.NewTable(start, announcer.Member{
		Name: p.Name(), Domain: p.Domain(), Region: p.Region(), Callers: r.doors[callers].addr(),
		Peers: r.doors[peers].addr(), Ops: r.doors[ops].addr(), Epoch: start.UnixNano(),
	}, p.Silence())
	r.claimer = claimer.New(r.store, p.Name())
	metrics, err := reporter.NewMetrics()
	if err != nil {
		return nil, err
	}
	r.relayer = relayer.New(relayer.Options{
		Calls: p.Calls(), Body: p.Body(), Header: p.Header(), Claims: r.claimer, Observe: metrics.Observe,
	})
	r.resolver = resolver.New(resolver.Options{
		Service: func(path string) *parser.Service { return r.book.View().Service(path) },
		Live:    func() []announcer.Member { return r.table.Live(time.Now()) },
		Region:  p.Region(), TTL: p.TTL(),
	})
	r.roster = &Roster{name: p.Name(), lister: r.store, table: r.table, relayer: r.relayer, subset: r.subset, log: log}
	r.announcer = announcer.New(r.table, announcer.Options{
		Secret: p.Secret(), Seeds: p.Seeds(), Beat: p.Beat(), Control: p.Control(), Book: r.book,
		Instances: r.roster.Instances, Learn: r.roster.Learn, Log: log,
	})
	r.prober = prober.New(prober.Options{
		Name: p.Name(), Subset: r.subset, Rank: r.roster.Rank, Services: r.relayer.Services, Pool: r.relayer.Pool(),
	})
	r.reporter = reporter.New(reporter.Sources{
		Process: p, Start: start, Ready: r.ready, Store: r.store, Follower: r.follower, Book: r.book,
		Table: r.table, Announcer: r.announcer, Relayer: r.relayer, Prober: r.prober,
		Claimer: r.claimer, Subset: r.subset,
	}, metrics)
	return r, errors.Trace(metrics.Follow(r.reporter))
}

func (r *Runner) subset(s *parser.Service) []announcer.Member {
	first, _ := r.resolver.Subset(s)
	return first
}

// ready reports whether the entry knows settings and servers.
func (r *Runner) ready() bool {
	return len(r.relayer.Services()) > 0 && r.roster.Instances() != nil
}

// Run serves until ctx ends, then stops in order and returns.
func (r *Runner) Run(ctx context.Context) error {
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, live := errgroup.WithContext(live)
	servers := r.serve(g)
	duties := []func(context.Context) error{
		r.follower.Watch, r.follower.Resync, r.configure, r.roster.Follow, r.roster.Spread,
		r.announcer.Run, r.prober.Run, r.describe, r.claimer.Run, r.claimer.Run, r.trim,
	}
	for _, f := range duties {
		g.Go(func() error { return f(live) })
	}
	self, _ := r.table.Self()
	r.log.Info("entry started", "callers", self.Callers, "peers", self.Peers, "ops", self.Ops)
	select {
	case <-ctx.Done():
		r.leave(live)
	case <-live.Done():
	}
	for _, s := range servers {
		_ = s.Shutdown()
	}
	r.flush()
	stop()
	err := g.Wait()
	r.log.Info("entry stopped")
	return errors.Trace(err)
}

// configure puts each new view of the settings in force.
func (r *Runner) configure(ctx context.Context) error {
	for {
		changed := r.book.Changed()
		r.relayer.Configure(r.book.View())
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

const describeEvery = 500 * time.Millisecond

// describe keeps up what this entry tells its peers of itself.
func (r *Runner) describe(ctx context.Context) error {
	last := make(map[string]int64)
	at := time.Now()
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, describeEvery)
		span := time.Since(at).Seconds()
		at = time.Now()
		var rates []announcer.Rate
		var marks []announcer.Mark
		for _, s := range r.relayer.Services() {
			var calls int64
			s.Update(func(_ time.Time, d *dispatcher.Dispatcher) {
				calls = d.Counts().Calls
				for _, v := range d.Servers() {
					if v.Marked() {
						marks = append(marks, announcer.Mark{Path: s.Path(), Server: v.Name()})
					}
				}
			})
			if n := calls - last[s.Path()]; n > 0 {
				rates = append(rates, announcer.Rate{Path: s.Path(), Calls: float64(n) / span})
			}
			last[s.Path()] = calls
		}
		r.table.Describe(r.book.View().Digest(), rates, marks)
	}
	return nil
}

const trimEvery = 5 * time.Second

func (r *Runner) trim(ctx context.Context) error {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, trimEvery)
		r.relayer.Pool().Trim()
	}
	return nil
}

const (
	leaveStep = 50 * time.Millisecond
	// quietFor is how long no call may come before connections are closed.
	quietFor  = 500 * time.Millisecond
	flushWait = 5 * time.Second
)

// leave takes the entry out of service: out of the answers to callers first,
// then, once callers' answers have run out, it asks callers to move, and
// waits until no call is in flight and none comes.
func (r *Runner) leave(ctx context.Context) {
	r.log.Info("entry leaving")
	end := time.Now().Add(r.process.Drain())
	r.announcer.Farewell(ctx)
	stale := time.Now().Add(r.process.TTL())
	for time.Now().Before(end) {
		if time.Now().After(stale) {
			r.closing.Store(true)
			last := time.Unix(0, r.lastCall.Load())
			if r.relayer.Held() == 0 && time.Since(last) > quietFor {
				return
			}
		}
		sleeper.Sleep(ctx, leaveStep)
	}
	r.log.Warn("entry leaves with calls in flight", "calls", r.relayer.Held())
}

// flush waits until the outcomes of claimed calls are written.
func (r *Runner) flush() {
	end := time.Now().Add(flushWait)
	for r.claimer.Pending() > 0 && time.Now().Before(end) {
		time.Sleep(leaveStep)
	}
}
