package dispatcher

import (
	"time"

	"poplarwind/limiter"
	"poplarwind/parser"
	"poplarwind/picker"
)

// Options set a Dispatcher. The zero value means one slot a server, no
// waiting beyond the queue's default, no hedges and no retries.
type Options struct {
	// Slots is how many calls a server runs at once, 0 meaning 1.
	Slots int
	// Queue is how many calls may wait, 0 meaning 256.
	Queue int
	// Hedge and Retry are the shares of calls that may be hedged or retried.
	Hedge, Retry float64
	// Policy chooses servers, nil meaning picker.Slotted.
	Policy picker.Policy[*Server]
}

const defaultQueue = 256

// Dispatcher is the state of one service at one entry.
type Dispatcher struct {
	options Options
	policy  picker.Policy[*Server]
	// servers holds each server once.
	servers []*Server
	// queues hold waiting calls by class; hedges holds calls that run and
	// wait for a second server.
	queues [parser.Classes]limiter.List[*Call]
	hedges limiter.List[*Call]
	// waiting counts the calls in queues.
	waiting                  int
	hedgeBudget, retryBudget limiter.Budget
	// typical and slow hold each class's average latency and the estimate of
	// its hedge quantile.
	typical, slow [parser.Classes]time.Duration
	// request is reused for each choice; its predicate is about current.
	request picker.Request[*Server]
	current *Call
	counts  Counts
	// ahead is what servers were last set to.
	ahead int
	// sick counts servers that are, as of the last look.
	sick int
	// trial is a running call and the server that is to be tried out with it
	// next, nil if there is none.
	trial struct {
		call   *Call
		server *Server
	}
}

// Counts are totals since the start.
type Counts struct {
	// Calls counts submitted calls, Refused those not sent at all.
	Calls, Refused int64
	// Firsts, Retries and Hedges count attempts.
	Firsts, Retries, Hedges int64
	// Failed counts attempts that ended in a failure.
	Failed int64
}

// New returns a dispatcher without servers.
func New(o Options) *Dispatcher {
	d := &Dispatcher{}
	d.Configure(o)
	d.request.Skip = func(s *Server) bool { return d.current.tried(s) }
	return d
}

// Configure changes the options. Calls that wait or run are kept.
func (d *Dispatcher) Configure(o Options) {
	o.Slots = max(1, o.Slots)
	if o.Queue == 0 {
		o.Queue = defaultQueue
	}
	d.options = o
	if o.Policy != nil {
		d.policy = o.Policy
	} else if d.policy == nil {
		d.policy = &picker.Slotted[*Server]{}
	}
	for _, s := range d.servers {
		s.slots = o.Slots
		s.shadowed = o.Hedge > 0
		s.ramp = max(s.ramp, 1)
	}
}

// Submit takes in a new call, which then waits for Next. It returns ErrFull
// if too many calls of its class or a class before it wait.
func (d *Dispatcher) Submit(now time.Time, c *Call) error {
	d.counts.Calls++
	d.hedgeBudget.Earn(d.options.Hedge)
	d.retryBudget.Earn(d.options.Retry)
	if err := d.admit(now, c); err != nil {
		d.counts.Refused++
		return err
	}
	d.queues[c.class].Push(&c.node)
	d.waiting++
	return nil
}

// admit refuses a call that can't be answered in time, or that finds the queue
// full of calls of its own class and earlier ones: later classes don't count,
// so that they never keep a call out.
func (d *Dispatcher) admit(now time.Time, c *Call) error {
	if !now.Add(d.typical[c.class] / 2).Before(c.deadline) {
		return ErrLate
	}
	ahead := 0
	for k := parser.Class(0); k <= c.class; k++ {
		ahead += d.queues[k].Len()
	}
	if ahead >= d.options.Queue {
		return ErrFull
	}
	return nil
}

// Next returns the next order, or false when there is nothing to do until
// time passes or an attempt ends.
func (d *Dispatcher) Next(now time.Time) (Order, bool) {
	if o, ok := d.nextTrial(now); ok {
		return o, true
	}
	d.setAhead()
	for k := range d.queues {
		if o, ok := d.nextOf(now, &d.queues[k]); ok {
			d.waiting--
			return o, true
		}
		if d.queues[k].Len() > 0 {
			// Nothing is free for an earlier class: later ones wait too.
			return Order{}, false
		}
	}
	return d.nextHedge(now)
}

// aheadPart is the part of all slots that must be waited for before servers are
// sent calls ahead.
const aheadPart = 0.25

// setAhead lets servers be sent a call ahead while many wait.
func (d *Dispatcher) setAhead() {
	ahead := 0
	if float64(d.waiting) > aheadPart*float64(len(d.servers)*d.options.Slots) {
		ahead = 1
	}
	if ahead == d.ahead {
		return
	}
	d.ahead = ahead
	for _, s := range d.servers {
		s.ahead = ahead
	}
}

// nextOf finds the first call of a queue that can be sent or must be refused.
func (d *Dispatcher) nextOf(now time.Time, q *limiter.List[*Call]) (Order, bool) {
	for n := q.Front(); n != nil; n = n.Next() {
		c := n.Value
		if d.hopeless(now, c) {
			q.Remove(n)
			d.counts.Refused++
			return Order{call: c, err: ErrLate}, true
		}
		s := d.pick(now, c)
		if s != nil {
			q.Remove(n)
			d.planTrial(now, c)
			return d.order(now, c, s), true
		}
		if c.tries == 0 {
			return Order{}, false
		}
	}
	return Order{}, false
}

// hopeless reports whether a call that waits can't be answered in time any
// more.
func (d *Dispatcher) hopeless(now time.Time, c *Call) bool {
	return !now.Add(d.typical[c.class] / 2).Before(c.deadline)
}

func (d *Dispatcher) pick(now time.Time, c *Call) *Server {
	d.current = c
	d.request.Now = now
	d.request.Servers = d.servers
	i := d.policy.Pick(&d.request)
	if i == picker.None {
		return nil
	}
	return d.servers[i]
}

func (d *Dispatcher) order(now time.Time, c *Call, s *Server) Order {
	a := &c.attempts[c.tries]
	c.tries++
	*a = Attempt{call: c, server: s, kind: c.want, start: now, typical: d.typical[c.class]}
	a.node.Value = a
	s.running.Push(&a.node)
	s.own++
	switch a.kind {
	case First:
		d.counts.Firsts++
	case Retry:
		d.counts.Retries++
	case Hedge:
		d.counts.Hedges++
	}
	return Order{call: c, attempt: a}
}

// Finish ends an attempt. Load is what the server told of its load, negative
// if nothing.
func (d *Dispatcher) Finish(now time.Time, a *Attempt, r Result, load int) {
	s := a.server
	s.running.Remove(&a.node)
	s.own--
	if load >= 0 {
		s.report(now, load)
	}
	latency := now.Sub(a.start)
	switch r {
	case Answered:
		s.heardAt = now
		sick := s.sick()
		s.good(latency)
		if sick {
			d.keepFloor(now)
		}
		d.learn(a.call.class, latency)
	case Failed:
		d.counts.Failed++
		s.bad(now)
		d.keepFloor(now)
	case Shed:
		s.heardAt = now
		s.report(now, max(load, s.slots))
	case Dropped:
		if a.overdue(now) && !s.heardAt.After(a.start) {
			// Nothing came from the server since: it may be gone.
			d.counts.Failed++
			s.bad(now)
			d.keepFloor(now)
		}
	}
}

// learn moves a class's average and hedge quantile towards a new latency.
func (d *Dispatcher) learn(k parser.Class, latency time.Duration) {
	d.typical[k] = average(d.typical[k], latency)
	step := float64(d.typical[k]) / 16
	if latency > d.slow[k] {
		d.slow[k] += time.Duration(step * hedgeQuantile)
	} else {
		d.slow[k] -= time.Duration(step * (1 - hedgeQuantile))
	}
}

// Withdraw takes a call out of every queue, for instance because its caller
// left. It reports whether the call waited for its first or next server.
func (d *Dispatcher) Withdraw(c *Call) bool {
	if d.hedges.Remove(&c.node) {
		return false
	}
	if d.queues[c.class].Remove(&c.node) {
		d.waiting--
		return true
	}
	return false
}

// Waiting returns how many calls wait for a server.
func (d *Dispatcher) Waiting() int { return d.waiting }

// Counts returns the totals.
func (d *Dispatcher) Counts() Counts { return d.counts }

// Typical returns the average latency of a class.
func (d *Dispatcher) Typical(k parser.Class) time.Duration { return d.typical[k] }
