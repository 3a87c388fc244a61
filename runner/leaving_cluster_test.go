package runner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"poplarwind/forwarder"
)

// drainTime is the time after an entry was told that an upstream leaves from which on no
// request may reach it from that entry.
const drainTime = 2 * time.Second

// stateLeaving returns the header with which an upstream says that it leaves, and records
// that the entry is told. It is empty if the upstream does not leave.
func (c *cluster) stateLeaving(n *clusterNode, u *clusterUpstream) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !u.leaving {
		return ""
	}
	if u.toldLeaving == nil {
		u.toldLeaving = make(map[string]time.Time)
	}
	if _, ok := u.toldLeaving[n.name]; !ok {
		u.toldLeaving[n.name] = time.Now()
	}
	return "Leaving: 1\r\n"
}

// deliverLeaving delivers the reports of an entry to the assigned entries that it sees.
func (c *cluster) deliverLeaving(n *clusterNode, reports []forwarder.LeavingReport, delay time.Duration) {
	time.Sleep(delay)
	for _, m := range n.membership().assignedAll("s") {
		to := c.node(m.Name)
		if to == nil || to == n || !c.reachable(n, to) {
			continue
		}
		if err := to.forwarder.ApplyLeavingReports(n.name, reports); err != nil {
			c.t.Error(err)
		}
	}
}

// setLeaving makes the first n upstreams say that they leave, while they serve on and their
// records say that they are ready.
func (c *cluster) setLeaving(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range n {
		c.upstream[fmt.Sprint("u", i)].leaving = true
	}
}

// checkLeaving checks that no entry sent a request to an upstream later than drainTime after
// it was told that this leaves. It returns the number of entries that each was told of.
func (c *cluster) checkLeaving() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	told := make(map[string]int)
	for id, u := range c.upstream {
		late := 0
		for _, a := range u.arrivals {
			if at, ok := u.toldLeaving[a.entry]; ok && a.at.Sub(at) > drainTime {
				late++
			}
		}
		if late > 0 {
			c.t.Errorf("%s: got: %d requests of entries that were told that it leaves want: none", id, late)
		}
		if len(u.toldLeaving) > 0 {
			told[id] = len(u.toldLeaving)
		}
	}
	return told
}

// TestRequestsToLeavingUpstreams has upstreams say that they leave, while their records say
// that they are ready and they serve on, and entries join, are killed, frozen and cut off: no
// entry that was told may use them, few entries need to be told, and callers are served.
func TestRequestsToLeavingUpstreams(t *testing.T) {
	for seed, tt := range []struct {
		entries, upstreams, leaving int
		faulty                      bool
		served                      float64
	}{
		{entries: 1, upstreams: 6, leaving: 2, served: 1},
		{entries: 6, upstreams: 12, leaving: 6, faulty: true, served: 0.99},
		{entries: 40, upstreams: 24, leaving: 8, served: 1},
		{entries: 40, upstreams: 24, leaving: 20, faulty: true, served: 0.99},
	} {
		t.Run(fmt.Sprintf("entries=%d,leaving=%d of %d,faulty=%v", tt.entries, tt.leaving, tt.upstreams, tt.faulty), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 600+uint64(seed), tt.upstreams)
				defer c.close()
				for range tt.entries {
					c.add()
				}
				time.Sleep(4 * time.Second)
				c.load(2*time.Second, 300)
				c.setLeaving(tt.leaving)
				sent, served := c.counts()
				for range 8 {
					if tt.faulty {
						c.fault()
					}
					c.load(2*time.Second, 300)
				}
				time.Sleep(2 * time.Second)
				told := c.checkLeaving()
				c.t.Logf("entries told by an upstream itself: %v", told)
				if len(told) == 0 {
					t.Error("got: no upstream that was used while it left want: some")
				}
				c.checkShare(sent, served, tt.served)
			})
		})
	}
}

// TestStatementsTogether has upstreams state rate limits, ask for pauses and say that they
// leave, partly the same ones, while entries join, are killed, frozen and cut off: each
// statement must be kept as it is alone.
func TestStatementsTogether(t *testing.T) {
	for seed, n := range []int{8, 40} {
		t.Run(fmt.Sprint("entries=", n), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 700+uint64(seed), 24)
				defer c.close()
				for range n {
					c.add()
				}
				time.Sleep(4 * time.Second)
				c.load(2*time.Second, 200)
				c.setPauses(10, 0.4, 3*time.Second, false)
				c.setLimits(4, 3, true)
				c.load(8*time.Second, 200)
				c.setLeaving(5)
				sent, served := c.counts()
				for range 10 {
					c.fault()
					c.load(2*time.Second, 200)
				}
				time.Sleep(2 * time.Second)
				c.checkPauses()
				c.checkRepeats()
				c.checkLeaving()
				c.checkLimits(4, 3)
				c.checkShare(sent, served, 0.95)
			})
		})
	}
}
