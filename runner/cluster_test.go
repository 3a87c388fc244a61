package runner

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/announcer"
	"poplarwind/forwarder"
	"poplarwind/pipeliner"
	"poplarwind/placer"
	"poplarwind/quarantiner"
	"poplarwind/reacher"
	"poplarwind/router"
)

// clusterDialect is the Dialect of the tests with a cluster.
type clusterDialect struct{}

func (clusterDialect) ID(h *fasthttp.RequestHeader) []byte { return h.Peek("Id") }

func (clusterDialect) CallerTimeout(*fasthttp.RequestHeader) (time.Duration, bool) {
	return time.Second, true
}

func (clusterDialect) Key(*fasthttp.RequestHeader) ([]byte, int) { return nil, 0 }

func (clusterDialect) SetCustomer(*fasthttp.RequestHeader, string) {}

func (clusterDialect) SetKey(*fasthttp.RequestHeader, []byte) {}

func (clusterDialect) SetTarget(*fasthttp.RequestHeader, string, time.Duration) {}

func (clusterDialect) SetTimeout(*fasthttp.RequestHeader, time.Duration) {}

func (clusterDialect) ParseResponse(h *fasthttp.ResponseHeader, now time.Time) forwarder.ResponseInfo {
	info := forwarder.ResponseInfo{ID: h.Peek("Id"), Stamped: len(h.Peek("Id")) > 0, HasLoad: true, Load: placer.Report{Slots: 8, Slowness: 1, At: now}}
	info.Leaving = len(h.Peek("Leaving")) > 0
	info.NotRun = len(h.Peek("Not-Run")) > 0
	if v := h.Peek("Warmup"); len(v) > 0 {
		info.Warmup, info.WarmupError = time.ParseDuration(string(v))
	}
	if v := h.Peek("Pause"); len(v) > 0 {
		info.Pause, info.PauseError = time.ParseDuration(string(v))
	}
	if v := h.Peek("Limit"); len(v) > 0 {
		rate, err := strconv.ParseFloat(string(v), 64)
		info.RateLimit, info.Limited = rate, err == nil
	}
	return info
}

// clusterArrival is a request that arrived at an upstream.
type clusterArrival struct {
	at    time.Time
	entry string
}

// clusterUpstream is an upstream of the cluster.
type clusterUpstream struct {
	rate     float64
	limited  bool
	arrivals []clusterArrival
	// told holds when each entry first received a response with the limit.
	told   map[string]time.Time
	pauses clusterPauses
	// leaving is set while it says that it leaves, and toldLeaving holds when each entry
	// first received a response that says so.
	leaving     bool
	toldLeaving map[string]time.Time
	// warmups holds the times in which the upstream is cold, in order.
	warmups []clusterWarmup
	// down is set while the upstream does not run. Boot counts its starts.
	down  bool
	boot  int64
	conns []net.Conn
}

// cluster is a set of entries in virtual time: forwarders in front of the same
// upstreams, whose membership tables exchange heartbeats and which report rate limits
// to each other. Entries can be killed, added, frozen and cut off, and upstreams crash
// when they run certain requests.
type cluster struct {
	t        *testing.T
	random   *rand.Rand
	table    *router.Table
	mu       sync.Mutex
	nodes    []*clusterNode
	upstream map[string]*clusterUpstream
	// second is the number of upstreams of the second service, named t.
	second int
	// strangers is set if entries that are added know only one other entry.
	strangers bool
	conns     []net.Conn
	served    int
	failed    int
	sent      int
	ended     bool
	crashing  crashingRequests
	store     clusterStore
	// arrived counts the arrivals of each request at upstreams.
	arrived map[string]int
	// requestedAt holds when each request was sent by its caller, and repeatedAt when each
	// arrived at upstreams after its first arrival.
	requestedAt, repeatedAt []time.Time
}

// clusterNode is one entry of the cluster.
type clusterNode struct {
	name, domain string
	table        *announcer.Table
	forwarder    *forwarder.Forwarder
	quarantiner  *quarantiner.Quarantiner
	view         atomic.Pointer[membership]
	load         rateEstimator
	monitor      *reacher.Monitor
	reach        *reacher.Reach
	callers      *pipeliner.Server
	// partition is how the entry is partitioned from all upstreams, or from those of the
	// second service alone, and toUpstreams are its connections to upstreams.
	partition   partition
	secondAlone bool
	// spared is an upstream of the second service that is reached nevertheless.
	spared      string
	toUpstreams []net.Conn
	// ctx ends when the entry is killed.
	ctx  context.Context
	kill context.CancelFunc
	// startedAt is when the entry was started.
	startedAt time.Time
	// gone, frozen and cut are the faults of the entry. Until excused, it may have
	// been frozen or cut off in the last clusterStableTime.
	gone, frozen, cut bool
	excused           time.Time
}

const (
	clusterHeartbeat = 500 * time.Millisecond
	clusterTimeout   = 2500 * time.Millisecond
	// clusterStableTime is the time after a fault for which an entry is excused.
	clusterStableTime = 3 * time.Second
	clusterDomains    = 4
)

func newCluster(t *testing.T, seed uint64, upstreams int) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 24)), upstream: make(map[string]*clusterUpstream), arrived: make(map[string]int)}
	var err error
	c.table, err = router.NewTable(router.Spec{
		Version: 1,
		Routes: []router.Route{
			{Name: "r", Host: "h", Prefix: "/", Attempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Targets: []router.SplitTarget{{Service: "s", Weight: 1}}},
			{Name: "t", Host: "h", Prefix: "/t/", Attempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Targets: []router.SplitTarget{{Service: "t", Weight: 1}}},
			{Name: "t-read", Host: "h", Prefix: "/t/read/", Idempotent: true, Attempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Targets: []router.SplitTarget{{Service: "t", Weight: 1}}},
			{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, Attempts: 2, Timeout: time.Second, Objective: 500 * time.Millisecond, Targets: []router.SplitTarget{{Service: "s", Weight: 1}}},
		},
		Services: []router.Service{{Name: "s", HealthPath: "/health", MaxConns: 1000}, {Name: "t", HealthPath: "/health", MaxConns: 1000}},
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range upstreams {
		c.upstream[fmt.Sprint("u", i)] = &clusterUpstream{told: make(map[string]time.Time)}
	}
	return c
}

func (c *cluster) domain(i int) string { return string(rune('a' + i%clusterDomains)) }

// add starts an entry.
func (c *cluster) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	n := &clusterNode{name: fmt.Sprintf("e%02d", len(c.nodes)), domain: c.domain(len(c.nodes)), startedAt: now}
	n.ctx, n.kill = context.WithCancel(context.Background())
	n.table = announcer.NewTable(now, announcer.Member{Name: n.name, Domain: n.domain, Callers: n.name, Epoch: now.UnixNano(), Capacity: 48}, clusterTimeout)
	n.table.SetRemoteTimeout(remoteTimeoutFactor * clusterTimeout)
	n.table.SetLoad(true, 0)
	for _, other := range c.known() {
		self, _ := other.table.Self()
		n.table.MergeDescriptions(now, false, self)
	}
	quarantine := c.addQuarantiner(n)
	n.reach = reacher.New()
	n.forwarder = forwarder.New(forwarder.Options{
		Dialect: clusterDialect{}, Domain: n.domain, ProbeRate: 60, Secret: []byte(secret), RetryBudget: forwarder.RetryBudget{Ratio: 0.2, Allowance: 60, Window: 10 * time.Second},
		Entries: func(service string) forwarder.EntrySet {
			return n.membership().entrySet(n.name, service, time.Since(n.startedAt))
		},
		LimitFraction: func(u placer.Spec, rate float64) float64 { return n.membership().limitFraction(n.name, u, rate) },
		WarmupFraction: func(u placer.Spec, rate float64) float64 {
			return n.membership().warmupFraction(n.name, u, rate, time.Since(n.startedAt))
		},
		Quarantine: quarantine,
		Reach:      n.reach,
		Relays:     func(service string) []string { return relays(n.name, n.membership().assignedAll(service)) },
		Dial:       func(ctx context.Context, addr string) (net.Conn, error) { return c.dial(ctx, n, addr) },
	})
	c.addMonitor(n)
	n.forwarder.Configure(c.table)
	for i := range len(c.upstream) - c.second {
		n.forwarder.PutUpstream(c.spec(i))
	}
	for i := range c.second {
		id := fmt.Sprint("t", i)
		n.forwarder.PutUpstream(placer.Spec{ID: id, Service: "t", Addr: id, Domain: c.domain(i), Slots: 8})
	}
	c.nodes = append(c.nodes, n)
	go c.run(n)
}

// spec returns the service discovery record of an upstream. The caller must hold the lock.
func (c *cluster) spec(i int) placer.Spec {
	id := fmt.Sprint("u", i)
	return placer.Spec{ID: id, Service: "s", Addr: id, Domain: c.domain(i), Slots: 8, StartedAt: c.upstream[id].boot}
}

// membership returns the entry's current view.
func (n *clusterNode) membership() *membership {
	now, view := time.Now(), n.view.Load()
	if view == nil || now.Sub(view.at) > membershipTTL {
		view = newMembership(now, n.name, n.table.Live(now), view)
		n.view.Store(view)
	}
	return view
}

// dial connects an entry to an upstream or to another entry.
func (c *cluster) dial(ctx context.Context, n *clusterNode, addr string) (net.Conn, error) {
	c.mu.Lock()
	u, how := c.upstream[addr], n.partitionFrom(addr)
	c.mu.Unlock()
	if u == nil {
		return c.dialEntry(n, addr)
	}
	if how == partitionHangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || u.down || n.partitionFrom(addr) != reachable {
		return nil, net.ErrClosed
	}
	client, server := net.Pipe()
	u.conns = append(u.conns, server)
	n.toUpstreams = append(n.toUpstreams, client)
	c.conns = append(c.conns, client, server)
	go c.serve(server, n, addr)
	return client, nil
}

// serve implements an upstream's side of a connection of an entry.
func (c *cluster) serve(conn net.Conn, n *clusterNode, id string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	u := c.upstream[id]
	for {
		var req fasthttp.Request
		if err := req.Read(reader); err != nil {
			return
		}
		c.awaitPath(n, id)
		limit := ""
		probe := string(req.Header.RequestURI()) == "/health"
		c.mu.Lock()
		if !probe {
			u.arrivals = append(u.arrivals, clusterArrival{at: time.Now(), entry: n.name})
			id := string(req.Header.Peek("Id"))
			if c.arrived[id]++; c.arrived[id] > 1 {
				c.repeatedAt = append(c.repeatedAt, time.Now())
			}
		}
		rejection := u.pauses.reject(c.random, n.name, probe)
		c.mu.Unlock()
		if rejection != "" {
			if _, err := conn.Write([]byte(rejection)); err != nil {
				return
			}
			continue
		}
		if !probe {
			time.Sleep(20 * time.Millisecond)
		}
		if c.crash(n, id, string(req.Header.RequestURI())) {
			return
		}
		c.mu.Lock()
		if u.limited && !probe {
			limit = fmt.Sprintf("Limit: %v\r\n", u.rate)
			if _, ok := u.told[n.name]; !ok {
				u.told[n.name] = time.Now()
			}
		}
		c.mu.Unlock()
		id := ""
		if leaving := c.stateLeaving(n, u); leaving != "" {
			limit += leaving
		}
		if probe {
			limit += c.stateWarmup(u)
		}
		if !probe {
			id = fmt.Sprintf("Id: %s\r\n", req.Header.Peek("Id"))
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%sContent-Length: 2\r\n\r\nok", id, limit); err != nil {
			return
		}
	}
}

// reachable reports whether messages pass between two entries.
func (c *cluster) reachable(a, b *clusterNode) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !a.gone && !a.frozen && !a.cut && !b.gone && !b.frozen && !b.cut
}

// run runs the periodic tasks of an entry.
func (c *cluster) run(n *clusterNode) {
	for round := 0; ; round++ {
		time.Sleep(limitReportInterval)
		c.mu.Lock()
		stopped, frozen := n.gone || c.ended, n.frozen
		peers := make([]*clusterNode, 0, 3)
		for range 3 {
			peers = append(peers, c.nodes[c.random.IntN(len(c.nodes))])
		}
		delay := time.Duration(c.random.Int64N(int64(100 * time.Millisecond)))
		c.mu.Unlock()
		if stopped {
			return
		}
		if frozen {
			continue
		}
		n.table.Tick(time.Now())
		n.table.SetLoad(n.serving(), n.load.update(time.Now(), n.forwarder.Arrived()))
		n.forwarder.UpdateLimits()
		for _, p := range peers {
			if p != n && c.reachable(n, p) {
				go c.exchange(n, p, delay)
			}
		}
		if reports := n.forwarder.TakeLimitReports(); len(reports) > 0 {
			go c.deliver(n, reports, delay)
		}
		if reports := n.forwarder.TakeWarmupReports(); len(reports) > 0 {
			go c.deliverWarmups(n, reports, delay)
		}
		if reports := n.forwarder.TakeLeavingReports(); len(reports) > 0 {
			go c.deliverLeaving(n, reports, delay)
		}
	}
}

// exchange exchanges the tables of two entries.
func (c *cluster) exchange(a, b *clusterNode, delay time.Duration) {
	time.Sleep(delay)
	for _, pair := range [][2]*clusterNode{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		now := time.Now()
		self, _ := from.table.Self()
		to.table.MergeDescriptions(now, true, self)
		missing := to.table.MergeHeartbeats(now, from.table.Heartbeats(nil, now, 2*clusterHeartbeat))
		to.table.MergeDescriptions(now, false, from.table.Lookup(missing)...)
	}
}

// node returns the entry of a name, nil if there is none.
func (c *cluster) node(name string) *clusterNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (c *cluster) close() {
	c.mu.Lock()
	c.ended = true
	conns := c.conns
	for _, n := range c.nodes {
		n.kill()
	}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	time.Sleep(2 * time.Second)
}
