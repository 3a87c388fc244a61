// Package sleeper waits, unless told to stop.
package sleeper

import (
	"context"
	"time"
)

// Sleep returns after d, or when ctx ends if that is sooner.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
