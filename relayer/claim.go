package relayer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/claimer"
)

// ranBeforeClaim returns the value of HeaderRan for a request that is rejected
// before its claim is read. The call did not run for this request, but may have
// run for an earlier one with the same key, unless the caller asserts that there
// was none.
func ranBeforeClaim(req *fasthttp.Request) Ran {
	if len(req.Header.Peek(HeaderKey)) > 0 && string(req.Header.Peek(HeaderFirst)) != "1" {
		return RanUnknown
	}
	return RanNo
}

// serve runs the call. If the call has a key and must not run twice, serve
// acquires a claim first and settles it afterwards.
func (r *Relayer) serve(x *exchange) callResult {
	raw := x.request.Header.Peek(HeaderKey)
	if x.repeatable || len(raw) == 0 {
		if len(raw) == 0 && x.route.KeyRequired() {
			return callResult{err: errKeyRequired}
		}
		return x.execute()
	}
	key, err := ParseKey(raw)
	if err != nil {
		return callResult{err: err}
	}
	claim, recorded, err := r.acquireClaim(x, key)
	switch {
	case recorded != nil:
		return replay(recorded)
	case errors.Is(err, claimer.ErrNoClaim):
		return callResult{err: err, ran: ranBeforeClaim(x.request)}
	case errors.Is(err, claimer.ErrMayHaveRun):
		return callResult{err: err, ran: RanUnknown}
	case err != nil:
		return callResult{err: err}
	}
	res := x.execute()
	r.settleClaim(claim, res)
	return res
}

// claimTimeFraction is the fraction of a call's remaining time that acquiring
// its claim may take.
const claimTimeFraction = 0.8

func (r *Relayer) acquireClaim(x *exchange, key string) (*claimer.Claim, *claimer.Outcome, error) {
	if r.options.Claimer == nil {
		return nil, nil, errors.Trace(claimer.ErrNoClaim)
	}
	timeout := time.Duration(claimTimeFraction * float64(time.Until(x.deadline)))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	digest := claimer.Fingerprint(string(x.request.Header.Method()), string(x.request.RequestURI()), x.request.Body())
	return r.options.Claimer.Acquire(ctx, x.service.path, key, digest)
}

// settleClaim records the result of a claimed call. The record is written
// asynchronously, off the call's path.
func (r *Relayer) settleClaim(c *claimer.Claim, res callResult) {
	switch res.ran {
	case RanNo:
		r.options.Claimer.Release(c)
	case RanUnknown:
		r.options.Claimer.RecordLost(c)
	case RanYes:
		o := claimer.Outcome{Status: res.resp.StatusCode(), Type: string(res.resp.Header.ContentType())}
		o.Body = append(o.Body, res.resp.Body()...)
		r.options.Claimer.RecordOutcome(c, o)
	}
}

// replay returns a recorded outcome as the result of the call.
func replay(o *claimer.Outcome) callResult {
	resp := fasthttp.AcquireResponse()
	resp.Header.Set(HeaderReplay, "1")
	if o.Omitted {
		resp.SetStatusCode(fasthttp.StatusConflict)
		resp.SetBodyString(`{"error":"call ran before and its answer was too large to keep"}`)
		return callResult{resp: resp, ran: RanYes}
	}
	resp.SetStatusCode(o.Status)
	resp.Header.SetContentType(o.Type)
	resp.SetBody(o.Body)
	return callResult{resp: resp, ran: RanYes}
}
