package runner

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/parser"
)

// TestPanicEndsEntry has a task of an entry and the handler of a listener panic. The entry must go on and
// respond at each listener, and stop as usual.
func TestPanicEndsEntry(t *testing.T) {
	s := newGatewayEnv(t, time.Millisecond)
	p, err := parser.ParseProcess("test", []byte(s.settings("e1", "1s")))
	if err != nil {
		t.Fatal(err)
	}
	g, err := NewGateway(p, slog.New(slog.DiscardHandler), func() int64 { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	for i := range g.listeners {
		if g.listeners[i].name == "directory" {
			g.listeners[i].handle = func(*fasthttp.RequestCtx) { panic("odd request") }
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	runs, done := make(chan struct{}, 8), make(chan error, 1)
	go func() {
		done <- g.run(ctx, func(ctx context.Context) error {
			runs <- struct{}{}
			if len(runs) < 2 {
				panic("odd object")
			}
			<-ctx.Done()
			return nil
		})
	}()
	for range 3 {
		for uri, want := range map[string]int{p.Gateway().ResolveAddr() + "/": 500, p.Ops() + "/metrics": 200} {
			if code, _, err := fasthttp.GetTimeout(nil, "http://"+uri, 2*time.Second); code != want {
				t.Errorf("%s: got: %d, %v want: %d", uri, code, err, want)
			}
		}
	}
	for start := time.Now(); len(runs) < 2; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatal("got: the task not run again in 5 s want: again")
		}
	}
	stop()
	if err := <-done; err != nil {
		t.Errorf("got: %v want: a graceful stop", err)
	}
}
