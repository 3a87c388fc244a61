package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"poplarwind/bufferer"
	"poplarwind/limiter"
	"poplarwind/pipeliner"
)

// hedgeWork is the usual duration of the requests in the tests of hedges. Its 95th percentile is
// known as the upper bound of a bucket, less than 57 ms, and overdue responses are given up after
// 150 ms.
const hedgeWork = 50 * time.Millisecond

// newHedgingEntry returns an entry in front of n upstreams that hedges the given fraction of
// requests and knows how long requests take.
func (tb *testbed) newHedgingEntry(t testing.TB, n int, ratio float64) *Forwarder {
	tb.runs, tb.work = make(map[string]int), hedgeWork
	f := tb.newEntry(t, n)
	f.options.Hedge = ratio
	for i := range minHedgeResponses + 8 {
		send(f, "/read/1", fmt.Sprint("warm", i))
		send(f, "/order/1", fmt.Sprint("warmorder", i))
	}
	return f
}

func (tb *testbed) setPlan(plan ...fault) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.plan = plan
}

func (tb *testbed) runsOf(id string) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.runs[id]
}

// hedgesOf returns the counts of hedges of an entry.
func hedgesOf(f *Forwarder) HedgeStatus {
	if h := f.Status()[0].Hedges; h != nil {
		return *h
	}
	return HedgeStatus{}
}

// checkIdle fails the test if an attempt of the entry has not ended.
func checkIdle(t *testing.T, f *Forwarder) {
	t.Helper()
	for _, u := range f.Status()[0].Upstreams {
		if u.Load.InFlight != 0 {
			t.Errorf("got: %d requests in flight at %s want: 0", u.Load.InFlight, u.ID)
		}
	}
}

// TestHedge makes the first upstream slow, or both, after a request was placed on it. The caller must
// get the first complete response that is no error, at the time that it comes, and no connection
// of an attempt that was cancelled may be used again.
func TestHedge(t *testing.T) {
	for _, tc := range []struct {
		name, path           string
		ratio                float64
		plan                 []fault
		status, runs         int
		least, most          time.Duration
		sent, won, cancelled int64
		deniedCause          string
	}{
		{name: "first hangs", path: "/read/1", ratio: 0.5, plan: []fault{runAndHang}, status: 200, runs: 2, least: 100 * time.Millisecond, most: 110 * time.Millisecond, sent: 1, won: 1, cancelled: 1},
		{name: "first slow", path: "/read/1", ratio: 0.5, plan: []fault{lateBy(time.Second)}, status: 200, runs: 2, least: 100 * time.Millisecond, most: 110 * time.Millisecond, sent: 1, won: 1, cancelled: 1},
		{name: "first sooner", path: "/read/1", ratio: 0.5, plan: []fault{lateBy(80 * time.Millisecond)}, status: 200, runs: 2, least: 80 * time.Millisecond, most: 80 * time.Millisecond, sent: 1, cancelled: 1},
		{name: "usual duration", path: "/read/1", ratio: 0.5, status: 200, runs: 1, least: hedgeWork, most: hedgeWork},
		{name: "second fails", path: "/read/1", ratio: 0.5, plan: []fault{lateBy(140 * time.Millisecond), failed}, status: 200, runs: 2, least: 140 * time.Millisecond, most: 140 * time.Millisecond, sent: 1},
		{name: "second rejects", path: "/read/1", ratio: 0.5, plan: []fault{lateBy(140 * time.Millisecond), shed}, status: 200, runs: 1, least: 140 * time.Millisecond, most: 140 * time.Millisecond, sent: 1},
		{name: "first fails late", path: "/read/1", ratio: 0.5, plan: []fault{failingAfter(80 * time.Millisecond)}, status: 200, runs: 2, least: 100 * time.Millisecond, most: 110 * time.Millisecond, sent: 1, won: 1},
		{name: "both fail", path: "/read/1", ratio: 0.5, plan: []fault{failingAfter(80 * time.Millisecond), failed}, status: 500, runs: 2, least: 80 * time.Millisecond, most: 80 * time.Millisecond, sent: 1},
		{name: "both hang", path: "/read/1", ratio: 0.5, plan: []fault{runAndHang, runAndHang}, status: 504, runs: 2, least: 1500 * time.Millisecond, most: 1500 * time.Millisecond, sent: 1},
		{name: "limit used up", path: "/read/1", ratio: 0.01, plan: []fault{lateBy(140 * time.Millisecond)}, status: 200, runs: 1, least: 140 * time.Millisecond, most: 140 * time.Millisecond, deniedCause: "limit"},
		{name: "limit used up, given up", path: "/read/1", ratio: 0.01, plan: []fault{runAndHang}, status: 200, runs: 2, least: 200 * time.Millisecond, most: 200 * time.Millisecond, deniedCause: "limit"},
		{name: "body slow", path: "/read/1", ratio: 0.5, plan: []fault{headAfter(40 * time.Millisecond)}, status: 200, runs: 1, least: 340 * time.Millisecond, most: 340 * time.Millisecond},
		{name: "body slow after the limit is used up", path: "/read/1", ratio: 0.01, plan: []fault{headAfter(70 * time.Millisecond)}, status: 200, runs: 1, least: 370 * time.Millisecond, most: 370 * time.Millisecond, deniedCause: "limit"},
		{name: "body slow after the second failed", path: "/read/1", ratio: 0.5, plan: []fault{headAfter(70 * time.Millisecond), shed}, status: 200, runs: 1, least: 370 * time.Millisecond, most: 370 * time.Millisecond, sent: 1},
		{name: "off", path: "/read/1", plan: []fault{runAndHang}, status: 200, runs: 2, least: 200 * time.Millisecond, most: 200 * time.Millisecond},
		{name: "must not run twice", path: "/order/1", ratio: 0.5, plan: []fault{lateBy(time.Second)}, status: 200, runs: 1, least: time.Second, most: time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := &testbed{}
				f := tb.newHedgingEntry(t, 4, tc.ratio)
				tb.setPlan(tc.plan...)
				start := time.Now()
				status := send(f, tc.path, "r").StatusCode()
				took := time.Since(start)
				if status != tc.status || took < tc.least || took > tc.most {
					t.Errorf("got: status %d after %v want: %d after %v to %v", status, took, tc.status, tc.least, tc.most)
				}
				checkIdle(t, f)
				got := hedgesOf(f)
				if got.Sent != tc.sent || got.Won != tc.won || got.Cancelled != tc.cancelled || tc.deniedCause == "" && got.Denied != nil || tc.deniedCause != "" && got.Denied[tc.deniedCause] != 1 {
					t.Errorf("got: %+v want: %d sent, %d won, %d cancelled, denied for %q", got, tc.sent, tc.won, tc.cancelled, tc.deniedCause)
				}
				for i := range 20 {
					id := fmt.Sprint("after", i)
					resp := send(f, "/read/1", id)
					checkResponse(t, tb, "/read/1", id, resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id")))
				}
				time.Sleep(5 * time.Second)
				if runs := tb.runsOf("r"); runs != tc.runs {
					t.Errorf("got: %d runs want: %d", runs, tc.runs)
				}
				tb.close()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// TestHedgeOneResponse lets both attempts respond within 10 ms of each other, at steps of 1 ms and at
// the same instant. The caller must get one response, that of the earlier one, and the other one must
// reach no later request.
func TestHedgeOneResponse(t *testing.T) {
	for late := 97 * time.Millisecond; late <= 117*time.Millisecond; late += time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			tb := &testbed{}
			f := tb.newHedgingEntry(t, 4, 0.5)
			tb.setPlan(lateBy(late))
			start := time.Now()
			resp := send(f, "/read/1", "r")
			took := time.Since(start)
			checkResponse(t, tb, "/read/1", "r", resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id")))
			if resp.StatusCode() != 200 || took > late || took > 110*time.Millisecond {
				t.Errorf("first late by %v: got: status %d after %v want: 200, from the earlier attempt", late, resp.StatusCode(), took)
			}
			checkIdle(t, f)
			if got := hedgesOf(f); got.Sent != 1 || got.Cancelled != 1 || tb.runsOf("r") != 2 {
				t.Errorf("first late by %v: got: %+v, %d runs want: 1 sent, 1 cancelled, 2 runs", late, got, tb.runsOf("r"))
			}
			for i := range 12 {
				id := fmt.Sprint("after", i)
				resp := send(f, "/read/1", id)
				checkResponse(t, tb, "/read/1", id, resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id")))
			}
			tb.close()
			time.Sleep(2 * time.Minute)
		})
	}
}

// TestHedgeCancelledConnection counts the connections: that of the cancelled attempt must be closed,
// whichever attempt loses, since its upstream may still write a response.
func TestHedgeCancelledConnection(t *testing.T) {
	for _, late := range []time.Duration{80 * time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			tb := &testbed{}
			f := tb.newHedgingEntry(t, 2, 0.5)
			time.Sleep(time.Second)
			tb.setPlan(lateBy(late))
			// Both upstreams are probed for the first attempt, so that each has a connection.
			if status := send(f, "/read/1", "r").StatusCode(); status != 200 {
				t.Fatalf("got: status %d want: 200", status)
			}
			time.Sleep(5 * time.Millisecond)
			if got := hedgesOf(f); got.Cancelled != 1 {
				t.Errorf("got: %+v want: 1 cancelled", got)
			}
			if got := f.pool.Count(); got != 1 {
				t.Errorf("first late by %v: got: %d connections want: 1, without that of the cancelled attempt", late, got)
			}
			tb.close()
			time.Sleep(2 * time.Minute)
		})
	}
}

// TestHedgeWhileRequestsWait has requests wait for a slot, or most slots taken, or the entry stop. A
// slow request must not take a second slot then.
func TestHedgeWhileRequestsWait(t *testing.T) {
	for cause, set := range map[string]func(tb *testbed, f *Forwarder){
		"queue": func(_ *testbed, f *Forwarder) {
			// The queue stays as it is while as many requests as possible are being placed.
			s := f.service("s")
			s.mu.Lock()
			defer s.mu.Unlock()
			s.placing = maxPlacing
			s.queue.Push(&exchange{}, limiter.Priority{Rank: 9, Due: time.Now().Add(time.Hour)})
		},
		"load": func(tb *testbed, _ *Forwarder) {
			tb.mu.Lock()
			defer tb.mu.Unlock()
			tb.load = map[string]int{"u0": 3, "u1": 3, "u2": 3, "u3": 2}
		},
		"stopping": func(_ *testbed, f *Forwarder) { f.SetEnd(time.Now().Add(time.Hour)) },
	} {
		t.Run(cause, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := &testbed{}
				f := tb.newHedgingEntry(t, 4, 0.5)
				time.Sleep(time.Second)
				set(tb, f)
				tb.setPlan(lateBy(145 * time.Millisecond))
				send(f, "/read/1", "r")
				if got := hedgesOf(f); got.Sent != 0 || got.Denied[cause] != 1 || tb.runsOf("r") != 1 {
					t.Errorf("got: %+v, %d runs want: none sent, 1 denied for %q, 1 run", got, tb.runsOf("r"), cause)
				}
				tb.close()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// TestHedgeRetryBudget has one retry left. The first slow request must spend it on its hedge, and the
// second one must not be hedged: all second attempts together stay within the retry budget.
func TestHedgeRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{}
		f := tb.newHedgingEntry(t, 4, 0.5)
		f.options.RetryBudget.Ratio, f.options.RetryBudget.Allowance = 0, 5
		f.UpdateLimits()
		for _, id := range []string{"r1", "r2"} {
			tb.setPlan(lateBy(145 * time.Millisecond))
			send(f, "/read/1", id)
		}
		if got := hedgesOf(f); got.Sent != 1 || got.Denied["retry budget"] != 1 || tb.runsOf("r1") != 2 || tb.runsOf("r2") != 1 {
			t.Errorf("got: %+v, %d and %d runs want: 1 sent, 1 denied, 2 runs and 1", got, tb.runsOf("r1"), tb.runsOf("r2"))
		}
		tb.close()
		time.Sleep(2 * time.Minute)
	})
}

// TestHedgeCallerLeaves has the caller disconnect before the hedge, at the time of it and while both
// attempts run. Both must end at once, and their connections must be closed.
func TestHedgeCallerLeaves(t *testing.T) {
	for _, after := range []time.Duration{30 * time.Millisecond, 56 * time.Millisecond, 57 * time.Millisecond, 90 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			tb := &testbed{}
			f := tb.newHedgingEntry(t, 2, 0.5)
			tb.setPlan(runAndHang, runAndHang)
			ctx, cancel := context.WithTimeout(context.Background(), after)
			defer cancel()
			var req fasthttp.Request
			body := (&bufferer.Budget{}).NewBody(bufferer.Requests, nil)
			defer body.Release()
			req.SetRequestURI("/read/1")
			req.Header.SetHost("h")
			req.Header.Set("Id", "r")
			c := pipeliner.Call{Request: &req, Body: body, Response: fasthttp.AcquireResponse(), ArrivedAt: time.Now()}
			start := time.Now()
			f.Handle(ctx, &c)
			if took := time.Since(start); took > after+time.Millisecond {
				t.Errorf("caller left after %v: got: the end after %v want: at once", after, took)
			}
			checkIdle(t, f)
			time.Sleep(5 * time.Millisecond)
			if got, most := f.pool.Count(), 2-tb.runsOf("r"); got > most {
				t.Errorf("caller left after %v: got: %d connections want: at most %d", after, got, most)
			}
			if got := hedgesOf(f); got.Won != 0 || got.Cancelled != 0 {
				t.Errorf("caller left after %v: got: %+v want: none won or cancelled by the other", after, got)
			}
			tb.close()
			time.Sleep(2 * time.Minute)
		})
	}
}

// TestHedgeLongRequests sends requests of which 3 in 100 take seven times as long at any upstream.
// Their hedges are in vain and must stay within the limit; the others must not be hedged.
func TestHedgeLongRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, requests = 0.02, 2000
		tb := &testbed{}
		f := tb.newHedgingEntry(t, 4, limit)
		tb.workOf = func(id string) time.Duration {
			if strings.HasSuffix(id, "17") || strings.HasSuffix(id, "50") || strings.HasSuffix(id, "83") {
				return 7 * hedgeWork
			}
			return hedgeWork
		}
		for i := range requests {
			if status := send(f, "/read/1", fmt.Sprintf("r%03d", i)).StatusCode(); status != 200 {
				t.Errorf("got: status %d want: 200", status)
			}
		}
		got := hedgesOf(f)
		if float64(got.Sent) > limit*(requests+minHedgeResponses+8) || got.Sent == 0 {
			t.Errorf("got: %+v want: 1 to %v sent", got, limit*requests)
		}
		for i := range requests {
			id := fmt.Sprintf("r%03d", i)
			if runs := tb.runsOf(id); runs > 1 && tb.workOf(id) == hedgeWork {
				t.Errorf("got: %d runs of %s want: 1, since it took the usual time", runs, id)
			}
		}
		tb.close()
		time.Sleep(2 * time.Minute)
	})
}

// TestHedgeRandomFaults checks concurrent requests under random faults while requests are hedged: the
// invariants of responses must hold, and all attempts must end.
func TestHedgeRandomFaults(t *testing.T) {
	late := []fault{lateBy(60 * time.Millisecond), lateBy(100 * time.Millisecond), lateBy(300 * time.Millisecond), failingAfter(80 * time.Millisecond), failingAfter(105 * time.Millisecond)}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.SampledFrom(append(late, faults...)), 0, 12).Draw(rt, "plan")
		paths := rapid.SliceOfN(rapid.SampledFrom([]string{"/read/1", "/read/1", "/order/1"}), 1, 8).Draw(rt, "paths")
		synctest.Test(t, func(t *testing.T) {
			tb := &testbed{}
			f := tb.newHedgingEntry(t, 4, 0.5)
			tb.setPlan(plan...)
			done := make(chan struct{})
			responses := make([]*fasthttp.Response, len(paths))
			for i, p := range paths {
				go func() {
					responses[i] = send(f, p, fmt.Sprintf("r%d", i))
					done <- struct{}{}
				}()
			}
			for range paths {
				<-done
			}
			checkIdle(t, f)
			time.Sleep(5 * time.Second)
			for i, p := range paths {
				resp := responses[i]
				checkResponse(rt, tb, p, fmt.Sprintf("r%d", i), resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id")))
			}
			tb.close()
			time.Sleep(2 * time.Minute)
		})
	})
}

// TestHedgeDelayStays has one request in ten hang, so that its first attempt is cancelled before it
// responds. The delay must not fall to the duration of the others, or more and more requests would be
// hedged.
func TestHedgeDelayStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{}
		f := tb.newHedgingEntry(t, 4, 0.5)
		for i := range 200 {
			if i%10 == 0 {
				tb.setPlan(lateBy(time.Second))
			}
			send(f, "/read/1", fmt.Sprint("r", i))
		}
		s := f.service("s")
		s.mu.Lock()
		got := s.hedges.responseTimes("read").Quantile(hedgeQuantile)
		s.mu.Unlock()
		if got < 2*hedgeWork {
			t.Errorf("got: a 95th percentile of %v want: at least %v, the time until a hedge responds", got, 2*hedgeWork)
		}
		tb.close()
		time.Sleep(2 * time.Minute)
	})
}

// TestHedgeLogLines hedges many requests within a second. Their log lines must be bounded, and the
// line of a hedge must name the request, both upstreams and the outcome.
func TestHedgeLogLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{}
		f := tb.newHedgingEntry(t, 12, 0.5)
		var out bytes.Buffer
		f.options.Log = slog.New(slog.NewJSONHandler(&out, nil))
		const n = 2 * hedgeLinesPerSecond
		tb.setPlan(slices.Repeat([]fault{lateBy(time.Second)}, n)...)
		start := time.Now()
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { send(f, "/read/1", fmt.Sprint("r", i)) })
		}
		wg.Wait()
		// A hedge may be sent later than the others, after another decision.
		most := hedgeLinesPerSecond + int(hedgeLinesPerSecond*time.Since(start).Seconds())
		// An upstream that has lost several of them may be ejected, which is logged too.
		var lines []string
		for line := range strings.Lines(out.String()) {
			if strings.Contains(line, `"msg":"request hedged"`) {
				lines = append(lines, line)
			} else if !strings.Contains(line, `"msg":"upstream ejected"`) {
				t.Errorf("got: %s want: lines about hedges and ejections only", line)
			}
		}
		if got := hedgesOf(f); got.Sent != n || len(lines) < hedgeLinesPerSecond || len(lines) > most {
			t.Fatalf("got: %d lines, %+v want: %d to %d lines, %d sent", len(lines), got, hedgeLinesPerSecond, most, n)
		}
		for _, want := range []string{`"request":"r`, `"service":"s"`, `"upstreams":["u`, `"delay_ms":5`, `"outcome":"second won"`} {
			if !strings.Contains(lines[0], want) {
				t.Errorf("got: %s want: a line with %s", lines[0], want)
			}
		}
		tb.close()
		time.Sleep(2 * time.Minute)
	})
}

// TestHedgeHangingUpstream has one upstream respond to load probes only. Hedges must not hide that it
// hangs: it must be ejected after a few requests, and not get each request that it looks best for.
func TestHedgeHangingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{reached: make(map[string]int)}
		f := tb.newHedgingEntry(t, 4, 0.5)
		tb.mu.Lock()
		tb.hanging = map[string]bool{"u0": true}
		tb.mu.Unlock()
		const requests = 40
		for i := range requests {
			if status := send(f, "/read/1", fmt.Sprint("r", i)).StatusCode(); status != 200 {
				t.Errorf("got: status %d want: 200", status)
			}
		}
		hung := 0
		for i := range requests {
			hung += tb.runsOf(fmt.Sprint("r", i)) - 1
		}
		// Its ejections last 1, 2 and 4 s, and each ends with one more request.
		if hung < 3 || hung > 6 {
			t.Errorf("got: %d requests at the upstream that hangs, %+v want: 3 to 6", hung, hedgesOf(f))
		}
		tb.close()
		time.Sleep(2 * time.Minute)
	})
}
