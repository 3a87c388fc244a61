package bencher

import (
	"strconv"
	"time"

	"poplarwind/dispatcher"
	"poplarwind/prober"
)

const (
	probeInterval   = 100 * time.Millisecond
	probeStaleAfter = time.Second
	probeLatency    = 6 * time.Millisecond
)

// entry simulates an entry: it drives one dispatcher.
type entry struct {
	sim        *sim
	domain     int
	dispatcher *dispatcher.Dispatcher
	budget     *prober.Budget
}

// call is the state of one call at an entry.
type call struct {
	dispatcher.Call
	kind callKind
	// startedAt is the virtual time of arrival, since the simulation's start.
	startedAt time.Duration
	// work is the time that the call takes at full speed.
	work time.Duration
	// inFlight holds the attempts in flight.
	inFlight []*work
	done     bool
}

// submit simulates the arrival of a call of the kind with the given work.
func (e *entry) submit(k callKind, w time.Duration) {
	c := &call{kind: k, startedAt: e.sim.now, work: w}
	c.Tag = c
	c.Reset(k.class, e.sim.clock().Add(k.deadline), k.repeatable)
	if e.dispatcher.Submit(e.sim.clock(), &c.Call) != nil {
		e.sim.count(k, c.startedAt, false, true)
		return
	}
	e.sim.after(k.deadline, func() { e.expire(c) })
	e.pump()
}

// expire ends a call that is still pending at its deadline.
func (e *entry) expire(c *call) {
	if !c.done {
		queued := e.dispatcher.Cancel(&c.Call) && len(c.inFlight) == 0
		e.finish(c, false, queued)
		e.pump()
	}
}

// finish responds to the caller and cancels the attempts in flight.
func (e *entry) finish(c *call, answered, rejected bool) {
	c.done = true
	e.dispatcher.Cancel(&c.Call)
	for _, w := range c.inFlight {
		w.done = true
		e.dispatcher.Finish(e.sim.clock(), w.attempt, dispatcher.Canceled, -1)
		v := e.serverOf(w)
		e.sim.after(e.sim.delay(e.domain, v.domain), func() { v.cancel(w) })
	}
	c.inFlight = nil
	e.sim.count(c.kind, c.startedAt, answered, rejected)
}

// serverOf returns the server of an attempt.
func (e *entry) serverOf(w *work) *server {
	id, err := strconv.Atoi(w.attempt.Server().Addr())
	if err != nil {
		panic("bencher: address of server is not its ID")
	}
	return e.sim.servers[id]
}

// pump executes the orders of the dispatcher until there is none.
func (e *entry) pump() {
	for {
		o, ok := e.dispatcher.Next(e.sim.clock())
		if !ok {
			return
		}
		c := o.Call().Tag.(*call)
		if o.Attempt() == nil {
			if len(c.inFlight) == 0 {
				e.finish(c, false, true)
			}
			continue
		}
		w := &work{attempt: o.Attempt(), entry: e, remaining: c.work}
		c.inFlight = append(c.inFlight, w)
		v := e.serverOf(w)
		e.sim.after(e.sim.delay(e.domain, v.domain), func() { v.arrive(w) })
		if d := e.dispatcher.HedgeDelay(c.kind.class); c.Attempts() == 1 && d > 0 {
			e.sim.after(d, func() {
				if !c.done {
					e.dispatcher.RequestHedge(&c.Call)
					e.pump()
				}
			})
		}
	}
}

// handleResponse processes the response of a server, which reports its load and
// whether it is draining.
func (e *entry) handleResponse(w *work, r dispatcher.Result, load int, draining bool) {
	if w.done {
		return
	}
	w.done = true
	c := w.attempt.Call().Tag.(*call)
	c.inFlight = remove(c.inFlight, w)
	now := e.sim.clock()
	e.dispatcher.Finish(now, w.attempt, r, load)
	if draining {
		e.dispatcher.MarkDraining(w.attempt.Server().Name())
	}
	switch {
	case r == dispatcher.Completed:
		e.finish(c, true, false)
	case len(c.inFlight) > 0 || e.dispatcher.RequestRetry(now, &c.Call, false):
	default:
		e.finish(c, false, false)
	}
	e.pump()
}

// probe sends load probes to the servers that this entry owns and that have not
// responded recently, and schedules the next round.
func (e *entry) probe() {
	now := e.sim.clock()
	for i, s := range e.dispatcher.Servers() {
		if !s.Owned() || !prober.Due(now, s, probeStaleAfter) || !e.budget.Allow(now) {
			continue
		}
		v := e.sim.servers[i]
		e.sim.after(probeLatency, func() {
			r := dispatcher.ProbeResult{OK: !v.down, Draining: v.draining, Load: v.load()}
			e.dispatcher.RecordProbe(e.sim.clock(), s.Name(), r)
			e.pump()
		})
	}
	if e.sim.now < warmUp+e.sim.trial.Duration {
		e.sim.after(probeInterval, e.probe)
	}
	e.pump()
}
