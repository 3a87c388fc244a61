package runner

import (
	"fmt"
	"testing"
	"time"

	"poplarwind/platform/imitator"
)

// TestRetryAfterOfUpstream has one of three upstreams reject all requests, or a third of
// them, with Retry-After: it must get hardly any request of an entry in that time, and all
// callers must be served.
func TestRetryAfterOfUpstream(t *testing.T) {
	for _, every := range []int{1, 3} {
		t.Run(fmt.Sprint("one of ", every), func(t *testing.T) {
			s := newLimitEnv(t)
			var pausing imitator.PausingUpstream
			s.addUpstream("i-pausing", "a", pausing.Handler("i-pausing", 5*time.Millisecond))
			// All entries of a test have one host, so that there is one entry here.
			s.startEntries(1)
			s.load(time.Second, 10*time.Millisecond)
			pausing.SetPause(every, 1.5)
			s.load(5*time.Second, 10*time.Millisecond)
			if n := pausing.MostInPause(pauseSettleTime); n > pauseRequests || pausing.Pauses() < 2 {
				t.Errorf("got: %d requests in one of %d pauses want: at most %d in one of several", n, pausing.Pauses(), pauseRequests)
			}
		})
	}
}
