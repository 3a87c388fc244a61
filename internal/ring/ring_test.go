package ring

import (
	"context"
	"sync"
	"testing"
)

// TestRing fills a ring past its size: the newest items are left, in order.
func TestRing(t *testing.T) {
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

// TestRingBetween passes items between goroutines through a zero ring, with
// several at its end: none is lost and nobody waits in vain.
func TestRingBetween(t *testing.T) {
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
