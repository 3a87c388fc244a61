package forwarder

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
	"poplarwind/router"
)

// checkResponse checks the invariants that every response must satisfy under any
// faults: a non-idempotent request runs at most once, a request that a status
// reports as not run did not run, and a success is complete and belongs to the
// request.
func checkResponse(t interface{ Errorf(string, ...any) }, tb *testbed, path, id string, status int, body, header string) {
	tb.mu.Lock()
	runs := tb.runs[id]
	tb.mu.Unlock()
	if path == "/order/1" && runs > 1 {
		t.Errorf("%s ran: got: %d want: at most 1", id, runs)
	}
	reportedNotRun := status == 503 || status == 429 || status == 408 || status == 421
	if path == "/order/1" && reportedNotRun && runs > 0 {
		t.Errorf("%s was rejected with %d: got: %d runs want: 0", id, status, runs)
	}
	if status == 200 && (body != "whole" || header != id || runs == 0) {
		t.Errorf("%s: got: %q to %q after %d runs want: a complete response to this request", id, body, header, runs)
	}
	if status == 503 && runs == 0 && header != "" {
		t.Errorf("%s: got: a rejection with an upstream's header want: a rejection by the entry", id)
	}
}

// TestFaultMatrix combines each pair of upstream faults with an idempotent and
// a non-idempotent route.
func TestFaultMatrix(t *testing.T) {
	for _, path := range []string{"/read/1", "/order/1"} {
		for _, first := range faults {
			for _, second := range faults {
				t.Run(fmt.Sprintf("%s/%s/%s", path[1:5], first, second), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						tb := &testbed{runs: map[string]int{}, plan: []fault{first, second}}
						f := tb.newEntry(t, 3)
						for i := range 3 {
							id := fmt.Sprintf("r%d", i)
							resp := send(f, path, id)
							time.Sleep(5 * time.Second)
							checkResponse(t, tb, path, id, resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id")))
						}
						tb.close()
						time.Sleep(2 * time.Minute)
					})
				})
			}
		}
	}
}

// TestRandomFaults checks several concurrent requests under longer, random
// sequences of faults.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 12).Draw(rt, "plan")
		paths := rapid.SliceOfN(rapid.SampledFrom([]string{"/read/1", "/order/1"}), 1, 8).Draw(rt, "paths")
		synctest.Test(t, func(t *testing.T) {
			tb := &testbed{runs: map[string]int{}, plan: plan}
			f := tb.newEntry(t, 3)
			type response struct {
				status       int
				body, header string
			}
			responses := make([]response, len(paths))
			done := make(chan int)
			for i, p := range paths {
				go func() {
					resp := send(f, p, fmt.Sprintf("r%d", i))
					responses[i] = response{resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id"))}
					done <- i
				}()
			}
			for range paths {
				<-done
			}
			time.Sleep(5 * time.Second)
			for i, p := range paths {
				checkResponse(rt, tb, p, fmt.Sprintf("r%d", i), responses[i].status, responses[i].body, responses[i].header)
			}
			tb.close()
			time.Sleep(2 * time.Minute)
		})
	})
}

// TestServesDespiteFault injects each fault once while the other upstreams are
// healthy. An idempotent request must succeed, and so must a non-idempotent
// one that provably did not run or whose response is valid. Faults that delay
// the response until the caller's timeout are left out.
func TestServesDespiteFault(t *testing.T) {
	orderSucceeds := map[fault]bool{
		healthy: true, refused: true, shed: true, misdirected: true, noLength: true, excess: true, staleFirst: true, closeAfter: true,
	}
	delayed := map[fault]bool{runAndHang: true, runSlowly: true, failedLate: true}
	for _, path := range []string{"/read/1", "/order/1"} {
		for _, injected := range faults {
			if delayed[injected] || path == "/order/1" && !orderSucceeds[injected] {
				continue
			}
			t.Run(fmt.Sprintf("%s/%s", path[1:5], injected), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					tb := &testbed{runs: map[string]int{}, plan: []fault{injected}}
					f := tb.newEntry(t, 3)
					if got := send(f, path, "r").StatusCode(); got != 200 {
						t.Errorf("got: %d want: 200", got)
					}
					time.Sleep(5 * time.Second)
					tb.close()
					time.Sleep(2 * time.Minute)
				})
			})
		}
	}
}

// TestNoRetryWithoutTime fails a request just before its deadline. It must not be
// sent again, since no response could arrive in time: the caller gets the failure.
func TestNoRetryWithoutTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}, plan: []fault{failedLate}}
		f := tb.newEntry(t, 3)
		if got := send(f, "/read/1", "r").StatusCode(); got != 500 {
			t.Errorf("got: status %d want: 500", got)
		}
		time.Sleep(5 * time.Second)
		tb.mu.Lock()
		if got := tb.runs["r"]; got != 1 {
			t.Errorf("got: %d runs want: 1", got)
		}
		tb.mu.Unlock()
		tb.close()
		time.Sleep(2 * time.Minute)
	})
}

// TestOverdueResponse sends a request to an upstream that never responds, once the
// usual duration of requests is known. An idempotent one is sent to another upstream
// in time, but not without a retry budget; one that must not run twice is not sent
// again, and its caller is not told that it did not run.
func TestOverdueResponse(t *testing.T) {
	for _, tc := range []struct {
		name, path   string
		budget       float64
		status, runs int
	}{
		{"idempotent", "/read/1", 1, 200, 2},
		{"no budget", "/read/1", 0, 504, 1},
		{"at most once", "/order/1", 1, 504, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := &testbed{runs: map[string]int{}, work: 50 * time.Millisecond}
				f := tb.newEntry(t, 3)
				for i := range 8 {
					send(f, tc.path, fmt.Sprint("warm", i))
				}
				f.options.RetryBudget.Ratio, f.options.RetryBudget.Allowance = tc.budget, 0
				f.UpdateLimits()
				tb.mu.Lock()
				tb.plan = []fault{runAndHang}
				tb.mu.Unlock()
				start := time.Now()
				if got := send(f, tc.path, "r").StatusCode(); got != tc.status {
					t.Errorf("got: status %d want: %d", got, tc.status)
				}
				if took := time.Since(start); tc.status == 200 && took > 500*time.Millisecond {
					t.Errorf("got: a response after %v want: within 500 ms", took)
				}
				time.Sleep(5 * time.Second)
				tb.mu.Lock()
				if got := tb.runs["r"]; got != tc.runs {
					t.Errorf("got: %d runs want: %d", got, tc.runs)
				}
				tb.mu.Unlock()
				tb.close()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

// TestOverdueWithoutOtherUpstream has the only upstream of a service respond later than usual. The
// request must not be given up as overdue: there is no other upstream to send it to.
func TestOverdueWithoutOtherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}, work: 50 * time.Millisecond}
		f := tb.newEntry(t, 1)
		for i := range 8 {
			send(f, "/read/1", fmt.Sprint("warm", i))
		}
		tb.work = 400 * time.Millisecond
		start := time.Now()
		if got := send(f, "/read/1", "r").StatusCode(); got != 200 || tb.runs["r"] != 1 {
			t.Errorf("got: status %d after %v, %d runs want: 200, 1 run", got, time.Since(start), tb.runs["r"])
		}
		tb.close()
		time.Sleep(2 * time.Minute)
	})
}

// TestEarlierRejectionWrittenAgain has each upstream write a rejection again, when the next
// request arrives on the same connection. That request runs: it must not be reported as not
// run, nor run at another upstream.
func TestEarlierRejectionWrittenAgain(t *testing.T) {
	for _, path := range []string{"/read/1", "/order/1"} {
		synctest.Test(t, func(t *testing.T) {
			tb := &testbed{runs: map[string]int{}, plan: []fault{shedTwice, healthy, shedTwice, healthy, shedTwice, healthy}}
			f := tb.newEntry(t, 1)
			for i := range 6 {
				id := fmt.Sprint("r", i)
				resp := send(f, path, id)
				time.Sleep(10 * time.Millisecond)
				checkResponse(t, tb, path, id, resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id")))
			}
			time.Sleep(5 * time.Second)
			tb.close()
			time.Sleep(2 * time.Minute)
		})
	}
}

// TestOlderConfigurationInForceLast configures versions by several tasks at the same time, as the task
// that follows the store and requests that match no route do. The version in force must never fall.
func TestOlderConfigurationInForceLast(t *testing.T) {
	f := New(Options{Dialect: testDialect{}})
	const versions = 2000
	var next atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for {
				v := next.Add(1)
				if v > versions {
					return
				}
				table, err := router.NewTable(router.Spec{Version: v}, f.Table())
				if err != nil {
					t.Error(err)
					return
				}
				f.Configure(table)
				if got := f.Table().Version(); got < v {
					t.Errorf("got: version %d in force want: at least %d", got, v)
					return
				}
			}
		})
	}
	wg.Wait()
	if got := f.Table().Version(); got != versions {
		t.Errorf("got: version %d in force at the end want: %d", got, versions)
	}
}
