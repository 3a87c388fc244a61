package reporter

import (
	"bytes"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestUnreadReportsExceedMemory makes reports that are not sent. Only some may be held, and each
// that was sent, or can't be, makes room for another.
func TestUnreadReportsExceedMemory(t *testing.T) {
	var l reportLimiter
	body := bytes.Repeat([]byte("x"), 1<<20)
	handle := func(ctx *fasthttp.RequestCtx) { ctx.SetBody(body) }
	var unsent []*fasthttp.RequestCtx
	for n := range 3 * maxReports {
		ctx := &fasthttp.RequestCtx{}
		l.serve(ctx, handle)
		want := 200
		if n >= maxReports {
			want = 503
		}
		if got := ctx.Response.StatusCode(); got != want {
			t.Errorf("report %d: got: %d want: %d", n, got, want)
		}
		unsent = append(unsent, ctx)
	}
	for round := range 3 {
		for i := range maxReports {
			_ = unsent[i].Response.CloseBodyStream()
			unsent[i].Response.Reset()
		}
		for i := range maxReports {
			l.serve(unsent[i], handle)
			if got := unsent[i].Response.StatusCode(); got != 200 {
				t.Errorf("round %d, report %d: got: %d want: 200", round, i, got)
			}
		}
		if got := unsent[0].Response.Body(); round == 2 && !bytes.Equal(got, body) {
			t.Errorf("got: %d bytes want: the report", len(got))
		}
	}
}
