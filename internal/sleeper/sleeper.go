// Package sleeper provides a sleep that a context can cancel.
package sleeper

import (
	"context"
	"time"
)

// Sleep returns after d or when ctx is done, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
