package pipeliner

import (
	"context"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/bufferer"
)

// Call is one request of a caller and the response to it.
type Call struct {
	// Request is the request without its body. A handler must not use it after it
	// returns.
	Request *fasthttp.Request
	// Body is the body of the request, nil if it has none. A handler must not use it after
	// it returns.
	Body *bufferer.Body
	// Response is the response, which the handler sets. It may replace it by
	// another one from fasthttp's pool. A body that is a stream must be one of
	// bufferer.
	Response *fasthttp.Response
	// ArrivedAt is when the first bytes of the request were read.
	ArrivedAt time.Time
	// Caller is the IP address of the caller, the zero value if it is not known.
	Caller netip.Addr
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

// responseBody returns the body of the response, nil if it is not in a body of its own.
func (p *pendingCall) responseBody() *bufferer.Body {
	if s, ok := p.Response.BodyStream().(*bufferer.Stream); ok {
		return s.Body()
	}
	return nil
}

// responseSize returns the size of the body of the response in bytes.
func (p *pendingCall) responseSize() int {
	if b := p.responseBody(); b != nil {
		return b.Len()
	}
	return len(p.Response.Body())
}

func (p *pendingCall) release() {
	p.Body.Release()
	fasthttp.ReleaseRequest(p.Request)
	fasthttp.ReleaseResponse(p.Response)
}
