package forwarder

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestQueueRejectsInTime sends more requests than the upstreams have slots for
// while none is free. Every request gets a response before its caller's
// timeout, and a rejected request did not run and gets a Retry-After.
func TestQueueRejectsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := &testbed{runs: map[string]int{}, load: map[string]int{"u0": 3, "u1": 3, "u2": 3}}
		f := tb.newEntry(t, 3)
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				id := fmt.Sprintf("r%d", i)
				start := time.Now()
				resp := send(f, "/order/1", id)
				checkResponse(t, tb, "/order/1", id, resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id")))
				if d := time.Since(start); d >= 1500*time.Millisecond {
					t.Errorf("%s: got: %d after %v want: a response before its caller's timeout", id, resp.StatusCode(), d)
				}
				if resp.StatusCode() != 503 {
					return
				}
				retryAfter, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
				if err != nil || retryAfter <= 0 {
					t.Errorf("%s: got: Retry-After %q want: a time", id, resp.Header.Peek("Retry-After"))
				}
			})
		}
		time.Sleep(600 * time.Millisecond)
		tb.mu.Lock()
		tb.load = map[string]int{}
		tb.mu.Unlock()
		wg.Wait()
		// Wait for outstanding probes, which may still open connections.
		time.Sleep(5 * time.Second)
		served := 0
		for _, n := range tb.runs {
			served += n
		}
		if served < 20 {
			t.Errorf("got: %d served after slots were freed want: at least half", served)
		}
		if f.services["s"].queue.Len() != 0 || f.services["s"].placing != 0 {
			t.Errorf("got: %d queued, %d being placed want: none", f.services["s"].queue.Len(), f.services["s"].placing)
		}
		tb.close()
		time.Sleep(2 * time.Minute)
	})
}
