package relayer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/dispatcher"
	"poplarwind/internal/edge"
	"poplarwind/parser"
)

//go:generate go tool stringer -type=Ran -linecomment -output=ran_string.go

// Ran says whether a call ran.
type Ran int

// What an answer says of its call.
const (
	// RanNo means that the call did not run and never will.
	RanNo Ran = iota // no
	// RanUnknown means that the call may have run, or may still.
	RanUnknown // unknown
	// RanYes means that a server answered the call.
	RanYes // yes
)

const (
	errGone = errors.ConstError("caller left")
	errOver = errors.ConstError("deadline passed")
	errSick = errors.ConstError("no server gave a whole answer")
)

const (
	// goneStart and goneStep space the looks at whether the caller is there.
	goneStart = 20 * time.Millisecond
	goneStep  = 50 * time.Millisecond
	// waitStep is how often a call that waits looks whether time alone has
	// made a server usable.
	waitStep = 10 * time.Millisecond
)

// event is an order of the dispatcher or the end of an attempt.
type event struct {
	order dispatcher.Order
	ended *outcome
}

// maxEvents is at least the orders and ends that one call can see.
const maxEvents = 16

// exchange is one call from its admission to its answer.
type exchange struct {
	relayer    *Relayer
	service    *Service
	ctx        *fasthttp.RequestCtx
	request    *fasthttp.Request
	route      parser.Route
	conns      int
	trustsShed bool
	// repeat says that the call may run more than once.
	repeat   bool
	deadline time.Time
	call     dispatcher.Call
	events   chan event
	// running counts attempts whose end was not seen yet.
	running int
	// sent says that some attempt may have reached a server for which no
	// answer proves the contrary.
	sent bool
	// fallback is a bad answer, given if no better one comes.
	fallback *fasthttp.Response
	// spent says that a retry was made here or further down.
	spent bool
}

// verdict is how a call ended.
type verdict struct {
	// resp is the whole answer to pass on, nil if there is none.
	resp *fasthttp.Response
	ran  Ran
	err  error
}

// serve runs the call until it has a verdict and no attempt of it is under
// way any more.
func (x *exchange) serve() verdict {
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
	defer cancel()
	if err := x.submit(); err != nil {
		return verdict{err: err}
	}
	v := x.await(ctx)
	x.service.mu.Lock()
	x.service.dispatch.Withdraw(&x.call)
	x.service.mu.Unlock()
	cancel()
	x.join(&v)
	if v.resp == nil && x.fallback != nil {
		v = verdict{resp: x.fallback, ran: RanYes}
	} else if v.resp == nil && x.sent {
		v.ran = RanUnknown
	}
	return v
}

func (x *exchange) submit() error {
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	now := time.Now()
	x.call.Tag = x
	x.call.Reset(x.route.Class(), x.deadline, x.repeat)
	if err := x.service.dispatch.Submit(now, &x.call); err != nil {
		return err
	}
	x.service.pump(now)
	return nil
}

// await handles events until the call has an answer or none will come.
func (x *exchange) await(ctx context.Context) verdict {
	start := time.Now()
	hedgeAt, lookAt := time.Time{}, start.Add(goneStart)
	timer := time.NewTimer(x.nextWake(hedgeAt, lookAt))
	defer timer.Stop()
	for {
		select {
		case e := <-x.events:
			v, over := x.handle(ctx, e)
			if over {
				return v
			}
			if e.order.Attempt() != nil && x.repeat && x.call.Tries() == 1 {
				hedgeAt = x.hedgeTime()
				timer.Reset(x.nextWake(hedgeAt, lookAt))
			}
		case <-ctx.Done():
			return verdict{err: errOver}
		case <-timer.C:
			now := time.Now()
			if !hedgeAt.IsZero() && !now.Before(hedgeAt) {
				hedgeAt = time.Time{}
				x.service.Update(func(_ time.Time, d *dispatcher.Dispatcher) { d.AskHedge(&x.call) })
			}
			if !now.Before(lookAt) {
				lookAt = now.Add(goneStep)
				if edge.Probe(x.ctx.Conn()) == edge.Closed {
					return verdict{err: errGone}
				}
			}
			if x.running == 0 {
				x.service.Update(func(time.Time, *dispatcher.Dispatcher) {})
			}
			timer.Reset(x.nextWake(hedgeAt, lookAt))
		}
	}
}

// nextWake returns how long await may sleep.
func (x *exchange) nextWake(hedgeAt, lookAt time.Time) time.Duration {
	next := lookAt
	if !hedgeAt.IsZero() && hedgeAt.Before(next) {
		next = hedgeAt
	}
	d := max(0, time.Until(next))
	if x.running == 0 {
		d = min(d, waitStep)
	}
	return d
}

func (x *exchange) hedgeTime() time.Time {
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	d := x.service.dispatch.HedgeDelay(x.route.Class())
	if d == 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// handle takes in one event. It reports true with the verdict once the call
// is over.
func (x *exchange) handle(ctx context.Context, e event) (verdict, bool) {
	if e.ended != nil {
		return x.ended(*e.ended)
	}
	a := e.order.Attempt()
	if a == nil {
		if x.running > 0 {
			return verdict{}, false
		}
		return verdict{err: e.order.Err()}, true
	}
	x.running++
	if a.Kind() == dispatcher.Retry {
		x.spent = true
	}
	go x.run(ctx, a)
	return verdict{}, false
}

// ended takes in the end of an attempt.
func (x *exchange) ended(o outcome) (verdict, bool) {
	x.running--
	if o.good() {
		return verdict{resp: o.resp, ran: RanYes}, true
	}
	x.note(o)
	if x.running > 0 {
		return verdict{}, false
	}
	spent := o.resp != nil && len(o.resp.Header.Peek(HeaderSpent)) > 0
	x.spent = x.spent || spent
	if !spent && x.retry(!x.sent && x.fallback == nil) {
		return verdict{}, false
	}
	return verdict{err: errSick}, true
}

// note remembers what a bad end of an attempt tells.
func (x *exchange) note(o outcome) {
	switch {
	case o.shed:
		fasthttp.ReleaseResponse(o.resp)
	case o.resp != nil:
		if x.fallback != nil {
			fasthttp.ReleaseResponse(x.fallback)
		}
		x.fallback = o.resp
	case o.sent:
		x.sent = true
	}
}

func (x *exchange) retry(unsent bool) bool {
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	now := time.Now()
	if !x.service.dispatch.AskRetry(now, &x.call, unsent) {
		return false
	}
	x.service.pump(now)
	return true
}

// join waits for attempts that were given up, which must not outlive the
// request they read from. Orders that were given meanwhile are handed back.
// A good answer that comes in just then still counts.
func (x *exchange) join(v *verdict) {
	for {
		var e event
		if x.running > 0 {
			e = <-x.events
		} else {
			select {
			case e = <-x.events:
			default:
				return
			}
		}
		if e.ended == nil {
			if a := e.order.Attempt(); a != nil {
				x.service.finish(a, dispatcher.Dropped, -1, false)
			}
			continue
		}
		x.running--
		switch {
		case e.ended.good() && v.resp == nil:
			*v = verdict{resp: e.ended.resp, ran: RanYes}
		case e.ended.good():
			fasthttp.ReleaseResponse(e.ended.resp)
		default:
			x.note(*e.ended)
		}
	}
}
