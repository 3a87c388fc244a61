package relayer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/dispatcher"
	"poplarwind/internal/inspector"
	"poplarwind/parser"
)

//go:generate go tool stringer -type=Ran -linecomment -output=ran_string.go

// Ran indicates whether a call ran.
type Ran int

// The values of HeaderRan.
const (
	// RanNo means that the call did not run and never will.
	RanNo Ran = iota // no
	// RanUnknown means that the call may have run or may still run.
	RanUnknown // unknown
	// RanYes means that a server responded to the call.
	RanYes // yes
)

const (
	errDisconnected = errors.ConstError("caller left")
	errTimeout      = errors.ConstError("deadline passed")
	errNoResponse   = errors.ConstError("no server gave a whole answer")
)

const (
	// disconnectCheckDelay is the time before the first check whether the
	// caller has disconnected, and disconnectCheckInterval the time between
	// checks.
	disconnectCheckDelay    = 20 * time.Millisecond
	disconnectCheckInterval = 50 * time.Millisecond
	// queuePollInterval is the interval at which a waiting call polls the
	// dispatcher for orders, since a server can become usable by the passage of
	// time alone.
	queuePollInterval = 10 * time.Millisecond
)

// event is an order of the dispatcher or the result of an attempt.
type event struct {
	order  dispatcher.Order
	result *attemptResult
}

// eventBuffer is at least the number of orders and attempt results of one
// call, so that sending an event never blocks.
const eventBuffer = 16

// exchange is one call from its admission to its response.
type exchange struct {
	relayer    *Relayer
	service    *Service
	ctx        *fasthttp.RequestCtx
	request    *fasthttp.Request
	route      parser.Route
	maxConns   int
	trustsShed bool
	// repeatable is set if the call may run more than once.
	repeatable bool
	deadline   time.Time
	call       dispatcher.Call
	events     chan event
	// inFlight is the number of attempts whose result has not been received.
	inFlight int
	// mayHaveRun is set if an attempt may have reached a server and no
	// response proves that the call did not run.
	mayHaveRun bool
	// fallback is a response with a server fault, used if no attempt succeeds.
	fallback *fasthttp.Response
	// retried is set if the call was retried here or downstream.
	retried bool
}

// callResult is the result of a call.
type callResult struct {
	// resp is the complete response for the caller, nil if there is none.
	resp *fasthttp.Response
	ran  Ran
	err  error
}

// execute runs the call until it has a result and none of its attempts is in
// flight.
func (x *exchange) execute() callResult {
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
	defer cancel()
	if err := x.submit(); err != nil {
		return callResult{err: err}
	}
	res := x.await(ctx)
	x.service.mu.Lock()
	x.service.dispatcher.Cancel(&x.call)
	x.service.mu.Unlock()
	cancel()
	x.drainEvents(&res)
	if res.resp == nil && x.fallback != nil {
		res = callResult{resp: x.fallback, ran: RanYes}
	} else if res.resp == nil && x.mayHaveRun {
		res.ran = RanUnknown
	}
	return res
}

func (x *exchange) submit() error {
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	now := time.Now()
	x.call.Tag = x
	x.call.Reset(x.route.Class(), x.deadline, x.repeatable)
	if err := x.service.dispatcher.Submit(now, &x.call); err != nil {
		return err
	}
	x.service.deliverOrders(now)
	return nil
}

// await handles events until the call has a result.
func (x *exchange) await(ctx context.Context) callResult {
	start := time.Now()
	hedgeAt, checkAt := time.Time{}, start.Add(disconnectCheckDelay)
	timer := time.NewTimer(x.timerDelay(hedgeAt, checkAt))
	defer timer.Stop()
	for {
		select {
		case e := <-x.events:
			res, done := x.handle(ctx, e)
			if done {
				return res
			}
			if e.order.Attempt() != nil && x.repeatable && x.call.Attempts() == 1 {
				hedgeAt = x.hedgeTime()
				timer.Reset(x.timerDelay(hedgeAt, checkAt))
			}
		case <-ctx.Done():
			return callResult{err: errTimeout}
		case <-timer.C:
			now := time.Now()
			if !hedgeAt.IsZero() && !now.Before(hedgeAt) {
				hedgeAt = time.Time{}
				x.service.Update(func(_ time.Time, d *dispatcher.Dispatcher) { d.RequestHedge(&x.call) })
			}
			if !now.Before(checkAt) {
				checkAt = now.Add(disconnectCheckInterval)
				if inspector.Inspect(x.ctx.Conn()) == inspector.Closed {
					return callResult{err: errDisconnected}
				}
			}
			if x.inFlight == 0 {
				x.service.Update(func(time.Time, *dispatcher.Dispatcher) {})
			}
			timer.Reset(x.timerDelay(hedgeAt, checkAt))
		}
	}
}

// timerDelay returns the time after which await must check for a hedge, a
// disconnected caller or, while the call waits, new orders.
func (x *exchange) timerDelay(hedgeAt, checkAt time.Time) time.Duration {
	next := checkAt
	if !hedgeAt.IsZero() && hedgeAt.Before(next) {
		next = hedgeAt
	}
	d := max(0, time.Until(next))
	if x.inFlight == 0 {
		d = min(d, queuePollInterval)
	}
	return d
}

// hedgeTime returns when to hedge the attempt that starts now, or the zero
// time if it is not to be hedged.
func (x *exchange) hedgeTime() time.Time {
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	d := x.service.dispatcher.HedgeDelay(x.route.Class())
	if d == 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// handle processes one event. It returns the result of the call and true once
// the call is finished.
func (x *exchange) handle(ctx context.Context, e event) (callResult, bool) {
	if e.result != nil {
		return x.handleResult(*e.result)
	}
	a := e.order.Attempt()
	if a == nil {
		if x.inFlight > 0 {
			return callResult{}, false
		}
		return callResult{err: e.order.Err()}, true
	}
	x.inFlight++
	if a.Kind() == dispatcher.Retry {
		x.retried = true
	}
	go x.runAttempt(ctx, a)
	return callResult{}, false
}

// handleResult processes the result of an attempt. After the last attempt in
// flight has failed it requests a retry, unless that attempt's response
// indicates that the call was retried already.
func (x *exchange) handleResult(r attemptResult) (callResult, bool) {
	x.inFlight--
	if r.succeeded() {
		return callResult{resp: r.resp, ran: RanYes}, true
	}
	retriedDownstream := r.resp != nil && len(r.resp.Header.Peek(HeaderSpent)) > 0
	x.recordFailure(r)
	if x.inFlight > 0 {
		return callResult{}, false
	}
	x.retried = x.retried || retriedDownstream
	if !retriedDownstream && x.requestRetry(!x.mayHaveRun && x.fallback == nil) {
		return callResult{}, false
	}
	return callResult{err: errNoResponse}, true
}

// recordFailure records the outcome of a failed attempt: its response becomes the
// fallback, or is released if the server shed the call. Without a response, the call
// may have run if bytes of the request were sent.
func (x *exchange) recordFailure(r attemptResult) {
	switch {
	case r.shed:
		fasthttp.ReleaseResponse(r.resp)
	case r.resp != nil:
		if x.fallback != nil {
			fasthttp.ReleaseResponse(x.fallback)
		}
		x.fallback = r.resp
	case r.sent:
		x.mayHaveRun = true
	}
}

// requestRetry requests that the dispatcher queue the call for another server
// and reports whether it did. notRun indicates that no server ran the call.
func (x *exchange) requestRetry(notRun bool) bool {
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	now := time.Now()
	if !x.service.dispatcher.RequestRetry(now, &x.call, notRun) {
		return false
	}
	x.service.deliverOrders(now)
	return true
}

// drainEvents waits for canceled attempts, which read from the request and
// must not outlive it. Attempts ordered in the meantime are not made and are
// reported to the dispatcher as canceled. A success that arrives during the
// wait becomes the result if there is no response yet.
func (x *exchange) drainEvents(res *callResult) {
	for {
		var e event
		if x.inFlight > 0 {
			e = <-x.events
		} else {
			select {
			case e = <-x.events:
			default:
				return
			}
		}
		if e.result == nil {
			if a := e.order.Attempt(); a != nil {
				x.service.finish(a, dispatcher.Canceled, -1, false)
			}
			continue
		}
		x.inFlight--
		switch {
		case e.result.succeeded() && res.resp == nil:
			*res = callResult{resp: e.result.resp, ran: RanYes}
		case e.result.succeeded():
			fasthttp.ReleaseResponse(e.result.resp)
		default:
			x.recordFailure(*e.result)
		}
	}
}
