package ring

import (
	"context"
	"sync"
	"testing"
)

// TestPushDropsOldest pushes more items than fit: the newest ones are kept, in
// order.
func TestPushDropsOldest(t *testing.T) {
	r := New[int](4)
	for i := range 10 {
		r.Push(i)
	}
	for want := 6; want < 10; want++ {
		if got, ok := r.TryPop(); !ok || got != want {
			t.Errorf("got: %d, %v want: %d", got, ok, want)
		}
	}
	if _, ok := r.TryPop(); ok || r.Dropped() != 6 {
		t.Errorf("dropped: got: %d want: 6 and an empty ring", r.Dropped())
	}
}

// TestConcurrentPop passes items through a zero Ring to several consumers. It
// guards against lost items and lost wake-ups, by which a consumer blocks although
// the ring is not empty.
func TestConcurrentPop(t *testing.T) {
	var r Ring[int]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	seen := make(map[int]bool)
	for range 3 {
		wg.Go(func() {
			for {
				i, ok := r.Pop(ctx)
				if !ok {
					return
				}
				mu.Lock()
				seen[i] = true
				if len(seen) == 500 {
					cancel()
				}
				mu.Unlock()
			}
		})
	}
	for i := range 500 {
		r.Push(i)
	}
	wg.Wait()
	if len(seen) != 500 {
		t.Errorf("items: got: %d want: 500", len(seen))
	}
}
