package announcer

import (
	"context"
	"log/slog"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"poplarwind/bufferer"
	"poplarwind/internal/guarder"
	"poplarwind/internal/scanner"
	"poplarwind/internal/sleeper"
	"poplarwind/storer"
	"poplarwind/watcher"
)

const (
	// fanout is the number of peers that an entry contacts per heartbeat.
	fanout       = 2
	peerTimeout  = time.Second
	pullInterval = 500 * time.Millisecond
	// headerOverhead is the assumed size in bytes of the HTTP headers of one
	// message.
	headerOverhead = 350
	// burstSeconds is the capacity of the byte budget, in seconds of
	// Options.BytesPerSecond.
	burstSeconds = 4
	pathHello    = "/peer/hello"
	pathPull     = "/peer/pull"
)

// errPeer reports that no usable response was received from a peer, or that the
// budget denied the exchange.
const errPeer = errors.ConstError("no usable response from peer")

// Options configures an Announcer. All fields but Seeds and Handler must be set.
type Options struct {
	Secret []byte
	// Seeds holds the peer addresses to contact while the table holds no peer
	// and, if DomainLocal is set, occasionally afterwards.
	Seeds []string
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// BytesPerSecond is the bandwidth for control traffic, in bytes a second.
	BytesPerSecond int
	// DomainLocal restricts gossip mostly to the entry's own failure domain. One
	// entry of each domain represents it to the other domains, since traffic
	// between domains is expensive.
	DomainLocal bool
	Cache       *watcher.Cache
	// Instances returns the most recent copy of the platform's list, and
	// ApplyInstances applies a list received from a peer.
	Instances      func() []storer.Instance
	ApplyInstances func([]storer.Instance)
	// Handler handles messages to paths other than the announcer's own. It may
	// be nil.
	Handler func(ctx context.Context, path string, body []byte) (any, error)
	// Budget bounds the memory of messages. Nil means that it has no bound.
	Budget *bufferer.Budget
	Log    *slog.Logger
}

// Announcer exchanges membership tables and settings with peers.
type Announcer struct {
	options Options
	table   *Table
	client  fasthttp.Client
	// budget limits the bytes of the messages that this entry initiates, at half of
	// Options.BytesPerSecond.
	budget *rate.Limiter
	random *mathrand.Rand
	// sent and received count bytes, throttled the exchanges that the budget
	// denied, and rejected the messages that failed verification or parsing.
	sent, received, throttled, rejected atomic.Int64

	mu sync.Mutex
	// requested holds, for each peer, the members whose descriptions it
	// requested.
	requested map[string][]ID
	// lastPull is when settings were last requested from a peer.
	lastPull time.Time
	// heartbeats counts heartbeat rounds.
	heartbeats int
}

// New returns an announcer for the table.
func New(t *Table, o Options) *Announcer {
	if o.Budget == nil {
		o.Budget = &bufferer.Budget{}
	}
	return &Announcer{
		options: o, table: t, requested: make(map[string][]ID),
		budget: rate.NewLimiter(rate.Limit(o.BytesPerSecond/2), burstSeconds*o.BytesPerSecond),
		random: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		client: fasthttp.Client{
			DialTimeout: scanner.Dial(nil), MaxIdemponentCallAttempts: 1, StreamResponseBody: true, NoDefaultUserAgentHeader: true,
			MaxIdleConnDuration: time.Minute, ReadTimeout: peerTimeout, WriteTimeout: peerTimeout,
		},
	}
}

// Run exchanges tables with a few peers every heartbeat interval until ctx is
// done.
func (a *Announcer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a.table.Tick(time.Now())
		peers := a.table.Peers(time.Now())
		if len(peers) == 0 {
			for _, s := range a.options.Seeds {
				peers = append(peers, Member{Peers: s})
			}
		}
		for _, p := range a.selectPeers(peers) {
			go func() {
				defer guarder.Contain(a.options.Log, "heartbeat", nil)
				a.exchangeTables(ctx, p)
			}()
		}
		sleeper.Sleep(ctx, a.interval())
	}
	return nil
}

const (
	// startupHeartbeats is the number of heartbeats after the start of the
	// process whose interval is divided by startupFactor. When 100 entries
	// start at the same time, each then discovers all others within 1 s.
	startupHeartbeats = 12
	startupFactor     = 4
)

// interval returns the time until the next heartbeat.
func (a *Announcer) interval() time.Duration {
	if a.round() <= startupHeartbeats {
		return a.options.HeartbeatInterval / startupFactor
	}
	return a.options.HeartbeatInterval
}

// round returns the number of heartbeat rounds since the start.
func (a *Announcer) round() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heartbeats
}

// remoteContactRatio is the fraction of heartbeats at which an entry that does
// not represent its failure domain contacts another domain. It reconnects
// domains that no longer know each other's representatives. A seed is contacted
// at the same rate.
const remoteContactRatio = 1.0 / 64

// remoteContactHeartbeats is the number of heartbeats between two contacts of a
// domain's representative with another failure domain.
const remoteContactHeartbeats = 3

// selectPeers returns the peers to contact in one heartbeat round.
func (a *Announcer) selectPeers(peers []Member) []Member {
	a.mu.Lock()
	a.heartbeats++
	a.mu.Unlock()
	a.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if !a.options.DomainLocal {
		return peers[:min(fanout, len(peers))]
	}
	self, _ := a.table.Self()
	var local, remote []Member
	for _, p := range peers {
		if p.Domain == self.Domain {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	out := local[:min(fanout, len(local))]
	due := a.round()%remoteContactHeartbeats == 0 && a.representsDomain(self)
	if len(remote) > 0 && (due || len(local) == 0 || a.random.Float64() < remoteContactRatio) {
		out = append(out, remote[0])
	}
	if n := len(a.options.Seeds); n > 0 && a.random.Float64() < remoteContactRatio {
		out = append(out, Member{Peers: a.options.Seeds[a.random.IntN(n)]})
	}
	return out
}

// representsDomain reports whether this entry is the first live one, by name,
// of its failure domain.
func (a *Announcer) representsDomain(self Member) bool {
	for _, m := range a.table.Live(time.Now()) {
		if m.Domain == self.Domain {
			return m.Name == self.Name
		}
	}
	return true
}

// AnnounceDrain marks this entry as draining and notifies all peers concurrently.
func (a *Announcer) AnnounceDrain(ctx context.Context) {
	a.table.SetDraining()
	var wg sync.WaitGroup
	for _, p := range a.table.Peers(time.Now()) {
		wg.Go(func() { a.exchangeTables(ctx, p) })
	}
	wg.Wait()
}
