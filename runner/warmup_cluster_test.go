package runner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"poplarwind/forwarder"
	"poplarwind/router"
)

const (
	// The requests to a cold upstream in any second must not exceed warmupOverage of the rate
	// that it tolerates, plus warmupTolerance.
	warmupOverage   = 1.5
	warmupTolerance = 8
	// warmupUseTime is the time in which a new upstream must get requests.
	warmupUseTime = 4 * time.Second
)

// clusterWarmup is a time in which an upstream is cold.
type clusterWarmup struct{ from, until time.Time }

// coldReturn is how upstreams become cold.
type coldReturn string

const (
	// coldRegistered upstreams were down and are registered as cold.
	coldRegistered coldReturn = "registered"
	// coldSuddenly upstreams say so in responses to load probes alone.
	coldSuddenly coldReturn = "suddenly"
	// coldEvacuated upstreams are cold after an evacuation and say so in responses to load probes.
	coldEvacuated coldReturn = "evacuated"
)

// setWarmupRate makes upstreams of the first service state how long they are cold, and sets the rate that
// a cold one tolerates. It must be called before add.
func (c *cluster) setWarmupRate(rate float64, d time.Duration) {
	s := c.table.Spec()
	s.Services[0].WarmupRate, s.Services[0].WarmupTime = rate, d
	var err error
	if c.table, err = router.NewTable(s, nil); err != nil {
		c.t.Fatal(err)
	}
}

// known returns the entries that one that starts knows. The caller must hold the lock.
func (c *cluster) known() []*clusterNode {
	if !c.strangers {
		return c.nodes
	}
	for i, n := range c.nodes {
		if !n.gone {
			return c.nodes[i : i+1]
		}
	}
	return nil
}

// stateWarmup returns the header with which an upstream says how much longer it is cold.
func (c *cluster) stateWarmup(u *clusterUpstream) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(u.warmups); n > 0 {
		if left := time.Until(u.warmups[n-1].until); left > 0 {
			return fmt.Sprintf("Warmup: %v\r\n", left)
		}
	}
	return ""
}

// deliverWarmups delivers the reports of an entry to the others that it sees.
func (c *cluster) deliverWarmups(n *clusterNode, reports []forwarder.WarmupReport, delay time.Duration) {
	time.Sleep(delay)
	for _, r := range reports {
		for _, m := range n.membership().assignedAll(r.Service) {
			to := c.node(m.Name)
			if to == nil || to == n || !c.reachable(n, to) {
				continue
			}
			if err := to.forwarder.ApplyWarmupReports(n.name, []forwarder.WarmupReport{r}); err != nil {
				c.t.Error(err)
			}
		}
	}
}

// returnCold makes every k-th upstream, those of one failure domain, become cold at once for the duration.
func (c *cluster) returnCold(k int, how coldReturn, d time.Duration) {
	if how == coldEvacuated {
		c.evacuate(c.domain(0))
		time.Sleep(2 * time.Second)
	}
	c.mu.Lock()
	for i := 0; i < len(c.upstream); i += k {
		u := c.upstream[fmt.Sprint("u", i)]
		if how == coldRegistered {
			u.boot++
			for _, conn := range u.conns {
				_ = conn.Close()
			}
			u.conns = nil
		}
		u.warmups = append(u.warmups, clusterWarmup{from: time.Now(), until: time.Now().Add(d)})
	}
	c.mu.Unlock()
	switch how {
	case coldRegistered:
		time.AfterFunc(300*time.Millisecond, func() { c.registerCold(k, d-300*time.Millisecond) })
	case coldEvacuated:
		c.evacuate()
	case coldSuddenly:
	}
}

// registerCold writes the registrations of every k-th upstream.
func (c *cluster) registerCold(k int, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 0; i < len(c.upstream); i += k {
		spec := c.spec(i)
		spec.Warmup = left
		for _, n := range c.nodes {
			n.forwarder.PutUpstream(spec)
		}
	}
}

// isolate cuts the first n entries off from all others.
func (c *cluster) isolate(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, node := range c.nodes[:n] {
		node.cut = true
	}
}

// evacuate sets the evacuated failure domains at all entries.
func (c *cluster) evacuate(domains ...string) {
	set := make(map[string]bool)
	for _, d := range domains {
		set[d] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		n.forwarder.SetEvacuated(set)
	}
}

// checkWarmups checks how many requests reached cold upstreams in any second, and that each was used
// soon.
func (c *cluster) checkWarmups(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worst, unused, warmups := 0, 0, 0
	bound := int(warmupOverage*rate + warmupTolerance)
	for id, u := range c.upstream {
		for _, w := range u.warmups {
			warmups++
			var cold []time.Time
			used := false
			for _, a := range u.arrivals {
				used = used || a.at.After(w.from) && a.at.Sub(w.from) < warmupUseTime
				if a.at.After(w.from) && a.at.Before(w.until) {
					cold = append(cold, a.at)
				}
			}
			n, first := 0, 0
			for i, at := range cold {
				for at.Sub(cold[first]) >= time.Second {
					first++
				}
				n = max(n, i-first+1)
			}
			if n > bound {
				c.t.Errorf("%s: got: %d requests in a second while cold want: at most %d", id, n, bound)
			}
			worst = max(worst, n)
			if !used {
				unused++
			}
		}
	}
	c.t.Logf("%d warm-ups, at most %d requests in a second, bound %d, %d not used in %v; sent %d served %d failed %d", warmups, worst, bound, unused, warmupUseTime, c.sent, c.served, c.failed)
	if unused > 0 {
		c.t.Errorf("got: %d of %d upstreams without a request in %v want: none", unused, warmups, warmupUseTime)
	}
}

// TestDomainReturnsCold has all upstreams of a failure domain become cold at once, while entries are
// restarted without knowing each other, join, are killed, frozen and cut off, alone or a third of them: all entries together
// must not send more to a cold upstream than it tolerates, use it nevertheless, and serve their callers
// elsewhere.
func TestDomainReturnsCold(t *testing.T) {
	for seed, tt := range []struct {
		how             coldReturn
		entries         int
		rate            float64
		warmup          time.Duration
		restart, faulty bool
		// isolated is the number of entries that are cut off from all others.
		isolated int
		served   float64
	}{
		{how: coldRegistered, entries: 1, rate: 2.5, warmup: 3 * time.Second, served: 0.99},
		{how: coldRegistered, entries: 40, rate: 2.5, warmup: 3 * time.Second, faulty: true, served: 0.95},
		{how: coldRegistered, entries: 40, rate: 2.5, warmup: 6 * time.Second, restart: true, served: 0.9},
		{how: coldSuddenly, entries: 40, rate: 2.5, warmup: 3 * time.Second, faulty: true, served: 0.95},
		{how: coldSuddenly, entries: 40, rate: 2.5, warmup: 6 * time.Second, restart: true, served: 0.9},
		{how: coldSuddenly, entries: 40, rate: 20, warmup: 6 * time.Second, served: 0.99},
		{how: coldSuddenly, entries: 137, rate: 2.5, warmup: 6 * time.Second, restart: true, served: 0.9},
		{how: coldSuddenly, entries: 60, rate: 2.5, warmup: 6 * time.Second, isolated: 20, served: 0.95},
		{how: coldEvacuated, entries: 40, rate: 2.5, warmup: 3 * time.Second, faulty: true, served: 0.95},
		{how: coldEvacuated, entries: 40, rate: 0.5, warmup: 6 * time.Second, served: 0.99},
	} {
		t.Run(fmt.Sprintf("%s,entries=%d,rate=%v,restart=%v,faulty=%v,isolated=%d", tt.how, tt.entries, tt.rate, tt.restart, tt.faulty, tt.isolated), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 900+uint64(seed), 24)
				defer c.close()
				c.setWarmupRate(tt.rate, tt.warmup)
				for range tt.entries {
					c.add()
				}
				time.Sleep(4 * time.Second)
				c.load(2*time.Second, 800)
				sent, served := c.counts()
				if tt.isolated > 0 {
					c.isolate(tt.isolated)
					c.load(8*time.Second, 800)
				}
				for range 3 {
					c.returnCold(clusterDomains, tt.how, tt.warmup)
					if tt.restart {
						c.strangers = true
						c.killAll()
					}
					for range 4 {
						if tt.faulty {
							c.fault()
						}
						c.load(2*time.Second, 800)
					}
				}
				time.Sleep(2 * time.Second)
				c.checkWarmups(tt.rate)
				c.checkShare(sent, served, tt.served)
			})
		})
	}
}
