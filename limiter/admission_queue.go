package limiter

import (
	"cmp"
	"slices"
	"time"
)

// Priority holds the properties that determine a request's position in the
// admission queue.
type Priority struct {
	// Rank is the urgency of the route; 0 is the most urgent.
	Rank int
	// Due is the time until which the response has its full value.
	Due time.Time
	// Latency is the expected time from send to response.
	Latency time.Duration
}

// late reports whether the response is expected after Due.
func (p Priority) late(now time.Time) bool { return now.Add(p.Latency).After(p.Due) }

// Queue is an admission queue of requests that wait for a slot. It orders them by
// rank, then those that can still be answered in time before those that are
// late, and then by due time. When load exceeds the slots for a while, late
// requests are deferred so that the others do not become late as well. Its zero
// value is empty. It is not safe for concurrent use.
type Queue[T comparable] struct {
	// items is unordered and searched linearly; queues are short.
	items []queueItem[T]
}

type queueItem[T comparable] struct {
	value    T
	priority Priority
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a request.
func (q *Queue[T]) Push(v T, p Priority) { q.items = append(q.items, queueItem[T]{v, p}) }

// Remove removes a request and reports whether it was in the queue.
func (q *Queue[T]) Remove(v T) bool {
	i := slices.IndexFunc(q.items, func(x queueItem[T]) bool { return x.value == v })
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

// First returns the next request without removing it, or false if the queue is
// empty.
func (q *Queue[T]) First(now time.Time) (T, bool) {
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	return slices.MinFunc(q.items, func(a, b queueItem[T]) int { return compare(now, a.priority, b.priority) }).value, true
}

// Ahead returns the number of waiting requests that precede one with priority p.
func (q *Queue[T]) Ahead(now time.Time, p Priority) int {
	n := 0
	for _, x := range q.items {
		if compare(now, x.priority, p) < 0 {
			n++
		}
	}
	return n
}

func compare(now time.Time, a, b Priority) int {
	late := func(p Priority) int {
		if p.late(now) {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(late(a), late(b)), a.Due.Compare(b.Due))
}
