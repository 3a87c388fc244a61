package forwarder

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"poplarwind/placer"
	"poplarwind/router"
)

// newColdTestbed returns a testbed with an entry in front of two upstreams, the first of which says in load
// probes that it is cold. Cold upstreams tolerate rate requests per second.
func newColdTestbed(t *testing.T, rate float64) (*testbed, *Forwarder) {
	tb := &testbed{runs: make(map[string]int), load: make(map[string]int), reached: make(map[string]int), work: 5 * time.Millisecond, warmups: map[string]string{"u0": "1h"}}
	f := tb.newEntry(t, 2)
	s := f.Table().Spec()
	s.Version++
	s.Services[0].WarmupRate, s.Services[0].WarmupTime = rate, 3*time.Second
	table, err := router.NewTable(s, nil)
	if err != nil {
		t.Fatal(err)
	}
	f.Configure(table)
	return tb, f
}

// TestWarmupInProbe has an upstream say in load probes that it is cold: it must get no more requests than it
// tolerates, others are told, and it is used as before once its probes no longer say so. Without a
// warm-up rate the header must have no effect.
func TestWarmupInProbe(t *testing.T) {
	for _, rate := range []float64{0, 2} {
		t.Run(fmt.Sprint("rate=", rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb, f := newColdTestbed(t, rate)
				defer tb.close()
				sent := func(n int, pause time.Duration) int {
					for i := range n {
						time.Sleep(pause)
						if got := send(f, "/read/1", fmt.Sprint("r", i)).StatusCode(); got != fasthttp.StatusOK {
							t.Errorf("got: %d beside a warm upstream want: 200", got)
						}
					}
					return int(f.Status()[0].Upstreams[0].SentWhileCold)
				}
				cold := sent(100, 50*time.Millisecond)
				reports := f.TakeWarmupReports()
				status := f.Status()[0].Upstreams[0]
				if rate == 0 {
					if cold > 0 || len(reports) > 0 || status.WarmupLeft > 0 {
						t.Errorf("got: %d requests while cold, %d reports, %v left want: the header ignored", cold, len(reports), status.WarmupLeft)
					}
					return
				}
				if cold == 0 || cold > 12 {
					t.Errorf("got: %d requests to the cold upstream in 5 s want: 1 to 12", cold)
				}
				if len(reports) != 1 || reports[0].Upstream != "u0" || reports[0].Left < 59*time.Minute {
					t.Errorf("got: reports %+v want: one, of the cold upstream", reports)
				}
				other := tb.newEntry(t, 2)
				other.Configure(f.Table())
				if err := other.ApplyWarmupReports("e", reports); err != nil || other.Status()[0].Upstreams[0].WarmupLeft == 0 {
					t.Errorf("got: %v, %+v want: cold at the other entry as well", err, other.Status()[0].Upstreams[0])
				}
				tb.mu.Lock()
				tb.warmups = nil
				tb.mu.Unlock()
				sent(20, 100*time.Millisecond)
				if left, reports := f.Status()[0].Upstreams[0].WarmupLeft, f.TakeWarmupReports(); left > 0 || len(reports) != 1 || reports[0].Left != 0 {
					t.Errorf("got: %v left, reports %+v want: warm, and others told", left, reports)
				}
			})
		})
	}
}

// TestInvalidWarmupReports applies invalid reports of another entry: the error is typed, and no upstream becomes
// cold.
func TestInvalidWarmupReports(t *testing.T) {
	tb, f := newColdTestbed(t, 2)
	defer tb.close()
	valid := WarmupReport{Service: "s", Upstream: "u0", Left: time.Second}
	for _, r := range []WarmupReport{
		{Service: "s", Upstream: "u0", Left: -1},
		{Service: "s", Upstream: "u0", Left: 2 * maxLimitAge},
		{Service: "s", Upstream: "u0", Left: 1, Age: -1},
		{Service: "s", Upstream: "u0", Left: 1, Age: 2 * maxLimitAge},
	} {
		if err := f.ApplyWarmupReports("other", []WarmupReport{valid, r}); !errors.Is(err, errors.NotValid) {
			t.Errorf("%+v: got: %v want: not valid", r, err)
		}
	}
	if u := f.Status()[0].Upstreams[0]; u.WarmupLeft > 0 {
		t.Errorf("got: cold for %v want: not", u.WarmupLeft)
	}
	if err := f.ApplyWarmupReports("other", []WarmupReport{{Service: "none"}, {Service: "s", Upstream: "none"}}); err != nil {
		t.Errorf("got: %v want: skipped", err)
	}
}

// TestQueuedRequestsLeaveEvacuatedDomain evacuates a failure domain whose upstream is full while requests wait and
// run: those that run complete, and those that wait are sent to an upstream of another domain at once. With
// all domains evacuated requests are rejected at once.
func TestQueuedRequestsLeaveEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: make(map[string]int), load: make(map[string]int), reached: make(map[string]int), work: 400 * time.Millisecond}
		defer tb.close()
		f := tb.newEntry(t, 1)
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				if got := send(f, "/order/1", fmt.Sprint("r", i)).StatusCode(); got != fasthttp.StatusOK {
					t.Errorf("request %d: got: %d want: 200", i, got)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		before := tb.reachedBy("u0")
		f.SetEvacuated(map[string]bool{"a": true})
		f.PutUpstream(placer.Spec{ID: "v", Service: "s", Addr: "v", Domain: "b", Slots: 3})
		start := time.Now()
		wg.Wait()
		if d := time.Since(start); d > 450*time.Millisecond || tb.reachedBy("u0") > before {
			t.Errorf("got: all served after %v, %d requests and load probes in the evacuated domain want: at once elsewhere, none", d, tb.reachedBy("u0")-before)
		}
		f.SetEvacuated(map[string]bool{"a": true, "b": true})
		start = time.Now()
		if got := send(f, "/order/1", "late").StatusCode(); got != fasthttp.StatusServiceUnavailable || time.Since(start) > 0 {
			t.Errorf("got: %d after %v with all domains evacuated want: 503 at once", got, time.Since(start))
		}
		f.SetEvacuated(nil)
		if got := send(f, "/order/1", "end").StatusCode(); got != fasthttp.StatusOK {
			t.Errorf("got: %d after the evacuation want: 200", got)
		}
	})
}

// TestRejectBeforeEvacuationsAreKnown sends requests to an entry that does not know the evacuations yet: none may
// reach an upstream.
func TestRejectBeforeEvacuationsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: make(map[string]int), load: make(map[string]int), reached: make(map[string]int)}
		defer tb.close()
		f := tb.newEntry(t, 1)
		f.options.AwaitEvacuations = true
		if got := send(f, "/order/1", "r1").StatusCode(); got != fasthttp.StatusServiceUnavailable || tb.reachedBy("u0") > 0 {
			t.Errorf("got: %d, %d requests want: 503, none", got, tb.reachedBy("u0"))
		}
		f.SetEvacuated(nil)
		if got := send(f, "/order/1", "r2").StatusCode(); got != fasthttp.StatusOK {
			t.Errorf("got: %d want: 200", got)
		}
	})
}
