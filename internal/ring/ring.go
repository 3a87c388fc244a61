// Package ring provides a bounded queue between goroutines.
package ring

import (
	"context"
	"sync"
)

const defaultSize = 1024

// Ring is a bounded queue that drops its oldest item when full. Its zero
// value is an empty ring of 1024 items, safe for concurrent use.
type Ring[T any] struct {
	// size is fixed by the first Push if it is 0.
	size int

	mu sync.Mutex
	// items[head] is the oldest of count items.
	items       []T
	head, count int
	dropped     uint64
	// wake holds at most one token while items may be waiting.
	wake chan struct{}
}

// New returns a ring of size items. It panics if size is not positive.
func New[T any](size int) *Ring[T] {
	if size <= 0 {
		panic("ring: size not positive")
	}
	return &Ring[T]{size: size}
}

func (r *Ring[T]) init() {
	if r.size == 0 {
		r.size = defaultSize
	}
	if r.items == nil {
		r.items = make([]T, r.size)
		r.wake = make(chan struct{}, 1)
	}
}

// Push adds an item, dropping the oldest if the ring is full. It reports
// whether it dropped one.
func (r *Ring[T]) Push(item T) (dropped bool) {
	r.mu.Lock()
	r.init()
	if r.count == r.size {
		r.head = (r.head + 1) % r.size
		r.count--
		r.dropped++
		dropped = true
	}
	r.items[(r.head+r.count)%r.size] = item
	r.count++
	r.mu.Unlock()
	r.signal()
	return dropped
}

func (r *Ring[T]) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Pop removes the oldest item, waiting for one until ctx ends.
func (r *Ring[T]) Pop(ctx context.Context) (item T, ok bool) {
	for {
		if item, ok = r.TryPop(); ok {
			// Another waiter may be needed for what is left.
			r.signal()
			return item, true
		}
		select {
		case <-r.wake:
		case <-ctx.Done():
			return item, false
		}
	}
}

// TryPop removes the oldest item if there is one.
func (r *Ring[T]) TryPop() (item T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.count == 0 {
		return item, false
	}
	var zero T
	item = r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % r.size
	r.count--
	return item, true
}

// Dropped returns how many items were dropped.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
