package forwarder

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/sanitizer"
	"poplarwind/placer"
	"poplarwind/pooler"
)

// outcome is the outcome of one attempt.
type outcome struct {
	// resp is the upstream's complete response, nil if there is none.
	resp *fasthttp.Response
	// sent reports whether bytes of the request may have reached the upstream.
	sent bool
	// notRun reports whether the response proves that the request did not run.
	notRun bool
	// disconnected reports whether the attempt was aborted because the caller
	// disconnected or another attempt won.
	disconnected bool
	// overdue reports whether the attempt was aborted because its response was
	// overdue. A retry has been taken from the budget for this.
	overdue bool
	err     error
}

// final reports whether the response is returned to the caller without another
// attempt. A response that proves that the request did not run is not final,
// nor is a server error or a rejection in response to an idempotent request.
func (o outcome) final(idempotent bool) bool {
	if o.resp == nil || o.notRun {
		return false
	}
	s := o.resp.StatusCode()
	return !idempotent || s < fasthttp.StatusInternalServerError && !promisesNotRun(s)
}

// result converts the outcome to a placer.Result.
func (o outcome) result() placer.Result {
	switch {
	case o.notRun:
		return placer.Refused
	case o.resp != nil && o.resp.StatusCode() < fasthttp.StatusInternalServerError:
		return placer.Answered
	case o.disconnected, errors.Is(o.err, pooler.ErrConnLimit), errors.Is(o.err, errQuarantined), errors.Is(o.err, errBarred), errors.Is(o.err, errOverQuota), errors.Is(o.err, errEvacuated), isLocal(o.err):
		return placer.Abandoned
	default:
		return placer.Failed
	}
}

// send sends the request to the selected upstream over the candidate's
// connection. An upstream without a connection is recorded as unreachable.
func (x *exchange) send(cand candidate) outcome {
	o := outcome{}
	switch {
	case cand.conn == nil:
		x.unreachable = append(x.unreachable, cand.upstream)
		o.err = cand.err
	case x.caller.Err() != nil:
		x.forwarder.pool.Put(cand.conn)
		o.disconnected, o.err = true, errDisconnected
	case x.quarantined():
		x.forwarder.pool.Put(cand.conn)
		o.err = errQuarantined
	case x.service.barred(cand.upstream):
		x.forwarder.pool.Put(cand.conn)
		o.err = errBarred
	case x.service.evacuates(cand.upstream):
		x.forwarder.pool.Put(cand.conn)
		o.err = errEvacuated
	case x.lateForQuota():
		x.forwarder.pool.Put(cand.conn)
		o.err = errOverQuota
	default:
		x.attempted = append(x.attempted, cand.upstream)
		if x.mayHedge() {
			return x.sendHedged(cand)
		}
		x.roundTrip(cand, &o)
	}
	x.service.finishAttempt(cand.attempt, o.result(), x.serviceTime)
	return o
}

// roundTrip sends the request and reads the response, then returns the
// connection to the pool or discards it.
func (x *exchange) roundTrip(cand candidate, o *outcome) {
	stop := x.begin(x.caller, cand, o)
	if o.err == nil && x.overdue(cand.conn, cand.attempt) {
		o.overdue, o.err = true, errOverdue
	}
	x.complete(cand, o, stop)
}

// begin sends the request. The attempt is aborted when ctx ends, until the function that begin
// returns is called, which reports false if it was.
func (x *exchange) begin(ctx context.Context, cand candidate, o *outcome) func() bool {
	c := cand.conn
	c.Reset()
	c.SetDeadline(x.deadline)
	stop := x.abortOnEnd(ctx, c)
	o.err = x.writeRequest(c, cand.upstream)
	return stop
}

// complete reads the response, unless the attempt has failed, then returns the connection to the
// pool or discards it.
func (x *exchange) complete(cand candidate, o *outcome, stop func() bool) {
	f, c, u := x.forwarder, cand.conn, cand.upstream
	if o.err == nil {
		o.resp, o.err = x.readResponse(c, u)
	}
	o.disconnected = !stop()
	o.sent = c.Written()
	if o.resp == nil {
		f.pool.Discard(c)
		x.logBrokenOff(u, o.err)
		if o.sent && !o.disconnected && connectionLost(o.err) {
			x.recordLost(u, o.err)
		}
		return
	}
	info := f.options.Dialect.ParseResponse(&o.resp.Header, time.Now())
	o.notRun = info.NotRun
	x.applyResponseInfo(u, info, cand.attempt.StartedAt(), sourceRequest)
	early := x.call.Body.Len() > earlyResponseBody && o.resp.StatusCode() >= fasthttp.StatusBadRequest
	if o.disconnected || early || info.Leaving || o.resp.ConnectionClose() || !c.Clean() {
		f.pool.Discard(c)
		return
	}
	c.SetMaxIdle(keepAliveTimeout(o.resp.Header.Peek("Keep-Alive")))
	f.pool.Put(c)
}

// brokenOff reports whether this entry broke off a response: it had no room in memory, or is
// malformed.
func brokenOff(err error) bool {
	return errors.Is(err, pooler.ErrExhausted) || errors.Is(err, pooler.ErrTooLarge) || errors.Is(err, pooler.ErrMalformed)
}

// logBrokenOff logs a response that this entry broke off.
func (x *exchange) logBrokenOff(u *placer.Upstream, err error) {
	if brokenOff(err) {
		x.forwarder.options.Log.Warn("response broken off", "request", x.id, "upstream", u.ID(), "service", x.service.name, "error", err.Error())
	}
}

// overdueFactor is the multiple of the expected duration after which a response is
// overdue. Fewer than one in a hundred responses take that long at a healthy
// upstream.
const overdueFactor = 3

// overdue waits for the first byte of a response to an idempotent request, for a
// multiple of its expected duration. It reports whether the request is to be sent to
// another upstream instead: the response is overdue, the other one has time to
// respond, and a retry could be taken from the budget. Some upstreams never respond
// to requests that they have no room for.
func (x *exchange) overdue(c *pooler.Conn, a *placer.Attempt) bool {
	if !x.route.Idempotent || x.attempts() >= x.route.Attempts {
		return false
	}
	s := x.service
	s.mu.Lock()
	expected := s.fleet.ExpectedDuration(a, x.serviceTime)
	minimum := x.minServiceTime()
	s.mu.Unlock()
	limit := time.Now().Add(overdueFactor * expected)
	if expected == 0 || limit.Add(minimum).After(x.deadline) {
		return false
	}
	responded := c.AwaitResponse(x.caller, limit)
	c.SetDeadline(x.deadline)
	if x.caller.Err() != nil {
		c.Abort()
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return !responded && x.hasTime(now) && x.hasOther(now) && s.spendRetry(now)
}

// hasOther reports whether there is an upstream that the request may be sent to and was not sent
// to yet. The lock of the service must be held.
func (x *exchange) hasOther(now time.Time) bool {
	return slices.ContainsFunc(x.service.fleet.List(), func(u *placer.Upstream) bool { return u.Usable(now) && !x.tried(u) })
}

// earlyResponseBody is the size in bytes of a request body above which an
// upstream may respond with an error before it has read the body. The
// connection is then discarded, because the upstream might parse the rest of
// the body as the next request.
const earlyResponseBody = 1 << 10

// applyResponseInfo updates the state of the upstream from its response to a request or
// a load probe that was sent at sentAt.
func (x *exchange) applyResponseInfo(u *placer.Upstream, info ResponseInfo, sentAt time.Time, source statementSource) {
	s := x.service
	s.mu.Lock()
	limitChanged := x.recordLimit(u, info, sentAt, source)
	warmupChanged := source == sourceProbe && x.recordWarmup(u, info, sentAt)
	if info.HasLoad {
		s.fleet.RecordReport(u, info.Load)
	}
	if info.Misdirected {
		s.fleet.Exclude(u)
	}
	s.mu.Unlock()
	if limitChanged {
		s.updateLimitFractions(x.forwarder.options, time.Now())
	}
	if warmupChanged {
		s.updateWarmupFractions(x.forwarder.options, time.Now(), []*placer.Upstream{u})
	}
}

// writeRequest sends the request, addressed to the upstream.
func (x *exchange) writeRequest(c *pooler.Conn, u *placer.Upstream) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x.copyRequest(req)
	req.Header.Del(headerRelayed)
	req.Header.Del(headerProof)
	x.setCustomer(&req.Header)
	x.forwarder.options.Dialect.SetTarget(&req.Header, u.ID(), time.Until(x.deadline))
	return c.Send(req)
}

// copyRequest copies the caller's request without its hop-by-hop headers.
func (x *exchange) copyRequest(req *fasthttp.Request) {
	x.call.Request.Header.CopyTo(&req.Header)
	sanitizer.StripHopByHop(&req.Header)
	req.Header.ResetConnectionClose()
	req.UseHostHeader = true
	if n := x.call.Body.Len(); n > 0 {
		req.SetBodyStream(x.call.Body.NewStream(), n)
	}
}

// maxResponses bounds how many responses are read to find the one to this
// request.
const maxResponses = 4

// readResponse reads the response to this request. Responses of the upstream to
// earlier requests are skipped.
func (x *exchange) readResponse(c *pooler.Conn, u *placer.Upstream) (*fasthttp.Response, error) {
	resp := fasthttp.AcquireResponse()
	for range maxResponses {
		resp.Reset()
		err := c.ReceiveUntilClose(resp, x.call.Request.Header.IsHead(), x.forwarder.options.MaxResponseBody)
		// The header may be complete when the body is not.
		info := x.parseResponse(u, resp, sourceRequest)
		if err != nil {
			fasthttp.ReleaseResponse(resp)
			return nil, err
		}
		if len(info.ID) > 0 && string(info.ID) != x.id {
			continue
		}
		// A rejection that names no request may be an earlier one, written again.
		unnamed := info.NotRun && len(info.ID) == 0
		if unnamed && c.Rejected() {
			break
		}
		if unnamed {
			c.SetRejected()
		}
		if x.valid(resp, info) {
			return resp, nil
		}
		break
	}
	fasthttp.ReleaseResponse(resp)
	return nil, errIncomplete
}

// valid reports whether a parsed response is the upstream's response to this
// request. It must have a request ID, a stamp if it is a success, and no content
// encoding, unless it states that the request did not run.
func (x *exchange) valid(resp *fasthttp.Response, info ResponseInfo) bool {
	if info.NotRun {
		return true
	}
	success := resp.StatusCode() < fasthttp.StatusMultipleChoices
	return len(info.ID) > 0 && (!success || info.Stamped) && len(resp.Header.Peek("Content-Encoding")) == 0
}

// abortOnEnd aborts the attempt when ctx ends: the caller has disconnected, or
// another attempt has won. A non-idempotent request continues, because its caller may
// obtain the outcome by other means. The function that it returns ends this and
// reports false if ctx ended.
func (x *exchange) abortOnEnd(ctx context.Context, c *pooler.Conn) func() bool {
	if !x.route.Idempotent {
		return func() bool { return true }
	}
	return context.AfterFunc(ctx, c.Abort)
}

// keepAliveMargin is subtracted from the time for which an upstream keeps idle
// connections open, so that no request is sent while the upstream closes the
// connection.
const keepAliveMargin = time.Second

// keepAliveTimeout returns how long a connection may be idle according to its
// Keep-Alive header, 0 if the header sets no timeout.
func keepAliveTimeout(v []byte) time.Duration {
	for field := range strings.SplitSeq(string(v), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		n, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && n > 0 {
			return max(time.Duration(n)*time.Second-keepAliveMargin, time.Millisecond)
		}
	}
	return 0
}
