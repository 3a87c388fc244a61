package dispatcher

import (
	"time"

	"poplarwind/limiter"
	"poplarwind/parser"
	"poplarwind/picker"
)

// Options configures a Dispatcher. The zero value selects one slot per server,
// the default queue size, no hedges and no retries.
type Options struct {
	// Slots is the number of calls that a server runs concurrently; 0 means 1.
	Slots int
	// QueueLimit is the maximum number of waiting calls; 0 means 256.
	QueueLimit int
	// HedgeRatio and RetryRatio are the fractions of calls that may be hedged
	// or retried.
	HedgeRatio, RetryRatio float64
	// Policy selects servers; nil means picker.FreeSlot.
	Policy picker.Policy[*Server]
}

const defaultQueue = 256

// Dispatcher schedules the calls of one service at one entry.
type Dispatcher struct {
	options Options
	policy  picker.Policy[*Server]
	// servers holds no server twice.
	servers []*Server
	// queues holds the waiting calls by class, and hedges the running calls
	// that wait for a second server.
	queues [parser.NumClasses]limiter.List[*Call]
	hedges limiter.List[*Call]
	// waiting counts the calls in queues.
	waiting                  int
	hedgeBudget, retryBudget limiter.TokenBudget
	// meanLatency and tailLatency hold, for each class, the moving average of
	// the latency and an estimate of its hedgeQuantile.
	meanLatency, tailLatency [parser.NumClasses]time.Duration
	// request is reused for each pick. Its Skip function refers to current.
	request picker.Request[*Server]
	current *Call
	counts  Counts
	// overcommit is the value last set on all servers.
	overcommit int
	// failing is the number of failing servers, as of the last updateEjection.
	failing int
	// trial is the scheduled trial of an ejected server: the next order sends
	// call, which is already running, to server as well. Both are nil if no trial
	// is scheduled.
	trial struct {
		call   *Call
		server *Server
	}
}

// Counts holds the totals since the dispatcher was created.
type Counts struct {
	// Calls counts the submitted calls, and Rejected the rejected ones.
	Calls, Rejected int64
	// Firsts, Retries and Hedges count attempts by kind.
	Firsts, Retries, Hedges int64
	// Failed counts the attempts that ended in a failure.
	Failed int64
}

// New returns a dispatcher without servers.
func New(o Options) *Dispatcher {
	d := &Dispatcher{}
	d.Configure(o)
	d.request.Skip = func(s *Server) bool { return d.current.tried(s) }
	return d
}

// Configure changes the options. Waiting and running calls are kept.
func (d *Dispatcher) Configure(o Options) {
	o.Slots = max(1, o.Slots)
	if o.QueueLimit == 0 {
		o.QueueLimit = defaultQueue
	}
	d.options = o
	if o.Policy != nil {
		d.policy = o.Policy
	} else if d.policy == nil {
		d.policy = &picker.FreeSlot[*Server]{}
	}
	for _, s := range d.servers {
		s.slots = o.Slots
		s.hedgeTrials = o.HedgeRatio > 0
		s.rampLimit = max(s.rampLimit, 1)
	}
}

// Submit queues a new call. It returns ErrLate if the deadline cannot be met,
// and ErrFull if the queue is full of calls of the same or a higher priority.
func (d *Dispatcher) Submit(now time.Time, c *Call) error {
	d.counts.Calls++
	d.hedgeBudget.Earn(d.options.HedgeRatio)
	d.retryBudget.Earn(d.options.RetryRatio)
	if err := d.admit(now, c); err != nil {
		d.counts.Rejected++
		return err
	}
	d.queues[c.class].Push(&c.node)
	d.waiting++
	return nil
}

// admit rejects a call that cannot complete before its deadline, or for which
// the queue is full. Only calls of its own class and classes of higher priority
// count, so that calls of lower priority never block it.
func (d *Dispatcher) admit(now time.Time, c *Call) error {
	if !now.Add(d.meanLatency[c.class] / 2).Before(c.deadline) {
		return ErrLate
	}
	queued := 0
	for k := parser.Class(0); k <= c.class; k++ {
		queued += d.queues[k].Len()
	}
	if queued >= d.options.QueueLimit {
		return ErrFull
	}
	return nil
}

// Next returns the next order, or false if there is none until time passes or an
// attempt ends.
func (d *Dispatcher) Next(now time.Time) (Order, bool) {
	if o, ok := d.nextTrial(now); ok {
		return o, true
	}
	d.updateOvercommit()
	for k := range d.queues {
		if o, ok := d.nextQueued(now, &d.queues[k]); ok {
			d.waiting--
			return o, true
		}
		if d.queues[k].Len() > 0 {
			// No server is free for this class: lower priorities wait as well.
			return Order{}, false
		}
	}
	return d.nextHedge(now)
}

// overcommitRatio is the ratio of waiting calls to all slots above which servers
// are overcommitted.
const overcommitRatio = 0.25

// updateOvercommit allows one call per server beyond its slots while many calls
// wait.
func (d *Dispatcher) updateOvercommit() {
	overcommit := 0
	if float64(d.waiting) > overcommitRatio*float64(len(d.servers)*d.options.Slots) {
		overcommit = 1
	}
	if overcommit == d.overcommit {
		return
	}
	d.overcommit = overcommit
	for _, s := range d.servers {
		s.overcommit = overcommit
	}
}

// nextQueued finds the first call of a queue that can be sent or must be
// rejected.
func (d *Dispatcher) nextQueued(now time.Time, q *limiter.List[*Call]) (Order, bool) {
	for n := q.Front(); n != nil; n = n.Next() {
		c := n.Value
		if d.tooLate(now, c) {
			q.Remove(n)
			d.counts.Rejected++
			return Order{call: c, err: ErrLate}, true
		}
		s := d.pick(now, c)
		if s != nil {
			q.Remove(n)
			d.scheduleTrial(now, c)
			return d.startAttempt(now, c, s), true
		}
		if c.numAttempts == 0 {
			return Order{}, false
		}
	}
	return Order{}, false
}

// tooLate reports whether a waiting call can no longer complete before its
// deadline. It assumes that the call needs at least half of the average latency.
func (d *Dispatcher) tooLate(now time.Time, c *Call) bool {
	return !now.Add(d.meanLatency[c.class] / 2).Before(c.deadline)
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

func (d *Dispatcher) startAttempt(now time.Time, c *Call, s *Server) Order {
	a := &c.attempts[c.numAttempts]
	c.numAttempts++
	*a = Attempt{call: c, server: s, kind: c.nextKind, start: now, meanLatency: d.meanLatency[c.class]}
	a.node.Value = a
	s.running.Push(&a.node)
	s.inFlight++
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

// Finish ends an attempt. load is the load that the server reported, or negative
// if it reported none.
func (d *Dispatcher) Finish(now time.Time, a *Attempt, r Result, load int) {
	s := a.server
	s.running.Remove(&a.node)
	s.inFlight--
	if load >= 0 {
		s.recordReport(now, load)
	}
	latency := now.Sub(a.start)
	switch r {
	case Completed:
		s.lastResponse = now
		wasFailing := s.failing()
		s.recordSuccess(latency)
		if wasFailing {
			d.updateEjection(now)
		}
		d.updateLatency(a.call.class, latency)
	case Failed:
		d.counts.Failed++
		s.recordFailure(now)
		d.updateEjection(now)
	case Shed:
		s.lastResponse = now
		s.recordReport(now, max(load, s.slots))
	case Canceled:
		if a.overdue(now) && !s.lastResponse.After(a.start) {
			// The server has not responded since the start of the attempt and
			// may be down.
			d.counts.Failed++
			s.recordFailure(now)
			d.updateEjection(now)
		}
	}
}

// updateLatency updates a class's average latency and quantile estimate with a
// new sample.
func (d *Dispatcher) updateLatency(k parser.Class, latency time.Duration) {
	d.meanLatency[k] = ewma(d.meanLatency[k], latency)
	step := float64(d.meanLatency[k]) / 16
	if latency > d.tailLatency[k] {
		d.tailLatency[k] += time.Duration(step * hedgeQuantile)
	} else {
		d.tailLatency[k] -= time.Duration(step * (1 - hedgeQuantile))
	}
}

// Cancel removes a call from all queues, for example when its caller has
// disconnected. It reports whether the call waited for its first attempt or a
// retry.
func (d *Dispatcher) Cancel(c *Call) bool {
	if d.hedges.Remove(&c.node) {
		return false
	}
	if d.queues[c.class].Remove(&c.node) {
		d.waiting--
		return true
	}
	return false
}

// Waiting returns the number of calls that wait for a server. It excludes those
// that wait for a hedge.
func (d *Dispatcher) Waiting() int { return d.waiting }

// Counts returns the totals.
func (d *Dispatcher) Counts() Counts { return d.counts }

// MeanLatency returns the average latency of a class.
func (d *Dispatcher) MeanLatency(k parser.Class) time.Duration { return d.meanLatency[k] }
