package forwarder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/placer"
)

// newLimitedEntry returns an entry in front of two upstreams of one slot, both of which
// are known to state a limit of 2 a second, and of which it has the given fraction.
func (tb *testbed) newLimitedEntry(t *testing.T, fraction float64) *Forwarder {
	f := tb.newEntry(t, 2)
	f.options.LimitFraction = func(placer.Spec, float64) float64 { return fraction }
	err := f.ApplyLimitReports("other", []LimitReport{{Service: "s", Upstream: "u0", Rate: 2, Limited: true}, {Service: "s", Upstream: "u1", Rate: 2, Limited: true}})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestRejectAtOnceWithoutLimitFraction sends a request to an entry that has no fraction
// of the rate limit of any upstream: it must reject it at once instead of letting it
// wait until its deadline.
func TestRejectAtOnceWithoutLimitFraction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: make(map[string]int), load: make(map[string]int)}
		defer tb.close()
		f := tb.newLimitedEntry(t, 0)
		start := time.Now()
		resp := send(f, "/order/1", "r1")
		if d := time.Since(start); resp.StatusCode() != fasthttp.StatusServiceUnavailable || d > 10*time.Millisecond {
			t.Errorf("got: %d after %v want: 503 at once", resp.StatusCode(), d)
		}
		if len(resp.Header.Peek("Retry-After")) == 0 || len(tb.runs) > 0 {
			t.Errorf("got: Retry-After %q, %d runs want: a time, none", resp.Header.Peek("Retry-After"), len(tb.runs))
		}
	})
}

// TestRequestsWaitForRateLimit sends more requests than the upstreams' limits allow:
// those within the limits are served after a wait, and the others rejected without
// having run.
func TestRequestsWaitForRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: make(map[string]int), load: make(map[string]int), work: 10 * time.Millisecond}
		defer tb.close()
		f := tb.newLimitedEntry(t, 1)
		served, rejected := 0, 0
		for i := range 20 {
			id := fmt.Sprint("r", i)
			switch status := send(f, "/order/1", id).StatusCode(); {
			case status == fasthttp.StatusOK && tb.runs[id] == 1:
				served++
			case status == fasthttp.StatusServiceUnavailable && tb.runs[id] == 0:
				rejected++
			default:
				t.Errorf("%s: got: %d, %d runs want: 200 and one, or 503 and none", id, status, tb.runs[id])
			}
		}
		if served == 0 {
			t.Errorf("got: %d served, %d rejected want: some served", served, rejected)
		}
	})
}

// TestInvalidLimitReports applies invalid reports of another entry: the error is typed,
// and no limit changes.
func TestInvalidLimitReports(t *testing.T) {
	tb := &testbed{runs: make(map[string]int), load: make(map[string]int)}
	f := tb.newEntry(t, 1)
	for _, r := range []LimitReport{
		{Service: "s", Upstream: "u0", Rate: -1, Limited: true},
		{Service: "s", Upstream: "u0", Rate: 1, Limited: true, Age: -1},
		{Service: "s", Upstream: "u0", Rate: 1, Limited: true, Age: 2 * maxLimitAge},
	} {
		valid := LimitReport{Service: "s", Upstream: "u0", Rate: 1, Limited: true}
		if err := f.ApplyLimitReports("other", []LimitReport{valid, r}); !errors.Is(err, errors.NotValid) {
			t.Errorf("%+v: got: %v want: not valid", r, err)
		}
	}
	if u := f.Status()[0].Upstreams[0]; u.RateLimit != nil {
		t.Errorf("got: a limit of %v want: none", *u.RateLimit)
	}
	for _, r := range []LimitReport{{Service: "none", Upstream: "u0", Limited: true}, {Service: "s", Upstream: "none", Limited: true}} {
		if err := f.ApplyLimitReports("other", []LimitReport{r}); err != nil {
			t.Errorf("%+v: got: %v want: skipped", r, err)
		}
	}
}
