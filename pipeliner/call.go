package pipeliner

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// Call is one request of a caller and the response to it.
type Call struct {
	// Request is the complete request. A handler must not use it after it
	// returns.
	Request *fasthttp.Request
	// Response is the response, which the handler sets. It may replace it by
	// another one from fasthttp's pool.
	Response *fasthttp.Response
	// ArrivedAt is when the first bytes of the request were read.
	ArrivedAt time.Time
}

// Handler serves calls. Both methods are called concurrently.
type Handler interface {
	// Concurrent reports whether the call may run while other calls of its
	// connection run.
	Concurrent(c *Call) bool
	// Handle sets the response of a call. The context ends when the caller
	// disconnects: nobody receives the response then.
	Handle(ctx context.Context, c *Call)
}

// pendingCall is a call between its arrival and the end of its response.
type pendingCall struct {
	Call
	// concurrent is the result of Handler.Concurrent.
	concurrent bool
	// done is set when the response is complete.
	done bool
	// last is set if the connection closes after the response.
	last bool
	// size is the size of the bodies of the request and, when done, of the
	// response, in bytes.
	size int
}

func newPendingCall() *pendingCall {
	p := &pendingCall{}
	p.Request, p.Response = fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	return p
}

func (p *pendingCall) release() {
	fasthttp.ReleaseRequest(p.Request)
	fasthttp.ReleaseResponse(p.Response)
}
