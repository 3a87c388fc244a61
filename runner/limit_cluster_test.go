package runner

import (
	"fmt"
	"time"

	"poplarwind/forwarder"
)

// deliver delivers the reports of an entry to the others that it sees.
func (c *cluster) deliver(n *clusterNode, reports []forwarder.LimitReport, delay time.Duration) {
	time.Sleep(delay)
	for _, r := range reports {
		c.deliverReport(n, r)
	}
}

// deliverReport delivers one report to its recipients.
func (c *cluster) deliverReport(n *clusterNode, r forwarder.LimitReport) {
	for _, m := range n.membership().limitRecipients(r) {
		to := c.node(m.Name)
		if to == nil || to == n || !c.reachable(n, to) {
			continue
		}
		if err := to.forwarder.ApplyLimitReports(n.name, []forwarder.LimitReport{r}); err != nil {
			c.t.Error(err)
		}
	}
}

// setLimits makes every k-th upstream state a limit.
func (c *cluster) setLimits(k int, rate float64, limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := 0; i < len(c.upstream); i += k {
		u := c.upstream[fmt.Sprint("u", i)]
		u.rate, u.limited = rate, limited
	}
}

// most returns the greatest number of requests in limitWindow that an upstream got from
// entries that had received a response with its limit half a second before. Entries are
// excused until some time after their last fault.
func (c *cluster) most(u *clusterUpstream) int {
	var times []time.Time
	excused := make(map[string]time.Time)
	for _, n := range c.nodes {
		excused[n.name] = n.excused
	}
	for _, a := range u.arrivals {
		told, ok := u.told[a.entry]
		if ok && a.at.Sub(told) >= limitSettleTime && a.at.After(excused[a.entry]) {
			times = append(times, a.at)
		}
	}
	return mostInWindow(times, time.Time{})
}

// checkLimits checks the upstreams that setLimits selected. It returns the number of
// requests that each of them got.
func (c *cluster) checkLimits(k int, rate float64) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	got := make(map[string]int)
	for i := 0; i < len(c.upstream); i += k {
		id := fmt.Sprint("u", i)
		u := c.upstream[id]
		if n := c.most(u); n > limitBound(rate) {
			c.t.Errorf("%s: got: %d requests in %v want: at most %d", id, n, limitWindow, limitBound(rate))
		}
		got[id] = len(u.arrivals)
	}
	return got
}

// checkLifted checks that upstreams that no longer state a limit are used, given the
// number of requests that they got before.
func (c *cluster) checkLifted(before map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range before {
		if n := len(c.upstream[id].arrivals) - n; n < 20 {
			c.t.Errorf("%s: got: %d requests in 10 s after the limit was lifted want: at least 20", id, n)
		}
	}
	c.t.Logf("sent %d served %d failed %d", c.sent, c.served, c.failed)
}
