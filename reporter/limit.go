package reporter

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// maxReports bounds the reports that are made or sent at the same time: a report of a large
// deployment has some megabytes, and its reader may be slow.
const maxReports = 4

// reportRetryAfter is the Retry-After value in seconds of a report for which there is no room.
const reportRetryAfter = "1"

// reportLimiter bounds the reports that are held. Its zero value is ready to use.
type reportLimiter struct{ held atomic.Int64 }

// serve makes a report by the handler and holds it until it was sent. If there are too many, it
// responds with 503.
func (l *reportLimiter) serve(ctx *fasthttp.RequestCtx, handle fasthttp.RequestHandler) {
	if l.held.Add(1) > maxReports {
		l.held.Add(-1)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, reportRetryAfter)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	handle(ctx)
	body := ctx.Response.SwapBody(nil)
	ctx.Response.SetBodyStream(&report{Reader: bytes.NewReader(body), limiter: l}, len(body))
}

// report is the body of a report that is being sent.
type report struct {
	io.Reader
	limiter *reportLimiter
	closed  atomic.Bool
}

// Close implements io.Closer. The server calls it when the report was sent or can't be.
func (r *report) Close() error {
	if !r.closed.Swap(true) {
		r.limiter.held.Add(-1)
	}
	return nil
}
