// Package ring provides a bounded queue between goroutines.
package ring

import (
	"context"
	"sync"
)

// defaultSize is the capacity of the zero Ring.
const defaultSize = 1024

// Ring is a bounded FIFO queue that drops its oldest item when full. Its zero
// value is an empty ring with a capacity of 1024 items. It is safe for concurrent
// use.
type Ring[T any] struct {
	// size is the capacity. If 0, it is set to defaultSize at the first use.
	size int

	mu sync.Mutex
	// items is a circular buffer of count items, of which items[head] is the
	// oldest.
	items       []T
	head, count int
	dropped     uint64
	// ready holds a token if the ring may be non-empty.
	ready chan struct{}
}

// New returns a ring with a capacity of size items. It panics if size is not
// positive.
func New[T any](size int) *Ring[T] {
	if size <= 0 {
		panic("ring: size must be positive")
	}
	return &Ring[T]{size: size}
}

// init allocates the buffer on first use. The caller must hold mu.
func (r *Ring[T]) init() {
	if r.size == 0 {
		r.size = defaultSize
	}
	if r.items == nil {
		r.items = make([]T, r.size)
		r.ready = make(chan struct{}, 1)
	}
}

// Push appends an item and drops the oldest one if the ring is full. It reports
// whether an item was dropped.
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

// signal wakes up one blocked Pop, now or at its next wait.
func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// Pop removes and returns the oldest item. It blocks until there is one or ctx is
// done, in which case ok is false.
func (r *Ring[T]) Pop(ctx context.Context) (item T, ok bool) {
	for {
		if item, ok = r.TryPop(); ok {
			// More items may remain, so another blocked Pop must wake up.
			r.signal()
			return item, true
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			return item, false
		}
	}
}

// TryPop removes and returns the oldest item, if there is one. It does not block.
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

// Dropped returns the number of dropped items.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
