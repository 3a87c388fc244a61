package relayer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/keeper"
)

// TestRefusedRepeat lets a call with a key run and lose its answer, and sends
// it again when the entry has no place, or the service is not known: only a
// sending that says it is the first may be told no.
func TestRefusedRepeat(t *testing.T) {
	for _, v := range []struct{ name, uri, first, want string }{
		{"no place", "/t/s/orders", "", "unknown"},
		{"no place, first", "/t/s/orders", "1", "no"},
		{"no service", "/t/gone/orders", "", "unknown"},
		{"no service, first", "/t/gone/orders", "1", "no"},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				w := &world{runs: map[string]int{}, objects: map[string][]keeper.Object{}, plan: []fault{runAndCut, runSlowly}}
				r := w.entryOf(ctx, "e1", 1)
				if got := send(r, "POST", "order", "key"); got.ran != "unknown" {
					t.Errorf("first sending: got: %v want: unknown", got)
				}
				go send(r, "GET", "slow", "")
				time.Sleep(100 * time.Millisecond)
				var req fasthttp.Request
				req.Header.SetMethod("POST")
				req.SetRequestURI(v.uri)
				req.Header.Set(HeaderKey, "key")
				if v.first != "" {
					req.Header.Set(HeaderFirst, v.first)
				}
				var c fasthttp.RequestCtx
				c.Init(&req, nil, nil)
				r.Handle(&c)
				if got := string(c.Response.Header.Peek(HeaderRan)); got != v.want || c.Response.StatusCode() == fasthttp.StatusOK {
					t.Errorf("got: %d %s want: a refusal and %s", c.Response.StatusCode(), got, v.want)
				}
				time.Sleep(5 * time.Second)
				cancel()
				w.shut()
			})
		})
	}
}
