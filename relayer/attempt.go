package relayer

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/dispatcher"
	"poplarwind/pooler"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	attempt *dispatcher.Attempt
	// resp is the complete response, nil if there is none.
	resp *fasthttp.Response
	// sent is set if bytes of the request may have reached the server.
	sent bool
	// shed is set if the response proves that the server did not run the
	// call.
	shed bool
	err  error
}

// succeeded reports whether the server gave a response that does not indicate
// a server fault.
func (r attemptResult) succeeded() bool {
	return r.resp != nil && !r.shed && r.resp.StatusCode() < fasthttp.StatusInternalServerError
}

// classify returns the result to report to the dispatcher. canceled indicates
// that the attempt's context has ended.
func (r attemptResult) classify(canceled bool) dispatcher.Result {
	switch {
	case r.shed:
		return dispatcher.Shed
	case r.succeeded():
		return dispatcher.Completed
	case r.resp == nil && canceled:
		return dispatcher.Canceled
	default:
		return dispatcher.Failed
	}
}

// runAttempt makes one attempt, reports its result to the dispatcher and sends
// it to the call's event channel. Canceling ctx aborts the attempt.
func (x *exchange) runAttempt(ctx context.Context, a *dispatcher.Attempt) {
	r := x.roundTrip(ctx, a)
	load, draining := -1, false
	if r.resp != nil {
		load = ParseLoad(r.resp.Header.Peek(HeaderLoad))
		draining = len(r.resp.Header.Peek(HeaderDraining)) > 0
	}
	x.service.finish(a, r.classify(ctx.Err() != nil), load, draining)
	x.events <- event{result: &r}
}

// roundTrip performs the HTTP exchange of an attempt on a pooled connection. It
// returns the connection to the pool if it can be reused, and discards it
// otherwise.
func (x *exchange) roundTrip(ctx context.Context, a *dispatcher.Attempt) attemptResult {
	r := attemptResult{attempt: a}
	conn, err := x.service.pool.Get(ctx, a.Server().Addr(), x.maxConns, !x.repeatable)
	if err != nil {
		r.err = err
		return r
	}
	conn.SetDeadline(x.deadline)
	stop := context.AfterFunc(ctx, conn.Abort)
	r.resp, r.err = x.sendReceive(conn, a.Server().Addr())
	r.sent = conn.Written()
	reusable := stop() && r.err == nil && !r.resp.ConnectionClose()
	if reusable {
		x.service.pool.Put(conn)
	} else {
		x.service.pool.Discard(conn)
	}
	if r.resp != nil && x.trustsShed {
		r.shed = r.resp.StatusCode() == fasthttp.StatusServiceUnavailable && len(r.resp.Header.Peek(HeaderShed)) > 0
	}
	return r
}

// sendReceive sends the request and reads the complete response.
func (x *exchange) sendReceive(conn *pooler.Conn, addr string) (*fasthttp.Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	remaining := time.Until(x.deadline)
	if remaining <= 0 {
		return nil, context.DeadlineExceeded
	}
	prepareRequest(req, x.request, addr, remaining)
	if err := conn.Send(req); err != nil {
		return nil, err
	}
	resp := fasthttp.AcquireResponse()
	if err := conn.Receive(resp, x.request.Header.IsHead(), x.relayer.options.MaxBodyBytes); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, err
	}
	return resp, nil
}
