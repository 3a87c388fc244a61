package runner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
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
	for i := range int(d.Seconds() * float64(rate)) {
		time.Sleep(time.Second / time.Duration(rate))
		go c.pick().request(fmt.Sprint("c", time.Now().UnixNano(), "-", i), method, c.crashing.path)
	}
}

// killAll kills all entries at the same moment and starts as many.
func (c *cluster) killAll() {
	c.mu.Lock()
	n := 0
	for _, node := range c.nodes {
		if !node.gone {
			node.gone = true
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
	excused := make(map[string]time.Time)
	for _, n := range c.nodes {
		excused[n.name] = n.excused
	}
	from := c.crashing.crashed[maxCrashes-1].Add(clusterStableTime)
	late := 0
	for _, a := range c.crashing.arrivals {
		if a.at.After(from) && a.at.After(excused[a.entry]) {
			late++
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
		{name: "all entries killed, faults", method: "POST", path: "/order", entries: 40, rate: 4, faulty: true, killAll: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 100+uint64(seed), 24)
				defer c.close()
				for range tt.entries {
					c.add()
				}
				time.Sleep(4 * time.Second)
				c.load(2*time.Second, 100)
				c.crashing.path = tt.path
				go c.loadCrashing(60*time.Second, tt.rate, tt.method)
				c.load(10*time.Second, 100)
				sent, served := c.counts()
				for i := range 12 {
					if tt.faulty {
						c.fault()
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
