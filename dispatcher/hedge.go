package dispatcher

import (
	"time"

	"poplarwind/parser"
)

const (
	// hedgeQuantile is the part of answers that come before a hedge.
	hedgeQuantile = 0.95
	minHedgeDelay = time.Millisecond
)

func (d *Dispatcher) nextHedge(now time.Time) (Order, bool) {
	for n := d.hedges.Front(); n != nil; n = d.hedges.Front() {
		if !d.hedgeBudget.Ready() {
			return Order{}, false
		}
		c := n.Value
		if d.hopeless(now, c) {
			d.hedges.Remove(n)
			continue
		}
		s := d.pick(now, c)
		if s == nil {
			return Order{}, false
		}
		d.hedges.Remove(n)
		d.hedgeBudget.Spend()
		return d.order(now, c, s), true
	}
	return Order{}, false
}

// planTrial makes a call that may run twice try out a server after its
// ejection, beside its own attempt.
func (d *Dispatcher) planTrial(now time.Time, c *Call) {
	if d.sick == 0 || !c.repeat || c.tries > 0 || !d.hedgeBudget.Ready() {
		return
	}
	for _, s := range d.servers {
		if s.onTrial(now) {
			d.trial.call, d.trial.server = c, s
			return
		}
	}
}

func (d *Dispatcher) nextTrial(now time.Time) (Order, bool) {
	c, s := d.trial.call, d.trial.server
	d.trial.call, d.trial.server = nil, nil
	if c == nil || c.tries != 1 || c.Waiting() || c.tried(s) {
		return Order{}, false
	}
	d.hedgeBudget.Spend()
	c.want = Hedge
	return d.order(now, c, s), true
}

// HedgeDelay returns how long after its start a call of the class is worth a
// hedge, or 0 if none is.
func (d *Dispatcher) HedgeDelay(k parser.Class) time.Duration {
	if d.options.Hedge == 0 || d.typical[k] == 0 {
		return 0
	}
	return max(minHedgeDelay, d.slow[k], d.typical[k])
}

// AskHedge makes a running call wait for a second server. It does nothing
// for a call that must not run twice.
func (d *Dispatcher) AskHedge(c *Call) {
	if !c.repeat || c.tries != 1 || c.Waiting() {
		return
	}
	c.want = Hedge
	d.hedges.Push(&c.node)
}

// AskRetry makes a call whose attempts have all ended wait for another
// server. Unsent says that none of its bytes reached a server, so that even
// a call that must not run twice may be tried again. It reports whether the
// call waits now.
func (d *Dispatcher) AskRetry(now time.Time, c *Call, unsent bool) bool {
	if c.Waiting() {
		d.hedges.Remove(&c.node)
	}
	if c.tries >= maxAttempts || d.hopeless(now, c) {
		return false
	}
	if !unsent && (!c.repeat || !d.retryBudget.Spend()) {
		return false
	}
	c.want = Retry
	d.queues[c.class].Push(&c.node)
	d.waiting++
	return true
}
