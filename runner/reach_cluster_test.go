package runner

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/announcer"
	_ "poplarwind/internal/starter"
	"poplarwind/pipeliner"
	"poplarwind/reacher"
)

// partition is how an entry is partitioned from all upstreams.
type partition int

const (
	reachable partition = iota
	// partitionResets resets the open connections and refuses new ones.
	partitionResets
	// partitionHangs passes nothing on, on open connections and new ones.
	partitionHangs
	// partitionRefuses refuses new connections and leaves the open ones.
	partitionRefuses
)

// addMonitor adds the monitor of an entry's reach, and its listener.
func (c *cluster) addMonitor(n *clusterNode) {
	n.monitor = reacher.NewMonitor(reacher.Options{
		Reach: n.reach, Peers: clusterClient{c, n}, Self: n.name, Live: func() []announcer.Member { return n.table.Live(time.Now()) },
		Upstreams: n.forwarder.Upstreams, Dial: n.forwarder.TryUpstream, Log: slog.New(slog.DiscardHandler),
	})
	n.callers = pipeliner.New(pipeliner.Options{
		Handler: n.forwarder, MaxHeader: 8 << 10, MaxBody: 1 << 20, MaxConns: 1000,
		IdleTimeout: func() time.Duration { return time.Minute }, Log: slog.New(slog.DiscardHandler),
	})
	go func() {
		if err := n.monitor.Run(n.ctx); err != nil {
			c.t.Error(err)
		}
	}()
}

// partitionFrom returns how the entry is partitioned from an upstream. The caller must hold
// the lock.
func (n *clusterNode) partitionFrom(id string) partition {
	if n.secondAlone && (!strings.HasPrefix(id, "t") || n.spared == id) {
		return reachable
	}
	return n.partition
}

// addSecond adds a second service with n upstreams. It must be called before entries are
// added.
func (c *cluster) addSecond(n int) {
	c.second = n
	for i := range n {
		c.upstream[fmt.Sprint("t", i)] = &clusterUpstream{told: make(map[string]time.Time)}
	}
}

// awaitPath waits until packets pass between an entry and an upstream.
func (c *cluster) awaitPath(n *clusterNode, id string) {
	for {
		c.mu.Lock()
		open := n.partitionFrom(id) != partitionHangs || c.ended
		c.mu.Unlock()
		if open {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// dialEntry connects an entry to another one as a caller.
func (c *cluster) dialEntry(n *clusterNode, name string) (net.Conn, error) {
	c.mu.Lock()
	var to *clusterNode
	for _, other := range c.nodes {
		if other.name == name {
			to = other
		}
	}
	c.mu.Unlock()
	if to == nil || !c.reachable(n, to) {
		return nil, errors.New("entry is out of reach")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	client, server := net.Pipe()
	c.conns = append(c.conns, client, server)
	go to.callers.ServeConn(server)
	context.AfterFunc(to.ctx, func() { _ = server.Close() })
	return client, nil
}

// serving reports whether the directory names the entry.
func (n *clusterNode) serving() bool { return !n.reach.Cut() }

// setPartition partitions every k-th of the entries from all upstreams, or lifts it.
func (c *cluster) setPartition(k int, how partition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 0; i < len(c.nodes); i += k {
		n := c.nodes[i]
		n.partition = how
		if how == partitionResets {
			for _, conn := range n.toUpstreams {
				_ = conn.Close()
			}
		}
		n.toUpstreams = nil
	}
}

// firstTries counts the first tries of callers, by whether their entry is partitioned.
type firstTries struct{ sent, served map[bool]int }

// tryAll sends requests to all entries that run, at random, as callers with old answers of
// the directory do. Every other request must run at most once. It does so for a duration at
// a rate per second and returns the counts of the requests to entries in touch.
func (c *cluster) tryAll(d time.Duration, rate int) firstTries {
	tries := firstTries{sent: make(map[bool]int), served: make(map[bool]int)}
	for i := range int(d.Seconds() * float64(rate)) {
		time.Sleep(time.Second / time.Duration(rate))
		go c.try(i, &tries)
	}
	time.Sleep(2 * time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	return firstTries{sent: maps.Clone(tries.sent), served: maps.Clone(tries.served)}
}

func (c *cluster) try(i int, tries *firstTries) {
	n := c.running()
	c.mu.Lock()
	service, upstream := "", "u"
	if c.second > 0 && i%4 < 2 {
		service, upstream = "/t", "t"
	}
	partitioned := n.partitionFrom(upstream) != reachable
	c.mu.Unlock()
	method, path := "POST", fmt.Sprint(service, "/order", i)
	if i%2 == 0 {
		method, path = "GET", fmt.Sprint(service, "/read/", i)
	}
	status := n.request(fmt.Sprint(method, time.Now().UnixNano(), "-", i), method, path)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.gone || time.Now().Before(n.excused) {
		return
	}
	tries.sent[partitioned]++
	if status == fasthttp.StatusOK {
		tries.served[partitioned]++
	}
}

// check checks that requests at partitioned entries hardly fail more often than at others.
func (f firstTries) check(t *testing.T) {
	t.Helper()
	t.Logf("sent %v served %v", f.sent, f.served)
	for _, partitioned := range []bool{true, false} {
		failed := f.sent[partitioned] - f.served[partitioned]
		if bound := 10 + f.sent[partitioned]/50; failed > bound {
			t.Errorf("entries partitioned %v: got: %d of %d first tries fail want: at most %d", partitioned, failed, f.sent[partitioned], bound)
		}
	}
}

// checkArrivals checks that requests that must run once did not reach two upstreams, and
// that others did not reach more than their attempts allow.
func (c *cluster) checkArrivals() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range c.arrived {
		switch {
		case strings.HasPrefix(id, "POST") && n > 1:
			c.t.Errorf("%s: got: %d arrivals want: 1", id, n)
		case n > 2:
			c.t.Errorf("%s: got: %d arrivals want: at most 2", id, n)
		}
	}
}

// TestEntriesPartitionedFromUpstreams partitions entries from all upstreams, while callers
// send to all entries, which join, are killed, frozen and cut off from each other as well.
// Callers of the partitioned entries must be served nearly as well as those of the others,
// and no request may run more often than it is allowed to.
func TestEntriesPartitionedFromUpstreams(t *testing.T) {
	for seed, tt := range []struct {
		name    string
		entries int
		// every is such that each such entry is partitioned.
		every  int
		how    partition
		faulty bool
	}{
		{name: "resets", entries: 16, every: 2, how: partitionResets},
		{name: "hangs", entries: 16, every: 2, how: partitionHangs},
		{name: "refuses", entries: 16, every: 2, how: partitionRefuses},
		{name: "a failure domain hangs", entries: 16, every: clusterDomains, how: partitionHangs},
		{name: "one hangs", entries: 6, every: 6, how: partitionHangs},
		{name: "many entries, resets", entries: 40, every: 3, how: partitionResets, faulty: true},
		{name: "many entries, hangs", entries: 40, every: 3, how: partitionHangs, faulty: true},
		{name: "many entries, refuses", entries: 40, every: 2, how: partitionRefuses, faulty: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 200+uint64(seed), 24)
				defer c.close()
				for range tt.entries {
					c.add()
				}
				time.Sleep(4 * time.Second)
				c.tryAll(2*time.Second, 100).check(t)
				for range 2 {
					c.setPartition(tt.every, tt.how)
					c.tryAll(clusterStableTime, 100)
					for range 4 {
						if tt.faulty {
							c.fault()
						}
						c.tryAll(4*time.Second, 100).check(t)
					}
					c.setPartition(1, reachable)
					c.tryAll(clusterStableTime, 100)
					c.tryAll(2*time.Second, 100).check(t)
				}
				c.checkArrivals()
			})
		})
	}
}

// TestEntriesPartitionedFromOneService partitions entries from the upstreams of one of two
// services, while callers send to all entries, which join, are killed, frozen and cut off from
// each other as well. Callers of either service must be served nearly as well at the
// partitioned entries as at the others.
func TestEntriesPartitionedFromOneService(t *testing.T) {
	for seed, tt := range []struct {
		name    string
		entries int
		every   int
		how     partition
		faulty  bool
		// spared is the one upstream of the service that is reached.
		spared string
		rate   int
	}{
		{name: "all but one hang", entries: 16, every: 2, how: partitionHangs, spared: "t3", rate: 500},
		{name: "all but one reset, faults", entries: 16, every: 3, how: partitionResets, faulty: true, spared: "t0", rate: 500},
		{name: "two entries, one refuses", entries: 2, every: 2, how: partitionRefuses, rate: 100},
		{name: "resets", entries: 16, every: 2, how: partitionResets, rate: 100},
		{name: "hangs", entries: 16, every: 2, how: partitionHangs, rate: 100},
		{name: "refuses", entries: 16, every: 2, how: partitionRefuses, rate: 100},
		{name: "a failure domain hangs", entries: 16, every: clusterDomains, how: partitionHangs, rate: 100},
		{name: "many entries, hangs", entries: 40, every: 3, how: partitionHangs, faulty: true, rate: 100},
		{name: "many entries, refuses", entries: 40, every: 2, how: partitionRefuses, faulty: true, rate: 100},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 800+uint64(seed), 12)
				defer c.close()
				c.addSecond(12)
				for range tt.entries {
					c.add()
				}
				time.Sleep(4 * time.Second)
				c.tryAll(2*time.Second, tt.rate).check(t)
				for range 2 {
					c.mu.Lock()
					for _, n := range c.nodes {
						n.secondAlone, n.spared = true, tt.spared
					}
					c.mu.Unlock()
					c.setPartition(tt.every, tt.how)
					c.tryAll(clusterStableTime, tt.rate)
					for range 2 {
						if tt.faulty {
							c.fault()
						}
						c.tryAll(4*time.Second, tt.rate).check(t)
					}
					c.setPartition(1, reachable)
					c.tryAll(clusterStableTime, tt.rate)
					c.tryAll(2*time.Second, tt.rate).check(t)
				}
				c.checkArrivals()
			})
		})
	}
}
