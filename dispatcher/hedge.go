package dispatcher

import (
	"time"

	"poplarwind/parser"
)

const (
	// hedgeQuantile is the latency quantile after which a call is hedged.
	hedgeQuantile = 0.95
	minHedgeDelay = time.Millisecond
)

func (d *Dispatcher) nextHedge(now time.Time) (Order, bool) {
	for n := d.hedges.Front(); n != nil; n = d.hedges.Front() {
		if !d.hedgeBudget.Ready() {
			return Order{}, false
		}
		c := n.Value
		if d.tooLate(now, c) {
			d.hedges.Remove(n)
			continue
		}
		s := d.pick(now, c)
		if s == nil {
			return Order{}, false
		}
		d.hedges.Remove(n)
		d.hedgeBudget.Spend()
		return d.startAttempt(now, c, s), true
	}
	return Order{}, false
}

// scheduleTrial schedules a second attempt of a repeatable call, in parallel
// with its first one, to an ejected server whose backoff has elapsed.
func (d *Dispatcher) scheduleTrial(now time.Time, c *Call) {
	if d.failing == 0 || !c.repeatable || c.numAttempts > 0 || !d.hedgeBudget.Ready() {
		return
	}
	for _, s := range d.servers {
		if s.trialDue(now) {
			d.trial.call, d.trial.server = c, s
			return
		}
	}
}

func (d *Dispatcher) nextTrial(now time.Time) (Order, bool) {
	c, s := d.trial.call, d.trial.server
	d.trial.call, d.trial.server = nil, nil
	if c == nil || c.numAttempts != 1 || c.Waiting() || c.tried(s) {
		return Order{}, false
	}
	d.hedgeBudget.Spend()
	c.nextKind = Hedge
	return d.startAttempt(now, c, s), true
}

// HedgeDelay returns the time after its start at which a call of the class
// should be hedged, or 0 if hedging is disabled or no latency has been recorded.
func (d *Dispatcher) HedgeDelay(k parser.Class) time.Duration {
	if d.options.HedgeRatio == 0 || d.meanLatency[k] == 0 {
		return 0
	}
	return max(minHedgeDelay, d.tailLatency[k], d.meanLatency[k])
}

// RequestHedge queues a running call for a second server. It has no effect unless
// the call is repeatable, is not waiting and has had exactly one attempt.
func (d *Dispatcher) RequestHedge(c *Call) {
	if !c.repeatable || c.numAttempts != 1 || c.Waiting() {
		return
	}
	c.nextKind = Hedge
	d.hedges.Push(&c.node)
}

// RequestRetry queues a call whose attempts have all ended for another server.
// notRun indicates that no server ran the call: no server received any of its
// bytes, or those that did rejected it without running it. The retry is then
// allowed even if the call is not repeatable, and does not use the retry budget.
// RequestRetry reports whether the call was queued.
func (d *Dispatcher) RequestRetry(now time.Time, c *Call, notRun bool) bool {
	if c.Waiting() {
		d.hedges.Remove(&c.node)
	}
	if c.numAttempts >= maxAttempts || d.tooLate(now, c) {
		return false
	}
	if !notRun && (!c.repeatable || !d.retryBudget.Spend()) {
		return false
	}
	c.nextKind = Retry
	d.queues[c.class].Push(&c.node)
	d.waiting++
	return true
}
