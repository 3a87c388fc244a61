package relayer

import (
	"encoding/json"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/claimer"
	"poplarwind/internal/httper"
	"poplarwind/limiter"
)

// pass copies a server's answer to the caller's.
func pass(ctx *fasthttp.RequestCtx, resp *fasthttp.Response) {
	httper.Strip(&resp.Header)
	for _, name := range []string{HeaderRan, HeaderLoad, HeaderLeaving, HeaderShed} {
		resp.Header.Del(name)
	}
	resp.Header.ResetConnectionClose()
	resp.Header.CopyTo(&ctx.Response.Header)
	ctx.Response.SkipBody = resp.SkipBody
	ctx.Response.SwapBody(resp.SwapBody(nil))
}

// statuses gives the status for each reason of having no answer.
var statuses = []struct {
	cause  error
	status int
}{
	{errNoService, fasthttp.StatusNotFound},
	{errOff, fasthttp.StatusServiceUnavailable},
	{errMethod, fasthttp.StatusNotImplemented},
	{errLengths, fasthttp.StatusBadRequest},
	{errNeedsKey, fasthttp.StatusPreconditionRequired},
	{ErrDeadline, fasthttp.StatusBadRequest},
	{ErrKey, fasthttp.StatusBadRequest},
	{claimer.ErrMismatch, fasthttp.StatusUnprocessableEntity},
	{claimer.ErrMayHaveRun, fasthttp.StatusConflict},
	{claimer.ErrNoClaim, fasthttp.StatusServiceUnavailable},
	{limiter.ErrTeam, fasthttp.StatusTooManyRequests},
	{errOver, fasthttp.StatusGatewayTimeout},
	{errSick, fasthttp.StatusBadGateway},
}

// refuse answers that the call has no answer of a server.
func refuse(ctx *fasthttp.RequestCtx, err error, ran Ran) {
	status := fasthttp.StatusServiceUnavailable
	for _, s := range statuses {
		if errors.Is(err, s.cause) {
			status = s.status
			break
		}
	}
	body, jerr := json.Marshal(struct {
		Error string `json:"error"`
		Ran   string `json:"ran"`
	}{err.Error(), ran.String()})
	if jerr != nil {
		body = nil
	}
	hangUp := ctx.Response.ConnectionClose()
	ctx.Response.Reset()
	if hangUp {
		ctx.SetConnectionClose()
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	ctx.Response.Header.Set(HeaderRan, ran.String())
}
