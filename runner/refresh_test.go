package runner

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
)

// TestRefreshesAreShared sends a flood of requests with unknown keys while the store hangs, fails and
// works again. They must share the reads of the store, cause none just after a failed one, and read it
// again soon after: the cost of the store and the rejection of new keys are both bounded by that.
func TestRefreshesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r refresher
		reads, broken := 0, true
		read := func() error {
			reads++
			time.Sleep(100 * time.Millisecond)
			if broken {
				return errors.New("store is away")
			}
			return nil
		}
		flood := func() {
			var wg sync.WaitGroup
			for range 100 {
				wg.Go(func() { r.refresh(read) })
			}
			wg.Wait()
		}
		flood()
		if reads != 1 {
			t.Errorf("at the same time: got: %d reads want: 1", reads)
		}
		for range 4 {
			time.Sleep(100 * time.Millisecond)
			flood()
		}
		if reads != 1 {
			t.Errorf("after a failure: got: %d reads want: 1", reads)
		}
		broken = false
		time.Sleep(refreshPause)
		for range 3 {
			flood()
		}
		if reads != 4 {
			t.Errorf("after the outage: got: %d reads want: 4, one a flood", reads)
		}
	})
}
