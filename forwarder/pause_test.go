package forwarder

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
)

// newPausingEntry returns an entry in front of n upstreams whose next responses ask for a
// pause of 5 s.
func (tb *testbed) newPausingEntry(t *testing.T, n int, f fault, times int) *Forwarder {
	for range times {
		tb.plan = append(tb.plan, f)
	}
	return tb.newEntry(t, n)
}

// TestNoRequestsDuringPause has one of two upstreams ask for a pause, in responses of
// several kinds: no request reaches it until the pause ends, and all are served.
func TestNoRequestsDuringPause(t *testing.T) {
	for _, f := range []fault{shedPause, shedPauseUnnamed, shedPauseCut, shedPauseStale} {
		for _, path := range []string{"/read/1", "/order/1"} {
			t.Run(fmt.Sprintf("%s/%s", path[1:5], f), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					tb := &testbed{runs: make(map[string]int), load: make(map[string]int), reached: make(map[string]int)}
					defer tb.close()
					e := tb.newPausingEntry(t, 2, f, 1)
					send(e, path, "first")
					paused := ""
					for _, u := range e.Status()[0].Upstreams {
						if u.PauseLeft > 0 {
							paused = u.ID
						}
					}
					before := tb.reachedBy(paused)
					for i := range 40 {
						time.Sleep(100 * time.Millisecond)
						if got := send(e, path, fmt.Sprint("r", i)).StatusCode(); got != fasthttp.StatusOK {
							t.Errorf("got: %d beside a free upstream want: 200", got)
						}
					}
					if got := tb.reachedBy(paused) - before; paused == "" || got > 0 {
						t.Errorf("%q: got: %d requests and load probes in its pause want: none", paused, got)
					}
				})
			})
		}
	}
}

// TestRejectWhileAllUpstreamsPause has all upstreams ask for a pause that is longer than
// callers wait: requests are rejected at once, with the time until it ends, and reach no
// upstream.
func TestRejectWhileAllUpstreamsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: make(map[string]int), load: make(map[string]int), reached: make(map[string]int)}
		defer tb.close()
		e := tb.newPausingEntry(t, 2, shedPause, 2)
		send(e, "/order/1", "first")
		time.Sleep(time.Second)
		before := tb.reachedBy("u0") + tb.reachedBy("u1")
		start := time.Now()
		resp := send(e, "/order/1", "r")
		seconds, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
		if resp.StatusCode() != fasthttp.StatusServiceUnavailable || time.Since(start) > 10*time.Millisecond || err != nil || seconds < 3.9 || seconds > 4.6 {
			t.Errorf("got: %d after %v, Retry-After %q want: 503 at once, about 4 s", resp.StatusCode(), time.Since(start), resp.Header.Peek("Retry-After"))
		}
		if got := tb.reachedBy("u0") + tb.reachedBy("u1") - before; got > 0 || len(tb.runs) > 0 {
			t.Errorf("got: %d requests and load probes, %d runs want: none", got, len(tb.runs))
		}
	})
}

// TestWaitForEndOfPause sends a request shortly before the pauses of all upstreams end: it
// waits and is served.
func TestWaitForEndOfPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: make(map[string]int), load: make(map[string]int), reached: make(map[string]int)}
		defer tb.close()
		e := tb.newPausingEntry(t, 2, shedPause, 2)
		send(e, "/order/1", "first")
		time.Sleep(4500 * time.Millisecond)
		if got := send(e, "/order/1", "r").StatusCode(); got != fasthttp.StatusOK {
			t.Errorf("got: %d want: 200", got)
		}
	})
}

// TestPauseInLoadProbe has upstreams ask for a pause in responses to load probes: they get
// no request, and the probe is not repeated.
func TestPauseInLoadProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: make(map[string]int), load: make(map[string]int), reached: make(map[string]int), pausingProbes: true}
		defer tb.close()
		e := tb.newEntry(t, 1)
		for i := range 30 {
			send(e, "/order/1", fmt.Sprint("r", i))
		}
		if got := tb.reachedBy("u0"); got != 1 || len(tb.runs) > 0 {
			t.Errorf("got: %d load probes and %d runs want: one and none", got, len(tb.runs))
		}
	})
}
