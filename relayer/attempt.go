package relayer

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/dispatcher"
	"poplarwind/pooler"
)

// outcome is how one attempt ended.
type outcome struct {
	attempt *dispatcher.Attempt
	// resp is the whole answer, nil if there is none.
	resp *fasthttp.Response
	// sent says that bytes of the request may have reached the server.
	sent bool
	// shed says that the server's answer proves that the call did not run.
	shed bool
	err  error
}

// good reports whether the answer tells of no fault of the server.
func (o outcome) good() bool {
	return o.resp != nil && !o.shed && o.resp.StatusCode() < fasthttp.StatusInternalServerError
}

// result is what the dispatcher learns of an attempt.
func (o outcome) result(gaveUp bool) dispatcher.Result {
	switch {
	case o.shed:
		return dispatcher.Shed
	case o.good():
		return dispatcher.Answered
	case o.resp == nil && gaveUp:
		return dispatcher.Dropped
	default:
		return dispatcher.Failed
	}
}

// run makes one attempt and posts its outcome. The context ends when the
// attempt is given up.
func (x *exchange) run(ctx context.Context, a *dispatcher.Attempt) {
	o := x.exchangeWith(ctx, a)
	load, leaving := -1, false
	if o.resp != nil {
		load = ParseLoad(o.resp.Header.Peek(HeaderLoad))
		leaving = len(o.resp.Header.Peek(HeaderLeaving)) > 0
	}
	x.service.finish(a, o.result(ctx.Err() != nil), load, leaving)
	x.events <- event{ended: &o}
}

func (x *exchange) exchangeWith(ctx context.Context, a *dispatcher.Attempt) outcome {
	o := outcome{attempt: a}
	conn, err := x.service.pool.Get(ctx, a.Server().Addr(), x.conns, !x.repeat)
	if err != nil {
		o.err = err
		return o
	}
	conn.Deadline(x.deadline)
	stop := context.AfterFunc(ctx, conn.Abort)
	o.resp, o.err = x.converse(conn, a.Server().Addr())
	o.sent = conn.Wrote()
	reusable := stop() && o.err == nil && !o.resp.ConnectionClose()
	if reusable {
		x.service.pool.Put(conn)
	} else {
		x.service.pool.Drop(conn)
	}
	if o.resp != nil && x.trustsShed {
		o.shed = o.resp.StatusCode() == fasthttp.StatusServiceUnavailable && len(o.resp.Header.Peek(HeaderShed)) > 0
	}
	return o
}

// converse sends the request and reads the whole answer.
func (x *exchange) converse(conn *pooler.Conn, addr string) (*fasthttp.Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	left := time.Until(x.deadline)
	if left <= 0 {
		return nil, context.DeadlineExceeded
	}
	outgoing(req, x.request, addr, left)
	if err := conn.Send(req); err != nil {
		return nil, err
	}
	resp := fasthttp.AcquireResponse()
	if err := conn.Receive(resp, x.request.Header.IsHead(), x.relayer.options.Body); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, err
	}
	return resp, nil
}
