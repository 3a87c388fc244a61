package relayer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/storer"
)

// TestRejectedResend runs a call with a key, loses its response, and sends it
// again while the entry is at capacity, or to an unknown service. The call has
// run already, so the rejection may say that it did not run only if the request
// asserts that it is the first.
func TestRejectedResend(t *testing.T) {
	for _, v := range []struct{ name, uri, first, want string }{
		{"at capacity", "/t/s/orders", "", "unknown"},
		{"at capacity, first", "/t/s/orders", "1", "no"},
		{"unknown service", "/t/gone/orders", "", "unknown"},
		{"unknown service, first", "/t/gone/orders", "1", "no"},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				b := &testbed{runs: map[string]int{}, objects: map[string][]storer.Object{}, plan: []fault{runAndReset, slowRun}}
				r := b.entryWithLimit(ctx, "e1", 1)
				if got := send(r, "POST", "order", "key"); got.ran != "unknown" {
					t.Errorf("first request: got: %v want: unknown", got)
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
					t.Errorf("got: %d %s want: a rejection and %s", c.Response.StatusCode(), got, v.want)
				}
				time.Sleep(5 * time.Second)
				cancel()
				b.close()
			})
		})
	}
}

// TestShedCallRetriedDownstream sends a call to a server that sheds it and states that
// it was retried already. It must not be sent to another server: retries of several
// layers would multiply.
func TestShedCallRetriedDownstream(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			b := &testbed{runs: map[string]int{}, objects: map[string][]storer.Object{}, plan: []fault{shedRetried}}
			r := b.entry(ctx, "e1")
			if got := send(r, method, "id", ""); got.status == fasthttp.StatusOK || got.ran != "no" || b.runs["id"] != 0 {
				t.Errorf("%s: got: %v, %d runs want: a rejection, no, 0", method, got, b.runs["id"])
			}
			cancel()
			b.close()
		})
	}
}
