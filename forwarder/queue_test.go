package forwarder

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestLineRefusesInTime sends more than the upstreams have slots for while none
// is free: every request is answered, none is held until its caller gives up,
// and a refusal is true and says when to come back.
func TestLineRefusesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{runs: map[string]int{}, load: map[string]int{"u0": 3, "u1": 3, "u2": 3}}
		f := w.entryOf(t, 3)
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				id := fmt.Sprintf("r%d", i)
				begun := time.Now()
				resp := send(f, "/order/1", id)
				verify(t, w, "/order/1", id, resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("Id")))
				if d := time.Since(begun); d >= 1500*time.Millisecond {
					t.Errorf("%s: got: %d after %v want: an answer while its caller waits", id, resp.StatusCode(), d)
				}
				if resp.StatusCode() != 503 {
					return
				}
				after, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
				if err != nil || after <= 0 {
					t.Errorf("%s: got: Retry-After %q want: a time", id, resp.Header.Peek("Retry-After"))
				}
			})
		}
		time.Sleep(600 * time.Millisecond)
		w.mu.Lock()
		w.load = map[string]int{}
		w.mu.Unlock()
		wg.Wait()
		// Questions that are still out open no more connections then.
		time.Sleep(5 * time.Second)
		served := 0
		for _, n := range w.runs {
			served += n
		}
		if served < 20 {
			t.Errorf("got: %d served once slots were free want: at least half", served)
		}
		if f.services["s"].line.Len() != 0 || f.services["s"].turns != 0 {
			t.Errorf("got: %d in the line, %d turns want: none left", f.services["s"].line.Len(), f.services["s"].turns)
		}
		w.shut()
		time.Sleep(2 * time.Minute)
	})
}
