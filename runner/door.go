package runner

import (
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"poplarwind/announcer"
	"poplarwind/relayer"
	"poplarwind/resolver"
)

// The listeners of a daemon, by place in Runner.doors.
const (
	callers = iota
	peers
	ops
)

const (
	slowSender   = 10 * time.Second
	idleCaller   = time.Minute
	peersBody    = announcer.MaxMessage
	opsBody      = 1024
	peersAndOps  = 256
	smallHeaders = 8 << 10
)

// door is a listener with the bounds on what strangers may send to it.
type door struct {
	net.Listener
	// body and header are in bytes, conns in connections.
	body, header, conns int
}

func (d door) addr() string { return d.Addr().String() }

// open opens the listeners.
func (r *Runner) open() error {
	p := r.process
	for _, d := range []struct {
		addr string
		door door
	}{
		{p.Callers(), door{body: p.Body(), header: p.Header(), conns: p.Conns()}},
		{p.Peers(), door{body: peersBody, header: smallHeaders, conns: peersAndOps}},
		{p.Ops(), door{body: opsBody, header: smallHeaders, conns: peersAndOps}},
	} {
		l, err := net.Listen("tcp", d.addr)
		if err != nil {
			return errors.Annotate(err, "listening")
		}
		d.door.Listener = l
		r.doors = append(r.doors, d.door)
	}
	return nil
}

// serve answers on the listeners.
func (r *Runner) serve(g *errgroup.Group) []*fasthttp.Server {
	handlers := []fasthttp.RequestHandler{callers: r.serveCaller, peers: r.announcer.Handle, ops: r.reporter.Handle}
	servers := make([]*fasthttp.Server, 0, len(handlers))
	for i, d := range r.doors {
		s := d.server(handlers[i])
		servers = append(servers, s)
		g.Go(func() error { return s.Serve(d.Listener) })
	}
	return servers
}

// server returns a server with the bounds of the door.
func (d door) server(handle fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handle, ErrorHandler: badRequest, MaxRequestBodySize: d.body, ReadBufferSize: d.header,
		Concurrency: d.conns, ReadTimeout: slowSender, WriteTimeout: slowSender, IdleTimeout: idleCaller,
		NoDefaultServerHeader: true, NoDefaultContentType: true, NoDefaultDate: true, CloseOnShutdown: true,
		DisablePreParseMultipartForm: true, Logger: quiet{},
	}
}

// quiet drops what fasthttp logs about single connections.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// badRequest answers a request that could not be read. It was not run.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(relayer.HeaderRan, relayer.RanNo.String())
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"error":"request can't be read","ran":"no"}`)
	ctx.SetConnectionClose()
}

func (r *Runner) serveCaller(ctx *fasthttp.RequestCtx) {
	r.lastCall.Store(time.Now().UnixNano())
	if string(ctx.Path()) == resolver.Path {
		r.resolver.Handle(ctx)
	} else {
		r.relayer.Handle(ctx)
	}
	if r.closing.Load() {
		ctx.SetConnectionClose()
	}
}
