package forwarder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
)

// verify checks what must hold of one answer, whatever went wrong: a request
// that must not run twice ran once at most, a refusal that promises that it
// did not run is true, and a good answer is whole and the request's own.
func verify(t interface{ Errorf(string, ...any) }, w *world, path, id string, status int, body, header string) {
	w.mu.Lock()
	runs := w.runs[id]
	w.mu.Unlock()
	if path == "/order/1" && runs > 1 {
		t.Errorf("%s ran: got: %d want: at most 1", id, runs)
	}
	promise := status == 503 || status == 429 || status == 408 || status == 421
	if path == "/order/1" && promise && runs > 0 {
		t.Errorf("%s was refused by %d: got: %d runs want: 0", id, status, runs)
	}
	if status == 200 && (body != "whole" || header != id || runs == 0) {
		t.Errorf("%s: got: %q to %q after %d runs want: a whole answer of its own", id, body, header, runs)
	}
	if status == 503 && runs == 0 && header != "" {
		t.Errorf("%s: got: a refusal with an upstream's header want: one of the entry", id)
	}
}

// TestFaultMatrix crosses each pair of faults at upstreams with both kinds of
// request.
func TestFaultMatrix(t *testing.T) {
	for _, path := range []string{"/read/1", "/order/1"} {
		for _, first := range faults {
			for _, second := range faults {
				t.Run(fmt.Sprintf("%s/%s/%s", path[1:5], first, second), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						w := &world{runs: map[string]int{}, plan: []fault{first, second}}
						f := w.entryOf(t, 3)
						for i := range 3 {
							id := fmt.Sprintf("r%d", i)
							resp := send(f, path, id)
							time.Sleep(5 * time.Second)
							verify(t, w, path, id, resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id")))
						}
						w.shut()
						time.Sleep(2 * time.Minute)
					})
				})
			}
		}
	}
}

// TestRepeats draws longer runs of faults with several requests at once.
func TestRepeats(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 12).Draw(rt, "plan")
		paths := rapid.SliceOfN(rapid.SampledFrom([]string{"/read/1", "/order/1"}), 1, 8).Draw(rt, "paths")
		synctest.Test(t, func(t *testing.T) {
			w := &world{runs: map[string]int{}, plan: plan}
			f := w.entryOf(t, 3)
			type answer struct {
				status       int
				body, header string
			}
			answers := make([]answer, len(paths))
			done := make(chan int)
			for i, p := range paths {
				go func() {
					resp := send(f, p, fmt.Sprintf("r%d", i))
					answers[i] = answer{resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id"))}
					done <- i
				}()
			}
			for range paths {
				<-done
			}
			time.Sleep(5 * time.Second)
			for i, p := range paths {
				verify(rt, w, p, fmt.Sprintf("r%d", i), answers[i].status, answers[i].body, answers[i].header)
			}
			w.shut()
			time.Sleep(2 * time.Minute)
		})
	})
}

// TestServedThroughFaults gives each fault once to an entry with sound
// upstreams beside: a request that may run again is served, and so is an order
// that provably did not run.
func TestServedThroughFaults(t *testing.T) {
	notRun := map[fault]bool{
		healthy: true, refused: true, shed: true, misdirected: true, lengthless: true, excess: true, strayFirst: true, hangUp: true,
	}
	silent := map[fault]bool{runAndHang: true, runSlowly: true}
	for _, path := range []string{"/read/1", "/order/1"} {
		for _, v := range faults {
			if silent[v] || path == "/order/1" && !notRun[v] {
				continue
			}
			t.Run(fmt.Sprintf("%s/%s", path[1:5], v), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := &world{runs: map[string]int{}, plan: []fault{v}}
					f := w.entryOf(t, 3)
					if got := send(f, path, "r").StatusCode(); got != 200 {
						t.Errorf("got: %d want: 200", got)
					}
					time.Sleep(5 * time.Second)
					w.shut()
					time.Sleep(2 * time.Minute)
				})
			})
		}
	}
}
