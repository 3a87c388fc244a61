package runner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// pauseSettleTime is the time after an upstream has asked for a pause in which
	// requests may still reach it, and pauseRequests the number that may reach it later
	// in the pause.
	pauseSettleTime = 500 * time.Millisecond
	pauseRequests   = 2
	// The repeats of a service in any retryWindow must not exceed retryRatio of the
	// requests in it, plus retryAllowance.
	retryWindow    = 10 * time.Second
	retryRatio     = 0.2
	retryAllowance = 60
)

// clusterPauses is the rejections of an upstream and the pauses that it asks for with
// them. It is guarded by the cluster's lock.
type clusterPauses struct {
	// share is the fraction of requests that the upstream rejects, and length that of the
	// pause that it asks for, 0 if it asks for none.
	share  float64
	length time.Duration
	// inProbes is set if it rejects load probes as well.
	inProbes bool
	// asked holds the pauses that it asked for.
	asked []clusterPause
}

// clusterPause is a pause that an upstream asked one entry for.
type clusterPause struct {
	entry string
	at    time.Time
	until time.Time
}

// reject returns the response to a request that the upstream rejects, and an empty string
// if it takes it.
func (p *clusterPauses) reject(random *rand.Rand, entry string, probe bool) string {
	if probe && !p.inProbes || random.Float64() >= p.share {
		return ""
	}
	pause := ""
	if p.length > 0 {
		now := time.Now()
		p.asked = append(p.asked, clusterPause{entry: entry, at: now, until: now.Add(p.length)})
		pause = fmt.Sprintf("Pause: %v\r\n", p.length)
	}
	return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + pause + "Content-Length: 0\r\n\r\n"
}

// setPauses makes the first n upstreams ask for pauses, with the given fraction of their
// responses.
func (c *cluster) setPauses(n int, share float64, length time.Duration, inProbes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range n {
		p := &c.upstream[fmt.Sprint("u", i)].pauses
		p.share, p.length, p.inProbes = share, length, inProbes
	}
}

// checkPauses checks how many requests reached upstreams in pauses that these had asked
// for, from entries that had no fault meanwhile.
func (c *cluster) checkPauses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	excused := make(map[string]time.Time)
	for _, n := range c.nodes {
		excused[n.name] = n.excused
	}
	worst, pauses := 0, 0
	for _, u := range c.upstream {
		pauses += len(u.pauses.asked)
		for _, p := range u.pauses.asked {
			n := 0
			for _, a := range u.arrivals {
				if a.entry == p.entry && a.at.After(p.at.Add(pauseSettleTime)) && a.at.Before(p.until) && a.at.After(excused[p.entry]) {
					n++
				}
			}
			worst = max(worst, n)
		}
	}
	c.t.Logf("%d pauses; sent %d served %d failed %d", pauses, c.sent, c.served, c.failed)
	if pauses == 0 {
		c.t.Error("got: no pauses want: some")
	}
	if worst > pauseRequests {
		c.t.Errorf("got: %d requests from one entry in a pause want: at most %d", worst, pauseRequests)
	}
}

// checkRepeats checks that in no window more requests were repeated than the retry budget
// allows.
func (c *cluster) checkRepeats() {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, sent, began := 0, 0, 0
	most, bound := 0, math.Inf(1)
	for i, at := range c.repeatedAt {
		for at.Sub(c.repeatedAt[first]) >= retryWindow {
			first++
		}
		for sent < len(c.requestedAt) && !c.requestedAt[sent].After(at) {
			sent++
		}
		for at.Sub(c.requestedAt[began]) >= retryWindow {
			began++
		}
		if n, allowed := i-first+1, retryRatio*float64(sent-began)+retryAllowance; math.IsInf(bound, 1) || float64(n)-allowed > float64(most)-bound {
			most, bound = n, allowed
		}
	}
	c.t.Logf("%d repeats, at most %d in %v, bound %.0f; sent %d served %d failed %d", len(c.repeatedAt), most, retryWindow, bound, c.sent, c.served, c.failed)
	if float64(most) > bound {
		c.t.Errorf("got: %d repeats in %v want: at most %.0f", most, retryWindow, bound)
	}
}

// TestRequestsDuringPause has upstreams reject requests and ask for pauses, while entries
// join, are killed, frozen and cut off. Hardly any request must reach them in a pause, the
// repeats must stay within the retry budget, and callers must be served beside them.
func TestRequestsDuringPause(t *testing.T) {
	for seed, tt := range []struct {
		name              string
		entries, upstream int
		// pausing upstreams ask for pauses of this length in a share of their responses.
		pausing  int
		share    float64
		length   time.Duration
		rate     int
		inProbes bool
		faulty   bool
		// served is the fraction of requests that must be served.
		served float64
	}{
		{name: "one entry, one of three", entries: 1, upstream: 3, pausing: 1, share: 1, length: 3 * time.Second, rate: 100, served: 0.99},
		{name: "one of three", entries: 4, upstream: 3, pausing: 1, share: 1, length: 3 * time.Second, rate: 125, served: 0.99},
		{name: "a third of the responses", entries: 4, upstream: 3, pausing: 1, share: 1.0 / 3, length: 1500 * time.Millisecond, rate: 125, served: 0.99},
		{name: "two of three", entries: 4, upstream: 3, pausing: 2, share: 1, length: 5 * time.Second, rate: 125, served: 0.98},
		{name: "all, half of the responses", entries: 4, upstream: 3, pausing: 3, share: 0.5, length: 2 * time.Second, rate: 125},
		{name: "in load probes too", entries: 4, upstream: 6, pausing: 2, share: 0.7, length: 4 * time.Second, rate: 125, inProbes: true, served: 0.98},
		{name: "short", entries: 16, upstream: 12, pausing: 4, share: 0.5, length: 800 * time.Millisecond, rate: 300, served: 0.98},
		{name: "many entries", entries: 40, upstream: 24, pausing: 4, share: 1, length: 10 * time.Second, rate: 300, served: 0.98},
		{name: "many entries, faults", entries: 40, upstream: 24, pausing: 8, share: 0.6, length: 4 * time.Second, rate: 300, faulty: true, served: 0.95},
		{name: "few entries, faults", entries: 6, upstream: 12, pausing: 3, share: 1, length: 6 * time.Second, rate: 150, faulty: true, served: 0.95},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 300+uint64(seed), tt.upstream)
				defer c.close()
				for range tt.entries {
					c.add()
				}
				time.Sleep(4 * time.Second)
				c.load(2*time.Second, tt.rate)
				c.setPauses(tt.pausing, tt.share, tt.length, tt.inProbes)
				sent, served := c.counts()
				used := c.arrivals()
				for range 10 {
					if tt.faulty {
						c.fault()
					}
					c.load(2*time.Second, tt.rate)
				}
				time.Sleep(2 * time.Second)
				c.checkPauses()
				c.checkRepeats()
				c.checkShare(sent, served, tt.served)
				if !tt.faulty {
					c.checkUsedAfterPauses(used, tt.rate)
				}
			})
		})
	}
}

// checkShare checks that a fraction of the requests since an earlier count is served.
func (c *cluster) checkShare(sent, served int, share float64) {
	nowSent, nowServed := c.counts()
	if n, of := nowServed-served, nowSent-sent; float64(n) < share*float64(of) {
		c.t.Errorf("got: %d of %d requests served want: %v", n, of, share)
	}
}

// arrivals returns the number of requests that each upstream got.
func (c *cluster) arrivals() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int)
	for id, u := range c.upstream {
		out[id] = len(u.arrivals)
	}
	return out
}

// checkUsedAfterPauses ends the pauses and checks that the upstreams that were used before
// them are used again.
func (c *cluster) checkUsedAfterPauses(used map[string]int, rate int) {
	c.mu.Lock()
	var last time.Time
	for _, u := range c.upstream {
		u.pauses.share = 0
		for _, p := range u.pauses.asked {
			if p.until.After(last) {
				last = p.until
			}
		}
	}
	c.mu.Unlock()
	time.Sleep(time.Until(last) + time.Second)
	before := c.arrivals()
	c.load(4*time.Second, rate)
	time.Sleep(time.Second)
	for id, n := range c.arrivals() {
		if n == before[id] && used[id] > 0 {
			c.t.Errorf("%s: got: no requests in 4 s after the pauses want: some", id)
		}
	}
}

// TestRepeatsOfRejectedRequests has upstreams reject a part of all requests, so that entries
// use all of the retry budget, while entries join, are killed, frozen and cut off. In no
// window must the repeats exceed it.
func TestRepeatsOfRejectedRequests(t *testing.T) {
	for seed, tt := range []struct {
		entries int
		share   float64
		// before is the time with requests before the first rejection, in milliseconds.
		before int
		faulty bool
		// killAll is set if all entries are killed and started again at once, twice.
		killAll bool
	}{
		{entries: 1, share: 1, before: 12500},
		{entries: 4, share: 1, before: 12400},
		{entries: 16, share: 1, before: 12600},
		{entries: 40, share: 0.6, before: 12500},
		{entries: 6, share: 1, before: 12400, faulty: true},
		{entries: 24, share: 1, before: 12500, faulty: true},
		{entries: 16, share: 1, before: 12500, killAll: true},
		{entries: 24, share: 1, before: 12500, faulty: true, killAll: true},
	} {
		t.Run(fmt.Sprintf("entries=%d,share=%v,faulty=%v,kills=%v", tt.entries, tt.share, tt.faulty, tt.killAll), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 400+uint64(seed), 12)
				defer c.close()
				for range tt.entries {
					c.add()
				}
				time.Sleep(14 * time.Second)
				c.load(time.Duration(tt.before)*time.Millisecond, 150)
				c.setPauses(12, tt.share, 0, false)
				for i := range 11 {
					if tt.faulty {
						c.fault()
					}
					if tt.killAll && i%6 == 1 {
						c.killAll()
					}
					c.load(2*time.Second, 150)
				}
				time.Sleep(2 * time.Second)
				c.checkRepeats()
			})
		})
	}
}

// TestRepeatsOfRelayedRequests partitions most entries from all upstreams, which reject a
// part of all requests: a relayed request that was rejected at upstreams is repeated by
// further entries only as far as the retry budget and the attempts of its route allow.
func TestRepeatsOfRelayedRequests(t *testing.T) {
	for seed, share := range []float64{1, 0.7} {
		t.Run(fmt.Sprint("share=", share), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 500+uint64(seed), 12)
				defer c.close()
				for range 16 {
					c.add()
				}
				time.Sleep(14 * time.Second)
				c.load(4*time.Second, 150)
				c.mu.Lock()
				for i, n := range c.nodes {
					if i >= 4 {
						n.partition = partitionRefuses
					}
				}
				c.mu.Unlock()
				c.load(3*time.Second, 150)
				c.setPauses(12, share, 0, false)
				for i := range 2250 {
					time.Sleep(time.Second / 150)
					go func() {
						n := c.running()
						c.mu.Lock()
						c.requestedAt = append(c.requestedAt, time.Now())
						id := fmt.Sprint("any", i)
						c.mu.Unlock()
						n.request(id, "GET", "/read/a")
					}()
				}
				time.Sleep(2 * time.Second)
				c.checkRepeats()
				c.checkMostArrivals(2)
			})
		})
	}
}

// checkMostArrivals checks that no request reached upstreams more often than its route
// allows.
func (c *cluster) checkMostArrivals(attempts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	most, over := 0, 0
	for _, n := range c.arrived {
		most = max(most, n)
		if n > attempts {
			over++
		}
	}
	if over > 0 {
		c.t.Errorf("got: %d requests that reached upstreams up to %d times want: at most %d", over, most, attempts)
	}
}
