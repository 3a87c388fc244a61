package forwarder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestSilent has upstreams that don't answer questions for their load. One that
// is silent while others answer is ejected. Where all are silent at once it is
// the entry that is late or cut off: none is, and all are used as soon as they
// answer again.
func TestSilent(t *testing.T) {
	for _, v := range []struct {
		mute, ejected int
	}{{1, 1}, {3, 0}} {
		t.Run(fmt.Sprint(v.mute), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{runs: make(map[string]int), mute: make(map[string]bool)}
				f := w.entryOf(t, askedAtOnce)
				for i := range v.mute {
					w.mute[fmt.Sprint("u", i)] = true
				}
				for i := range 6 {
					send(f, "/read/1", fmt.Sprint("r", i))
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(4 * askWait)
				got := 0
				for _, u := range f.Status()[0].Upstreams {
					if u.Ejected {
						got++
					}
				}
				if got != v.ejected {
					t.Errorf("got: %d upstreams ejected want: %d", got, v.ejected)
				}
				w.mu.Lock()
				clear(w.mute)
				w.mu.Unlock()
				if resp := send(f, "/read/1", "last"); resp.StatusCode() != 200 {
					t.Errorf("got: status %d want: 200", resp.StatusCode())
				}
				time.Sleep(5 * time.Second)
				w.shut()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}
