package forwarder

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/internal/httper"
	"poplarwind/placer"
)

// statuses gives the status of requests that no upstream may have run, by the
// reason why there is no answer. Others get 503.
var statuses = []struct {
	cause  error
	status int
}{
	{errLengths, fasthttp.StatusBadRequest},
	{errNoRoute, fasthttp.StatusNotFound},
	{errLarge, fasthttp.StatusRequestEntityTooLarge},
}

// status returns the status for a request that ended without an upstream's
// answer. One that may have run is told so by 502 and 504, which promise
// nothing.
func (x *exchange) status(err error) int {
	if x.maybeRun {
		if !time.Now().Before(x.deadline) {
			return fasthttp.StatusGatewayTimeout
		}
		return fasthttp.StatusBadGateway
	}
	for _, s := range statuses {
		if errors.Is(err, s.cause) {
			return s.status
		}
	}
	return fasthttp.StatusServiceUnavailable
}

// answer gives the caller its answer.
func (x *exchange) answer(v verdict) {
	if v.resp != nil {
		pass(x.ctx, v.resp)
		return
	}
	status := x.status(v.err)
	hangUp := x.ctx.Response.ConnectionClose()
	x.ctx.Response.Reset()
	if hangUp {
		x.ctx.SetConnectionClose()
	}
	x.ctx.SetStatusCode(status)
	if status == fasthttp.StatusServiceUnavailable {
		after := max(x.retryAfter, minRetryAfter)
		x.ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{v.err.Error()})
	if err != nil {
		body = nil
	}
	x.ctx.SetContentType("application/json")
	x.ctx.SetBody(body)
}

// pass copies an upstream's answer to the caller's, and releases it.
func pass(ctx *fasthttp.RequestCtx, resp *fasthttp.Response) {
	httper.Strip(&resp.Header)
	resp.Header.ResetConnectionClose()
	resp.Header.CopyTo(&ctx.Response.Header)
	ctx.Response.SkipBody = resp.SkipBody
	ctx.Response.SwapBody(resp.SwapBody(nil))
	fasthttp.ReleaseResponse(resp)
}

// Record tells how a request ended.
type Record struct {
	ID, Route, Service string
	// Upstreams are those that it was sent to, in order.
	Upstreams []string
	Status    int
	// Cause is why there is no upstream's answer, empty if there is one.
	Cause string
	// Version is that of the configuration that the request was routed by.
	Version int64
	// Waited is how long it stood in the line, Took how long it was here, and
	// Left how much of its time it still had.
	Waited, Took, Left time.Duration
	RetryAfter         time.Duration
	Rank               int
	// Loads are what the upstreams last told of their load, as of Took.
	Loads []Load
}

// Load is what was known of an upstream's load.
type Load struct {
	// Own counts this entry's requests there, Running and Waiting those of
	// all, as the upstream last told.
	Own      int     `json:"own"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Slowness float64 `json:"slowness"`
	// Age is how old the report is, negative if there was none.
	Age time.Duration `json:"age_ns"`
}

func loadOf(u *placer.Upstream, now time.Time) Load {
	r := u.Report()
	l := Load{Own: u.Own(), Running: r.Running, Waiting: r.Waiting, Slowness: r.Slowness, Age: -1}
	if !r.At.IsZero() {
		l.Age = now.Sub(r.At)
	}
	return l
}

func (x *exchange) record(v verdict) *Record {
	now := time.Now()
	r := &Record{ID: string(x.id), Status: x.ctx.Response.StatusCode(), Version: x.version, Waited: x.waited, Took: now.Sub(x.start)}
	if v.err != nil {
		r.Cause = v.err.Error()
	}
	if x.path == nil {
		return r
	}
	r.Route, r.Rank, r.Left, r.RetryAfter = x.path.Name, x.path.Rank, x.deadline.Sub(now), x.retryAfter
	if x.service == nil {
		return r
	}
	r.Service = x.service.name
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	for _, u := range x.attempts {
		r.Upstreams = append(r.Upstreams, u.ID())
		r.Loads = append(r.Loads, loadOf(u, now))
	}
	return r
}
