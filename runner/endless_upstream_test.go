package runner

import (
	"math"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"poplarwind/platform/imitator"
)

// TestEndlessUpstreamStaysInUse has one of three upstreams respond without an end. Requests must be served
// by the others, and that one be ejected. An entry that has just started has no retries yet.
func TestEndlessUpstreamStaysInUse(t *testing.T) {
	for _, f := range []imitator.Framing{imitator.UntilClose, imitator.InChunks, imitator.WithLength} {
		t.Run(string(f), func(t *testing.T) {
			defer debug.SetMemoryLimit(debug.SetMemoryLimit(math.MaxInt64))
			s := newGatewayEnv(t, time.Millisecond)
			l := &link{}
			for _, id := range []string{"i-odd", "i-sound-1", "i-sound-2"} {
				n := listen(t)
				t.Cleanup(func() { _ = n.Close() })
				go func() {
					if id == "i-odd" {
						_ = imitator.ServeEndless(n, id, f, l.send)
					} else {
						_ = imitator.ServeSized(n, id, 100, 5*time.Millisecond)
					}
				}()
				s.store.PutUpstream(id, "mixed", n.Addr().String(), "a")
			}
			s.store.PutServices(4, "h.example", "mixed")
			g := s.run(strings.Replace(s.settings("e1", "1s"), `"gateway":{`, `"body":8388608,"header":20480,"gateway":{"memory":64,"share":0.2,"extra":60,"window":"10s",`, 1))
			defer func() {
				g.stop()
				<-g.done
			}()
			ejected := func() bool {
				for _, v := range g.forwarder.Status() {
					for _, u := range v.Upstreams {
						if u.ID == "i-odd" && u.Ejected {
							return true
						}
					}
				}
				return false
			}
			served, sent, out := 0, 0, false
			for start := time.Now(); !out && time.Since(start) < 20*time.Second; sent++ {
				if got := status(g, "mixed"); got == 200 {
					served++
				} else {
					t.Logf("request %d: got: %d after %v", sent, got, time.Since(start))
				}
				out = ejected()
			}
			if !out {
				t.Errorf("got: in use after %d requests, %d served want: ejected", sent, served)
			}
			for range 50 {
				sent++
				if status(g, "mixed") == 200 {
					served++
				}
			}
			testServed(t, sentRequests{sent: sent, served: served})
		})
	}
}
