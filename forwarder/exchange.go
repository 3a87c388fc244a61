package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/apportioner"
	"poplarwind/limiter"
	"poplarwind/pipeliner"
	"poplarwind/placer"
	"poplarwind/quarantiner"
	"poplarwind/router"
)

// Errors that end a request without an upstream response.
const (
	errDraining      = errors.ConstError("entry is leaving")
	errNoConfig      = errors.ConstError("no configuration is known yet")
	errNoEvacuations = errors.ConstError("evacuations are not known yet")
	errEvacuated     = errors.ConstError("failure domains of all upstreams are evacuated")
	errNoRoute       = errors.ConstError("no route matches")
	errOverQuota     = errors.ConstError("quota of the customer is used up")
	errNoCustomer    = errors.ConstError("no customer has the key of the request")
	errNoKey         = errors.ConstError("request has no key, or several")
	errBodyTooLarge  = errors.ConstError("body is larger than the configuration allows")
	errNoSlot        = errors.ConstError("no upstream has a slot in time")
	errRateLimited   = errors.ConstError("rate limits of all upstreams are left to other entries")
	errPaused        = errors.ConstError("all upstreams have asked for pauses")
	errBarred        = errors.ConstError("upstream wants no requests")
	errQuarantined   = errors.ConstError("upstreams crash when they run this request")
	errCutOff        = errors.ConstError("upstreams are out of reach, and no other entry took the request")
	errNoUpstream    = errors.ConstError("service has no upstream")
	errDisconnected  = errors.ConstError("caller left")
	errTimeout       = errors.ConstError("time limit passed")
	errNoRetry       = errors.ConstError("not run, and no retry is left")
	errIncomplete    = errors.ConstError("upstream gave no whole answer")
	errUnproven      = errors.ConstError("upstream rejected the request without stating that it did not run")
	errOverdue       = errors.ConstError("response is overdue")
)

// exchange is the state of one request from arrival to response.
type exchange struct {
	forwarder *Forwarder
	service   *service
	call      *pipeliner.Call
	// caller ends when the caller has disconnected.
	caller context.Context
	// id is a copy: load probes and checks for crashes may outlast the request, whose memory is
	// then used for the next one on the connection.
	id      string
	route   *router.ActiveRoute
	version int64
	// customer is the customer whose key the request bears, nil if it bears none or an unknown
	// one. hasCustomers is set if the configuration has customers.
	customer     *router.Customer
	hasCustomers bool
	// countedAt is when the request was admitted to the quota of the customer, zero if it was
	// not.
	countedAt time.Time
	// quota is the decision that rejected the request, nil if there was none.
	quota *apportioner.Decision
	// serviceTime is the average service time of the route's requests, guarded
	// by the service's lock.
	serviceTime *placer.ServiceTime
	healthURI   string
	maxConns    int
	// due is when the route's latency objective expires, at the latest the
	// deadline. deadline is when the shorter of the caller's and the route's
	// timeouts expires.
	due, deadline time.Time
	// flow is the flow of the request in the admission queue.
	flow uint64
	// dequeued receives a value when the request is removed from the admission
	// queue to be placed.
	dequeued chan struct{}
	// attempted holds the upstreams that the request was sent to.
	attempted []*placer.Upstream
	// unreachable holds the upstreams that no connection could be obtained to.
	unreachable []*placer.Upstream
	// mayHaveRun reports whether an upstream may have run the request.
	mayHaveRun bool
	// relayed is set if the request says that another entry relays it, after it was sent to as
	// many upstreams as earlier says. proven is set if that is proven. Without proof this only
	// restricts the request: it is not relayed again, and gets one attempt, so that it need not
	// count for the retry budget. It may come from an entry of a build before the proof, which has
	// counted it and repeats it from its own budget.
	relayed, proven bool
	earlier         int
	// rejection is the last rejection of the request by another entry.
	rejection *fasthttp.Response
	// direct is set if the request is not relayed although the entry is cut off from the
	// service, since no other entry takes it.
	direct bool
	// relayedTo holds the addresses of the entries that the request was relayed to.
	relayedTo []string
	// print is the fingerprint of the request, valid if hasPrint is set.
	print    quarantiner.Fingerprint
	hasPrint bool
	// hedged describes the hedge of the request, nil if there was none.
	hedged *HedgeRecord
	// fallback is an upstream's error response, returned if no better one
	// arrives.
	fallback *fasthttp.Response
	// retryAfter is the Retry-After value of a rejection. queueTime is the
	// time from arrival until the request last left the admission queue.
	retryAfter, queueTime time.Duration
	// estimate is the last estimate of the wait in the admission queue.
	estimate WaitEstimate
}

// defaultTimeout applies if the caller specifies no timeout.
const defaultTimeout = 10 * time.Second

// setDeadlines sets due and deadline from the timeouts of the caller and the
// route, which begin with the arrival of the request.
func (x *exchange) setDeadlines() {
	timeout, ok := x.forwarder.options.Dialect.CallerTimeout(&x.call.Request.Header)
	if !ok {
		timeout = defaultTimeout
	}
	x.setTimeout(timeout)
}

// setTimeout sets due and deadline from the timeout of the caller and that of the route.
func (x *exchange) setTimeout(timeout time.Duration) {
	now := x.call.ArrivedAt
	x.deadline = now.Add(min(timeout, x.route.Timeout))
	x.due = now.Add(x.route.Objective)
	if x.due.After(x.deadline) || x.route.Objective == 0 {
		x.due = x.deadline
	}
}

// tried reports whether the request was sent to the upstream or no connection
// to it could be obtained.
func (x *exchange) tried(u *placer.Upstream) bool {
	return slices.Contains(x.attempted, u) || slices.Contains(x.unreachable, u)
}

// result is the final outcome of a request.
type result struct {
	// resp is the upstream response to return, nil if there is none.
	resp *fasthttp.Response
	err  error
}

// run places and sends the request until it has a final response or fails.
func (x *exchange) run() result {
	for {
		if x.cutOff() {
			return x.relay()
		}
		if err := x.countQuota(); err != nil {
			return x.fail(err)
		}
		cand, err := x.place()
		if errors.Is(err, errCutOff) {
			continue
		}
		if err != nil {
			return x.fail(err)
		}
		o := x.send(cand)
		if o.final(x.route.Idempotent) {
			x.recordComplete(o)
			x.releaseFallback()
			return x.result(o.resp)
		}
		if err := x.recordAttempt(o); err != nil {
			return x.fail(err)
		}
	}
}

// result returns the final response of an upstream. One whose status promises callers that
// the request did not run is not returned for a non-idempotent request: the upstream has
// not stated this.
func (x *exchange) result(resp *fasthttp.Response) result {
	if x.route.Idempotent || !promisesNotRun(resp.StatusCode()) {
		return result{resp: resp}
	}
	x.forwarder.options.Log.Warn("upstream rejected a request that it may have run", "request", x.id, "service", x.service.name, "status", resp.StatusCode())
	fasthttp.ReleaseResponse(resp)
	x.mayHaveRun = true
	return x.fail(errUnproven)
}

// promisesNotRun reports whether callers take a status for the promise that the request has
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// recordAttempt records an attempt without a final response. It returns an
// error if there must not be another attempt.
func (x *exchange) recordAttempt(o outcome) error {
	x.keep(o)
	if x.mayHaveRun && !x.route.Idempotent {
		return errIncomplete
	}
	if o.disconnected || x.caller.Err() != nil {
		return errDisconnected
	}
	if x.quarantined() {
		return errQuarantined
	}
	if errors.Is(o.err, errOverQuota) {
		return errOverQuota
	}
	if x.attempts() >= x.route.Attempts {
		return errNoRetry
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	if !x.hasTime(time.Now()) {
		return errTimeout
	}
	if !o.sent || o.overdue {
		return nil
	}
	if !x.service.spendRetry(time.Now()) {
		return errNoRetry
	}
	return nil
}

// keep records what an attempt without a final response says of the request, and keeps an error
// response as the fallback.
func (x *exchange) keep(o outcome) {
	switch {
	case o.resp != nil && !o.notRun:
		x.releaseFallback()
		x.fallback, x.mayHaveRun = o.resp, true
	case o.resp != nil:
		fasthttp.ReleaseResponse(o.resp)
	case o.sent:
		x.mayHaveRun = true
	}
}

// fail returns the fallback response if there is one, and the error otherwise.
func (x *exchange) fail(err error) result {
	if x.fallback != nil {
		return result{resp: x.fallback}
	}
	return result{err: err}
}

func (x *exchange) releaseFallback() {
	if x.fallback != nil {
		fasthttp.ReleaseResponse(x.fallback)
		x.fallback = nil
	}
}

// minServiceTime returns the least service time to expect: a request with less
// time left is not worth sending. The lock of the service must be held.
func (x *exchange) minServiceTime() time.Duration {
	return max(minAttemptTime, time.Duration(minServiceFraction*float64(x.serviceTime.Average())))
}

// minAttemptTime is the time in which no upstream responds, with a load probe and
// the transfers.
const minAttemptTime = 5 * time.Millisecond

// hasTime reports whether a response to an attempt that starts now may arrive
// before the deadline. The lock of the service must be held.
func (x *exchange) hasTime(now time.Time) bool {
	return !now.Add(x.minServiceTime()).After(x.deadline)
}

// outlasts reports whether the response may come later than t: it takes longer than usual
// until then, and the caller would wait for it.
func (x *exchange) outlasts(t time.Time) bool {
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	return x.deadline.After(t) && time.Now().Add(overdueFactor*x.serviceTime.Average()).After(t)
}

// minServiceFraction is the fraction of the average service time below which a
// response is unlikely.
const minServiceFraction = 0.8

// place selects an upstream with a free slot. The request waits in the
// admission queue if there is none or if other requests precede it. place
// returns an error as soon as the response is expected to miss the deadline.
func (x *exchange) place() (candidate, error) {
	s := x.service
	s.mu.Lock()
	now := time.Now()
	if err := x.checkService(now); err != nil {
		s.mu.Unlock()
		return candidate{}, err
	}
	ahead := s.queue.Ahead(now, x.queuePriority())
	s.mu.Unlock()
	for queued := ahead > 0; ; queued = true {
		if queued {
			if err := x.awaitDequeue(); err != nil {
				return candidate{}, err
			}
			if x.caller.Err() != nil {
				x.endPlacement()
				return candidate{}, errDisconnected
			}
		}
		cand := x.pick(queued)
		if queued {
			x.endPlacement()
		}
		if cand.attempt != nil {
			return cand, nil
		}
		if x.cutOff() {
			return candidate{}, errCutOff
		}
	}
}

// checkService returns an error if no upstream can take the request before its deadline, whatever
// their load, and sets the Retry-After value. The lock of the service must be held.
func (x *exchange) checkService(now time.Time) error {
	f := &x.service.fleet
	if len(f.List()) == 0 {
		x.retryAfter = noSlotsWait
		return errNoUpstream
	}
	if f.AllEvacuated() {
		x.retryAfter = noSlotsWait
		return errEvacuated
	}
	if wait, paused := f.PauseLeft(now); paused && now.Add(wait+x.minServiceTime()).After(x.deadline) {
		x.retryAfter = wait
		return errPaused
	}
	if f.Withheld(now) {
		x.retryAfter = noSlotsWait
		return errRateLimited
	}
	if !x.hasTime(now) {
		return errTimeout
	}
	return nil
}

// checkWait returns an error if the request is expected to miss its deadline in the admission queue,
// and sets the Retry-After value. The lock of the service must be held.
func (x *exchange) checkWait(now time.Time, p limiter.Priority) error {
	wait := x.estimateWait(now, x.service.queue.Ahead(now, p)+1)
	if now.Add(wait + x.minServiceTime()).After(x.deadline) {
		x.retryAfter = max(minRetryAfter, wait)
		return errNoSlot
	}
	return nil
}

// endPlacement ends the placement of a dequeued request and schedules that of
// the next.
func (x *exchange) endPlacement() {
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	x.service.placing--
	if x.service.queue.Len() > 0 {
		x.service.scheduleDispatch()
	}
}

// deadlineCheckInterval is how often a queued request checks whether it can still
// meet its deadline.
const deadlineCheckInterval = 100 * time.Millisecond

// awaitDequeue queues the request until it is dequeued to be placed. It
// returns an error if the request is expected to miss its deadline or its
// caller disconnected.
func (x *exchange) awaitDequeue() error {
	s := x.service
	s.mu.Lock()
	now := time.Now()
	p := x.queuePriority()
	if err := x.checkWait(now, p); err != nil {
		s.mu.Unlock()
		return err
	}
	s.queue.LateLast = x.hasCustomers
	s.queue.Push(x, p)
	s.scheduleDispatch()
	s.mu.Unlock()
	timer := time.NewTimer(deadlineCheckInterval)
	defer timer.Stop()
	disconnected := x.caller.Done()
	for {
		var err error
		select {
		case <-x.dequeued:
			x.queueTime = time.Since(x.call.ArrivedAt)
			return nil
		case <-disconnected:
			// A request that was dequeued meanwhile is received above.
			disconnected, err = nil, errDisconnected
		case now := <-timer.C:
			timer.Reset(deadlineCheckInterval)
			switch {
			case x.cutOff():
				err = errCutOff
			case x.cannotMeetDeadline(now):
				err = errNoSlot
			}
		}
		if err != nil && x.withdraw() {
			return err
		}
	}
}

// cannotMeetDeadline reports whether a queued request is expected to miss its
// deadline because of the requests ahead of it.
func (x *exchange) cannotMeetDeadline(now time.Time) bool {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Add(x.estimateWait(now, s.queue.Ahead(now, x.queuePriority())) + x.minServiceTime()).After(x.deadline)
}

// withdraw removes the request from the queue and sets the Retry-After value to the expected
// wait of a request that arrives now. It reports false if the request was already dequeued.
func (x *exchange) withdraw() bool {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.Remove(x) {
		return false
	}
	now := time.Now()
	x.queueTime = now.Sub(x.call.ArrivedAt)
	p := x.queuePriority()
	p.Due = p.Due.Add(now.Sub(x.call.ArrivedAt))
	x.retryAfter = max(minRetryAfter, s.estimateWait(now, s.queue.Ahead(now, p)+1))
	return true
}

// minRetryAfter is the least Retry-After value of a rejection. A shorter one
// would expire before the requests that hold the slots complete.
const minRetryAfter = 50 * time.Millisecond
