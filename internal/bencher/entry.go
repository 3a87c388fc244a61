package bencher

import (
	"strconv"
	"time"

	"poplarwind/dispatcher"
	"poplarwind/prober"
)

const (
	probeEvery = 100 * time.Millisecond
	probeStale = time.Second
	probeTime  = 6 * time.Millisecond
)

// entry drives one dispatcher.
type entry struct {
	sim      *sim
	domain   int
	dispatch *dispatcher.Dispatcher
	budget   *prober.Budget
}

// call is one call at an entry.
type call struct {
	dispatcher.Call
	kind  kind
	began time.Duration
	work  time.Duration
	// flight holds attempts under way.
	flight []*work
	over   bool
}

func (e *entry) submit(k kind, w time.Duration) {
	c := &call{kind: k, began: e.sim.now, work: w}
	c.Tag = c
	c.Reset(k.class, e.sim.clock().Add(k.deadline), k.repeat)
	if e.dispatch.Submit(e.sim.clock(), &c.Call) != nil {
		e.sim.count(k, c.began, false, true)
		return
	}
	e.sim.after(k.deadline, func() { e.expire(c) })
	e.pump()
}

// expire ends a call at its deadline.
func (e *entry) expire(c *call) {
	if !c.over {
		waited := e.dispatch.Withdraw(&c.Call) && len(c.flight) == 0
		e.end(c, false, waited)
		e.pump()
	}
}

// end gives the caller its answer and cancels what is left.
func (e *entry) end(c *call, answered, refused bool) {
	c.over = true
	e.dispatch.Withdraw(&c.Call)
	for _, w := range c.flight {
		w.over = true
		e.dispatch.Finish(e.sim.clock(), w.attempt, dispatcher.Dropped, -1)
		v := e.serverOf(w)
		e.sim.after(e.sim.delay(e.domain, v.domain), func() { v.cancel(w) })
	}
	c.flight = nil
	e.sim.count(c.kind, c.began, answered, refused)
}

func (e *entry) serverOf(w *work) *server {
	id, err := strconv.Atoi(w.attempt.Server().Addr())
	if err != nil {
		panic("bencher: server's address is not its number")
	}
	return e.sim.servers[id]
}

// pump carries out orders.
func (e *entry) pump() {
	for {
		o, ok := e.dispatch.Next(e.sim.clock())
		if !ok {
			return
		}
		c := o.Call().Tag.(*call)
		if o.Attempt() == nil {
			if len(c.flight) == 0 {
				e.end(c, false, true)
			}
			continue
		}
		w := &work{attempt: o.Attempt(), entry: e, left: c.work}
		c.flight = append(c.flight, w)
		v := e.serverOf(w)
		e.sim.after(e.sim.delay(e.domain, v.domain), func() { v.arrive(w) })
		if d := e.dispatch.HedgeDelay(c.kind.class); c.Tries() == 1 && d > 0 {
			e.sim.after(d, func() {
				if !c.over {
					e.dispatch.AskHedge(&c.Call)
					e.pump()
				}
			})
		}
	}
}

// ended takes in a server's answer.
func (e *entry) ended(w *work, r dispatcher.Result, load int, leaving bool) {
	if w.over {
		return
	}
	w.over = true
	c := w.attempt.Call().Tag.(*call)
	c.flight = without(c.flight, w)
	now := e.sim.clock()
	e.dispatch.Finish(now, w.attempt, r, load)
	if leaving {
		e.dispatch.Leave(w.attempt.Server().Name())
	}
	switch {
	case r == dispatcher.Answered:
		e.end(c, true, false)
	case len(c.flight) > 0 || e.dispatch.AskRetry(now, &c.Call, false):
	default:
		e.end(c, false, false)
	}
	e.pump()
}

// probe looks after servers that answers tell nothing of.
func (e *entry) probe() {
	now := e.sim.clock()
	for i, s := range e.dispatch.Servers() {
		if !s.Home() || !prober.Due(now, s, probeStale) || !e.budget.Pay(now) {
			continue
		}
		v := e.sim.servers[i]
		e.sim.after(probeTime, func() {
			f := dispatcher.Finding{OK: !v.gone, Leaving: v.leave, Load: v.load()}
			e.dispatch.Probed(e.sim.clock(), s.Name(), f)
			e.pump()
		})
	}
	if e.sim.now < warmUp+e.sim.trial.For {
		e.sim.after(probeEvery, e.probe)
	}
	e.pump()
}
