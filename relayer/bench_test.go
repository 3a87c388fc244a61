package relayer

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/dispatcher"
	"poplarwind/storer"
	"poplarwind/watcher"
)

// BenchmarkRelay relays a call to a server over TCP on loopback, without the
// caller's connection.
func BenchmarkRelay(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Shutdown() }()
	r := New(Options{})
	var cache watcher.Cache
	cache.Apply(storer.Object{Path: storer.Prefix + "/t/s", Version: 1, Data: []byte(`{"doc":"{\"slots\": 64, \"deadline\": \"60s\"}"}`)})
	r.Configure(cache.Snapshot())
	r.Service("/t/s").Update(func(_ time.Time, d *dispatcher.Dispatcher) { d.Add("s", l.Addr().String(), "a", true, false) })
	var req fasthttp.Request
	req.SetRequestURI("http://h/t/s/x")
	var ctx fasthttp.RequestCtx
	ctx.Init(&req, nil, nil)
	b.ReportAllocs()
	for b.Loop() {
		ctx.Response.Reset()
		r.Handle(&ctx)
		if ctx.Response.StatusCode() != fasthttp.StatusOK {
			b.Fatal(ctx.Response.String())
		}
	}
}
