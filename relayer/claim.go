package relayer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/claimer"
)

// beforeClaim says whether the call of a request ran that is refused before
// its claim was looked at. The request itself did not; but an earlier sending
// with its key may have, unless the caller asserts that there was none.
func beforeClaim(req *fasthttp.Request) Ran {
	if len(req.Header.Peek(HeaderKey)) > 0 && string(req.Header.Peek(HeaderFirst)) != "1" {
		return RanUnknown
	}
	return RanNo
}

// carry serves the call, under a claim if it has a key and must not run
// twice.
func (r *Relayer) carry(x *exchange) verdict {
	raw := x.request.Header.Peek(HeaderKey)
	if x.repeat || len(raw) == 0 {
		if len(raw) == 0 && x.route.KeyRequired() {
			return verdict{err: errNeedsKey}
		}
		return x.serve()
	}
	key, err := ParseKey(raw)
	if err != nil {
		return verdict{err: err}
	}
	claim, known, err := r.claim(x, key)
	switch {
	case known != nil:
		return replay(known)
	case errors.Is(err, claimer.ErrNoClaim):
		return verdict{err: err, ran: beforeClaim(x.request)}
	case errors.Is(err, claimer.ErrMayHaveRun):
		return verdict{err: err, ran: RanUnknown}
	case err != nil:
		return verdict{err: err}
	}
	v := x.serve()
	r.settle(claim, v)
	return v
}

// claimPart is the part of a call's time that taking its claim may use.
const claimPart = 0.8

func (r *Relayer) claim(x *exchange, key string) (*claimer.Claim, *claimer.Outcome, error) {
	if r.options.Claims == nil {
		return nil, nil, errors.Trace(claimer.ErrNoClaim)
	}
	limit := time.Duration(claimPart * float64(time.Until(x.deadline)))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	digest := claimer.Print(string(x.request.Header.Method()), string(x.request.RequestURI()), x.request.Body())
	return r.options.Claims.Claim(ctx, x.service.path, key, digest)
}

// settle writes down how a claimed call ended, beside its path.
func (r *Relayer) settle(c *claimer.Claim, v verdict) {
	switch v.ran {
	case RanNo:
		r.options.Claims.Void(c)
	case RanUnknown:
		r.options.Claims.Lose(c)
	case RanYes:
		o := claimer.Outcome{Status: v.resp.StatusCode(), Type: string(v.resp.Header.ContentType())}
		o.Body = append(o.Body, v.resp.Body()...)
		r.options.Claims.Done(c, o)
	}
}

// replay turns a recorded outcome into an answer.
func replay(o *claimer.Outcome) verdict {
	resp := fasthttp.AcquireResponse()
	resp.Header.Set(HeaderReplay, "1")
	if o.Omitted {
		resp.SetStatusCode(fasthttp.StatusConflict)
		resp.SetBodyString(`{"error":"call ran before and its answer was too large to keep"}`)
		return verdict{resp: resp, ran: RanYes}
	}
	resp.SetStatusCode(o.Status)
	resp.Header.SetContentType(o.Type)
	resp.SetBody(o.Body)
	return verdict{resp: resp, ran: RanYes}
}
