package forwarder

import (
	"bytes"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/edge"
	"poplarwind/limiter"
	"poplarwind/placer"
	"poplarwind/router"
)

// Errors that end a request without an upstream's answer.
const (
	errLengths  = errors.ConstError("Content-Length and Transfer-Encoding conflict")
	errLeaving  = errors.ConstError("entry is leaving")
	errNoConfig = errors.ConstError("no configuration is known yet")
	errNoRoute  = errors.ConstError("no route matches")
	errLarge    = errors.ConstError("body is larger than the configuration allows")
	errFull     = errors.ConstError("no upstream has a slot in time")
	errNone     = errors.ConstError("service has no upstream")
	errGone     = errors.ConstError("caller left")
	errOver     = errors.ConstError("time limit passed")
	errBudget   = errors.ConstError("not run, and no retry is left")
	errLost     = errors.ConstError("upstream gave no whole answer")
)

// exchange is one request from its arrival to its answer.
type exchange struct {
	forwarder *Forwarder
	service   *service
	ctx       *fasthttp.RequestCtx
	id        []byte
	path      *router.Path
	version   int64
	// work is how long the route's requests take, under the service's lock.
	work   *placer.Work
	health string
	conns  int
	// start is the arrival; due is when the answer is worth most, deadline
	// when the caller, or the route's timeout, gives up.
	start, due, deadline time.Time
	// turn is sent to when the first in the line is this request.
	turn chan struct{}
	// attempts are the upstreams that the request was sent to.
	attempts []*placer.Upstream
	// unreached are those that there was no connection to.
	unreached []*placer.Upstream
	// maybeRun says that some upstream may have run the request.
	maybeRun bool
	// fallback is an upstream's failure, given if nothing better comes.
	fallback *fasthttp.Response
	// retryAfter is what a refusal tells the caller, waited how long the
	// request stood in the line.
	retryAfter, waited time.Duration
}

// defaultWait is the time that a request has whose caller names none.
const defaultWait = 10 * time.Second

// limit sets how long the request has.
func (x *exchange) limit(now time.Time) {
	wait, ok := x.forwarder.options.Dialect.Wait(&x.ctx.Request.Header)
	if !ok {
		wait = defaultWait
	}
	x.deadline = now.Add(min(wait, x.path.Timeout))
	x.due = now.Add(x.path.Objective)
	if x.due.After(x.deadline) || x.path.Objective == 0 {
		x.due = x.deadline
	}
}

// tried reports whether the request was sent to the upstream, or could not
// be.
func (x *exchange) tried(u *placer.Upstream) bool {
	return slices.Contains(x.attempts, u) || slices.Contains(x.unreached, u)
}

// verdict is how a request ended.
type verdict struct {
	// resp is an upstream's answer to pass on, nil if there is none.
	resp *fasthttp.Response
	err  error
}

// run places and sends the request until it has an answer or none will come.
func (x *exchange) run() verdict {
	for {
		a, err := x.place()
		if err != nil {
			return x.end(err)
		}
		o := x.send(a)
		if o.final(x.path.Idempotent) {
			x.release()
			return verdict{resp: o.resp}
		}
		if err := x.note(o); err != nil {
			return x.end(err)
		}
	}
}

// note takes in an attempt that brought no final answer. It returns an error
// if there is to be no other one.
func (x *exchange) note(o outcome) error {
	switch {
	case o.resp != nil && !o.notRun:
		x.release()
		x.fallback, x.maybeRun = o.resp, true
	case o.resp != nil:
		fasthttp.ReleaseResponse(o.resp)
	case o.sent:
		x.maybeRun = true
	}
	if x.maybeRun && !x.path.Idempotent {
		return errLost
	}
	if o.left || edge.Probe(x.ctx.Conn()) == edge.Closed {
		return errGone
	}
	if len(x.attempts) >= x.path.Attempts {
		return errBudget
	}
	if !time.Now().Before(x.deadline) {
		return errOver
	}
	if !o.sent {
		return nil
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	if !x.service.ration.Spend(time.Now()) {
		return errBudget
	}
	return nil
}

// end returns the verdict of a request for which there is no good answer.
func (x *exchange) end(err error) verdict {
	if x.fallback != nil {
		return verdict{resp: x.fallback}
	}
	return verdict{err: err}
}

func (x *exchange) release() {
	if x.fallback != nil {
		fasthttp.ReleaseResponse(x.fallback)
		x.fallback = nil
	}
}

// needs returns how long the request takes once sent, at the least that is
// worth sending it for.
func (x *exchange) needs() time.Duration {
	return time.Duration(needShare * float64(x.work.Usual()))
}

// needShare is the part of the usual time below which an answer is unlikely.
const needShare = 0.8

func (x *exchange) lineUp() limiter.Place {
	return limiter.Place{Rank: x.path.Rank, Due: x.due, Needs: x.work.Usual()}
}

// place finds an upstream with a slot, waiting in the line if there is none.
// It refuses as soon as it is known that the answer would come too late.
func (x *exchange) place() (asked, error) {
	s := x.service
	s.mu.Lock()
	now := time.Now()
	if len(s.fleet.List()) == 0 {
		x.retryAfter = noSlotsWait
		s.mu.Unlock()
		return asked{}, errNone
	}
	ahead := s.line.Ahead(now, x.lineUp())
	s.mu.Unlock()
	for waits := ahead > 0; ; waits = true {
		if waits {
			if err := x.queue(); err != nil {
				return asked{}, err
			}
		}
		a := x.choose(waits)
		if waits {
			x.yield()
		}
		if a.attempt != nil {
			return a, nil
		}
	}
}

// yield gives the turn on to the next of the line.
func (x *exchange) yield() {
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	x.service.turns--
	if x.service.line.Len() > 0 {
		x.service.arm()
	}
}

// lookEvery is how often a request that waits or runs looks whether its caller
// is still there.
const lookEvery = 100 * time.Millisecond

// queue waits in the line until it is this request's turn.
func (x *exchange) queue() error {
	s := x.service
	s.mu.Lock()
	now := time.Now()
	p := x.lineUp()
	wait := s.wait(now, s.line.Ahead(now, p)+1)
	if now.Add(wait + x.needs()).After(x.deadline) {
		x.retryAfter = max(minRetryAfter, wait)
		s.mu.Unlock()
		return errFull
	}
	s.line.Push(x, p)
	s.arm()
	s.mu.Unlock()
	timer := time.NewTimer(lookEvery)
	defer timer.Stop()
	for {
		var err error
		select {
		case <-x.turn:
			x.waited = time.Since(x.start)
			return nil
		case now := <-timer.C:
			timer.Reset(lookEvery)
			if x.hopeless(now) {
				err = errFull
			} else if edge.Probe(x.ctx.Conn()) == edge.Closed {
				err = errGone
			}
		}
		if err != nil && x.withdraw(wait) {
			return err
		}
	}
}

// hopeless reports whether a request that waits can't be answered in time any
// more, by those that go before it.
func (x *exchange) hopeless(now time.Time) bool {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Add(s.wait(now, s.line.Ahead(now, x.lineUp())) + x.needs()).After(x.deadline)
}

// withdraw takes the request out of the line. It reports false if it has its
// turn already.
func (x *exchange) withdraw(wait time.Duration) bool {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	x.retryAfter = max(minRetryAfter, wait)
	return s.line.Remove(x)
}

// minRetryAfter is the least time after which a refused request may find a
// slot: less would not outlast the requests that hold them.
const minRetryAfter = 50 * time.Millisecond

// lengthsConflict reports whether raw headers give a body's length in two
// ways, which entries and upstreams might read differently.
func lengthsConflict(raw []byte) bool {
	length, chunks := 0, 0
	for line := range bytes.Lines(raw) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		if bytes.EqualFold(name, []byte("Content-Length")) {
			length++
		}
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			chunks++
		}
	}
	return length+chunks > 1
}
