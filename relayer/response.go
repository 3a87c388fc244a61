package relayer

import (
	"encoding/json"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/claimer"
	"poplarwind/internal/sanitizer"
	"poplarwind/limiter"
)

// copyResponse copies a server's response to the caller's, without the headers
// that are for this entry only.
func copyResponse(ctx *fasthttp.RequestCtx, resp *fasthttp.Response) {
	sanitizer.StripHopByHop(&resp.Header)
	for _, name := range []string{HeaderRan, HeaderLoad, HeaderDraining, HeaderShed} {
		resp.Header.Del(name)
	}
	resp.Header.ResetConnectionClose()
	resp.Header.CopyTo(&ctx.Response.Header)
	ctx.Response.SkipBody = resp.SkipBody
	ctx.Response.SwapBody(resp.SwapBody(nil))
}

// errorStatuses maps errors to the status of the response. Other errors give
// 503.
var errorStatuses = []struct {
	cause  error
	status int
}{
	{errNoService, fasthttp.StatusNotFound},
	{errWithdrawn, fasthttp.StatusServiceUnavailable},
	{errMethod, fasthttp.StatusNotImplemented},
	{errLengths, fasthttp.StatusBadRequest},
	{errKeyRequired, fasthttp.StatusPreconditionRequired},
	{ErrDeadline, fasthttp.StatusBadRequest},
	{ErrKey, fasthttp.StatusBadRequest},
	{claimer.ErrMismatch, fasthttp.StatusUnprocessableEntity},
	{claimer.ErrMayHaveRun, fasthttp.StatusConflict},
	{claimer.ErrNoClaim, fasthttp.StatusServiceUnavailable},
	{limiter.ErrTeam, fasthttp.StatusTooManyRequests},
	{errTimeout, fasthttp.StatusGatewayTimeout},
	{errNoResponse, fasthttp.StatusBadGateway},
}

// reject sends the caller err as an error response, with the status that
// errorStatuses gives for it. It is used if there is no response from a server.
func reject(ctx *fasthttp.RequestCtx, err error, ran Ran) {
	status := fasthttp.StatusServiceUnavailable
	for _, s := range errorStatuses {
		if errors.Is(err, s.cause) {
			status = s.status
			break
		}
	}
	body, marshalErr := json.Marshal(struct {
		Error string `json:"error"`
		Ran   string `json:"ran"`
	}{err.Error(), ran.String()})
	if marshalErr != nil {
		body = nil
	}
	closeConn := ctx.Response.ConnectionClose()
	ctx.Response.Reset()
	if closeConn {
		ctx.SetConnectionClose()
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	ctx.Response.Header.Set(HeaderRan, ran.String())
}
