package runner

import (
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"poplarwind/announcer"
	"poplarwind/internal/acceptor"
	"poplarwind/internal/guarder"
	"poplarwind/relayer"
	"poplarwind/resolver"
)

// The listeners of a daemon, by index in Runner.listeners.
const (
	callers = iota
	peers
	ops
)

const (
	transferTimeout   = 10 * time.Second
	idleTimeout       = time.Minute
	peersMaxBody      = announcer.MaxMessage
	opsMaxBody        = 1024
	internalMaxConns  = 256
	internalMaxHeader = 8 << 10
)

// listener is a listener with the limits on what untrusted clients may send.
type listener struct {
	net.Listener
	// body and header are limits in bytes; conns limits the open connections.
	body, header, conns int
	// stream is set if the handler reads the bodies of requests itself.
	stream bool
}

func (l listener) addr() string { return l.Addr().String() }

// open opens the listeners for callers, peers and operators.
func (r *Runner) open() error {
	p := r.process
	descriptors, err := descriptorLimit()
	if err != nil {
		return err
	}
	limits, err := newConnLimits(descriptors, p.MaxConns())
	if err != nil {
		return err
	}
	for _, d := range []struct {
		addr     string
		listener listener
	}{
		{p.Callers(), listener{body: p.MaxBodyBytes(), header: p.MaxHeaderBytes(), conns: limits.callers}},
		{p.Peers(), listener{body: peersMaxBody, header: internalMaxHeader, conns: limits.others, stream: true}},
		{p.Ops(), listener{body: opsMaxBody, header: internalMaxHeader, conns: limits.others}},
	} {
		l, err := net.Listen("tcp", d.addr)
		if err != nil {
			return errors.Annotate(err, "listening")
		}
		d.listener.Listener = l
		r.listeners = append(r.listeners, d.listener)
	}
	return nil
}

// serve starts a server on each listener and returns the servers.
func (r *Runner) serve(g *errgroup.Group) []*fasthttp.Server {
	handlers := []fasthttp.RequestHandler{callers: r.serveCaller, peers: r.announcer.Handle, ops: r.reporter.Handle}
	servers := make([]*fasthttp.Server, 0, len(handlers))
	for i, l := range r.listeners {
		s := l.server(guarder.Handler(r.log, handlers[i]))
		servers = append(servers, s)
		limiter := &acceptor.Limiter{Listener: &acceptor.Listener{Listener: l.Listener, Log: r.log}, Max: l.conns, Log: r.log}
		s.ConnState = limiter.ConnState
		g.Go(func() error { return s.Serve(limiter) })
	}
	return servers
}

// server returns a server with the limits of the listener. The connections are to be bounded by
// an acceptor.Limiter; the server's own bound is higher, as it counts closed ones for a while.
func (l listener) server(handle fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handle, ErrorHandler: handleReadError, MaxRequestBodySize: l.body, ReadBufferSize: l.header,
		Concurrency: 2 * l.conns, ReadTimeout: transferTimeout, WriteTimeout: transferTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, NoDefaultContentType: true, NoDefaultDate: true, CloseOnShutdown: true,
		DisablePreParseMultipartForm: true, StreamRequestBody: l.stream, Logger: discardLogger{},
	}
}

// discardLogger discards fasthttp's log messages about individual connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// handleReadError responds to a request that could not be read, and so was not
// run, and closes the connection.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var headerErr *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &headerErr):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(relayer.HeaderRan, relayer.RanNo.String())
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"error":"request can't be read","ran":"no"}`)
	ctx.SetConnectionClose()
}

// serveCaller passes a request to the resolver or the relayer. Once
// closeConnections is set, the response closes the connection.
func (r *Runner) serveCaller(ctx *fasthttp.RequestCtx) {
	r.lastCall.Store(time.Now().UnixNano())
	if string(ctx.Path()) == resolver.EntriesPath {
		r.resolver.Handle(ctx)
	} else {
		r.relayer.Handle(ctx)
	}
	if r.closeConnections.Load() {
		ctx.SetConnectionClose()
	}
}
