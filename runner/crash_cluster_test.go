package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/quarantiner"
	"poplarwind/reacher"
)

const (
	// crashRestartTime is how long a crashed upstream is away, and crashListTime how long
	// it then takes until service discovery has its new process.
	crashRestartTime = 3 * time.Second
	crashListTime    = 500 * time.Millisecond
	// maxCrashes is the number of upstreams that a request may crash, and
	// maxCrashRetries the number of times that it may reach upstreams from
	// clusterStableTime after the last of these on.
	maxCrashes      = 3
	maxCrashRetries = 3
)

// crashingRequests are the requests that crash each upstream that runs them.
type crashingRequests struct {
	path string
	// crashed holds when upstreams have crashed.
	crashed []time.Time
	// arrivals are the arrivals at upstreams.
	arrivals []clusterArrival
}

// clusterStore is the part of the platform's store that keeps quarantines.
type clusterStore struct {
	reports map[quarantiner.Fingerprint]quarantiner.Report
	at      map[quarantiner.Fingerprint]time.Time
	era     uint64
	down    bool
	calls   int
}

// clusterClient is an entry's access to the store and to other entries.
type clusterClient struct {
	cluster *cluster
	node    *clusterNode
}

// call counts a call to the store and returns an error if the entry can't reach it. The
// caller must hold the lock.
func (c clusterClient) call() error {
	c.cluster.store.calls++
	if c.cluster.store.down || c.node.frozen || c.node.gone {
		return errors.New("store is away")
	}
	return nil
}

func (c clusterClient) PutQuarantine(_ context.Context, r quarantiner.Report) error {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	if err := c.call(); err != nil {
		return err
	}
	s := &c.cluster.store
	if s.reports == nil {
		s.reports, s.at = make(map[quarantiner.Fingerprint]quarantiner.Report), make(map[quarantiner.Fingerprint]time.Time)
	}
	s.reports[r.Fingerprint], s.at[r.Fingerprint] = r, time.Now()
	return nil
}

func (c clusterClient) Quarantines(context.Context) ([]quarantiner.Report, int, error) {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	if err := c.call(); err != nil {
		return nil, 0, err
	}
	var out []quarantiner.Report
	for f, r := range c.cluster.store.reports {
		r.Crashes = slices.Clone(r.Crashes)
		for i := range r.Crashes {
			r.Crashes[i].Age += time.Since(c.cluster.store.at[f])
		}
		r.StoredEra = c.cluster.store.era
		out = append(out, r)
	}
	return out, 0, nil
}

// Send implements quarantiner.Peers and reacher.Peers.
func (c clusterClient) Send(ctx context.Context, m announcer.Member, path string, message, response any) error {
	time.Sleep(time.Millisecond)
	c.cluster.mu.Lock()
	var to *clusterNode
	for _, n := range c.cluster.nodes {
		if n.name == m.Name {
			to = n
		}
	}
	c.cluster.mu.Unlock()
	if to == nil || !c.cluster.reachable(c.node, to) {
		return errors.New("entry is out of reach")
	}
	packed, err := announcer.Pack(message)
	if err != nil {
		return err
	}
	body, err := packed.Unpack()
	if err != nil {
		return err
	}
	var reply any
	switch path {
	case quarantiner.Path:
		reply, err = to.quarantiner.Serve(body)
	case reacher.Path:
		reply, err = to.monitor.Serve(ctx, body)
	}
	if err != nil {
		return err
	}
	text, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, response)
}

// addQuarantiner adds the quarantines of an entry and returns their table.
func (c *cluster) addQuarantiner(n *clusterNode) *quarantiner.Table {
	table, client := quarantiner.NewTable(), clusterClient{c, n}
	n.quarantiner = quarantiner.New(quarantiner.Options{
		Table: table, Peers: client, Store: client, Self: n.name, Domain: n.domain,
		Live:     func() []announcer.Member { return n.table.Live(time.Now()) },
		Contacts: func() []announcer.Member { return n.table.Peers(time.Now()) },
		Era: func() uint64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.store.era
		},
		Log: slog.New(slog.DiscardHandler),
	})
	go func() {
		if err := n.quarantiner.Run(n.ctx); err != nil {
			c.t.Error(err)
		}
	}()
	return table
}

// crash crashes an upstream if a request that reached it from an entry is to crash it.
func (c *cluster) crash(n *clusterNode, id, path string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if path != c.crashing.path {
		return false
	}
	c.crashing.arrivals = append(c.crashing.arrivals, clusterArrival{at: time.Now(), entry: n.name})
	u := c.upstream[id]
	if u.down {
		return true
	}
	c.crashing.crashed = append(c.crashing.crashed, time.Now())
	u.down = true
	for _, conn := range u.conns {
		_ = conn.Close()
	}
	u.conns = nil
	time.AfterFunc(crashRestartTime, func() { c.restart(id) })
	return true
}

// restart starts an upstream again.
func (c *cluster) restart(id string) {
	c.mu.Lock()
	u := c.upstream[id]
	u.down = false
	u.boot++
	c.mu.Unlock()
	time.Sleep(crashListTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range len(c.upstream) {
		if spec := c.spec(i); spec.ID == id {
			for _, n := range c.nodes {
				n.forwarder.PutUpstream(spec)
			}
		}
	}
}

// loadCrashing sends the crashing request to entries at a rate per second for a duration.
func (c *cluster) loadCrashing(d time.Duration, rate int, method string) {
	c.mu.Lock()
	path := c.crashing.path
	c.mu.Unlock()
	for i := range int(d.Seconds() * float64(rate)) {
		time.Sleep(time.Second / time.Duration(rate))
		go c.pick().request(fmt.Sprint("c", time.Now().UnixNano(), "-", i), method, path)
	}
}

// restoreStore restores the store from a copy without quarantines.
func (c *cluster) restoreStore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.era++
	clear(c.store.reports)
}

// killAll kills all entries at the same moment and starts as many.
func (c *cluster) killAll() {
	c.mu.Lock()
	n := 0
	for _, node := range c.nodes {
		if !node.gone {
			node.gone = true
			node.kill()
			n++
		}
	}
	c.mu.Unlock()
	for range n {
		c.add()
	}
}

// checkCrashes checks how often the crashing request reached upstreams after it had
// crashed maxCrashes of them, sent by entries that were calm.
func (c *cluster) checkCrashes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Logf("crashed %d upstreams; others: sent %d served %d failed %d", len(c.crashing.crashed), c.sent, c.served, c.failed)
	if len(c.crashing.crashed) < maxCrashes {
		c.t.Errorf("got: %d crashes want: at least %d, for a test of what follows", len(c.crashing.crashed), maxCrashes)
		return
	}
	// An entry that has just been started is excused as one with a fault is.
	excused := make(map[string]time.Time)
	for _, n := range c.nodes {
		excused[n.name] = n.excused
		if calm := n.startedAt.Add(clusterStableTime); calm.After(n.excused) {
			excused[n.name] = calm
		}
	}
	from := c.crashing.crashed[maxCrashes-1].Add(clusterStableTime)
	late := 0
	for _, a := range c.crashing.arrivals {
		if a.at.After(from) && a.at.After(excused[a.entry]) {
			late++
			c.t.Logf("late arrival from %s at %v", a.entry, a.at)
		}
	}
	if late > maxCrashRetries {
		c.t.Errorf("got: %d arrivals at upstreams after %d crashes want: at most %d", late, maxCrashes, maxCrashRetries)
	}
}

// checkServed checks that nearly all of the other requests since an earlier count are
// served.
func (c *cluster) checkServed(sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, of := c.served-served, c.sent-sent; float64(n) < 0.99*float64(of) {
		c.t.Errorf("got: %d of %d other requests served want: 99 in 100", n, of)
	}
}

// counts returns the numbers of other requests that were sent and served.
func (c *cluster) counts() (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.served
}

// TestRequestThatCrashesUpstreams has callers send a request that crashes each upstream
// that runs it, again and again and to all entries, which join, are killed, frozen and cut
// off from each other meanwhile. Once three upstreams have crashed it must hardly reach
// any other, and requests beside it must be served.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	for seed, tt := range []struct {
		name, method, path string
		entries            int
		// rate is the number of crashing requests a second.
		rate            int
		faulty, killAll bool
		// storeDown is set if the store is away, and restored if it comes back without
		// the quarantines, before all entries are killed.
		storeDown, restored bool
	}{
		{name: "one entry", method: "POST", path: "/order", entries: 1, rate: 4},
		{name: "one entry, idempotent", method: "GET", path: "/read/a", entries: 1, rate: 4},
		{name: "rare", method: "POST", path: "/order", entries: 40, rate: 1},
		{name: "many entries", method: "POST", path: "/order", entries: 40, rate: 8},
		{name: "many entries, idempotent", method: "GET", path: "/read/a", entries: 40, rate: 8},
		{name: "faults", method: "POST", path: "/order", entries: 40, rate: 4, faulty: true},
		{name: "faults, idempotent", method: "GET", path: "/read/a", entries: 40, rate: 8, faulty: true},
		{name: "faults, few entries", method: "GET", path: "/read/a", entries: 6, rate: 8, faulty: true},
		{name: "all entries killed", method: "GET", path: "/read/a", entries: 16, rate: 4, killAll: true},
		{name: "store away", method: "GET", path: "/read/a", entries: 16, rate: 4, faulty: true, storeDown: true},
		{name: "store restored, all entries killed", method: "GET", path: "/read/a", entries: 16, rate: 4, restored: true, killAll: true},
		{name: "all entries killed, faults", method: "POST", path: "/order", entries: 40, rate: 4, faulty: true, killAll: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 100+uint64(seed), 24)
				defer c.close()
				for range tt.entries {
					c.add()
				}
				time.Sleep(4 * time.Second)
				c.load(2*time.Second, 100)
				c.mu.Lock()
				c.crashing.path, c.store.down, c.store.era = tt.path, tt.storeDown, 1
				c.mu.Unlock()
				go c.loadCrashing(60*time.Second, tt.rate, tt.method)
				c.load(10*time.Second, 100)
				sent, served := c.counts()
				for i := range 12 {
					if tt.faulty {
						c.fault()
					}
					if tt.restored && i%6 == 0 {
						c.restoreStore()
					}
					if tt.killAll && i%6 == 2 {
						c.killAll()
					}
					c.load(4*time.Second, 100)
				}
				time.Sleep(5 * time.Second)
				c.checkCrashes()
				c.checkServed(sent, served)
			})
		})
	}
}
