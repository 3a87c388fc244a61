package runner

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"poplarwind/tracker"
)

// refreshPause is the time after a failed read of the configuration in which requests cause no other
// one: a flood of requests with unknown keys would otherwise be one of calls to the store that fails.
const refreshPause = 500 * time.Millisecond

// refresher bounds the reads of the store that requests cause: those that wait for one at the same time
// share it. Its zero value is ready to use.
type refresher struct {
	group singleflight.Group
	// failedAt is when the last read failed in Unix nanoseconds, 0 if it did not.
	failedAt atomic.Int64
}

// refresh calls read, unless another call of it runs, which it then waits for, or one has just failed.
func (r *refresher) refresh(read func() error) {
	if failed := r.failedAt.Load(); failed != 0 && time.Since(time.Unix(0, failed)) < refreshPause {
		return
	}
	_, _, _ = r.group.Do("", func() (any, error) {
		if read() != nil {
			r.failedAt.Store(time.Now().UnixNano())
		} else {
			r.failedAt.Store(0)
		}
		return nil, nil
	})
}

// refreshConfig reads the configuration from the store and applies it, unless the
// local cache is recent enough.
func (g *Gateway) refreshConfig(ctx context.Context) {
	g.refresher.refresh(func() error {
		read, err := g.tracker.Refresh(ctx, tracker.Configs)
		if read {
			g.applyConfig()
		}
		return err
	})
}
