package limiter

import (
	"cmp"
	"slices"
	"time"
)

// Place holds the properties that determine a request's position in the
// admission queue.
type Place struct {
	// Rank is the urgency of the route; 0 is the most urgent.
	Rank int
	// Due is the time until which the response has its full value.
	Due time.Time
	// Needs is the expected time from send to response.
	Needs time.Duration
}

// late reports whether the response is expected after Due.
func (p Place) late(now time.Time) bool { return now.Add(p.Needs).After(p.Due) }

// Line is an admission queue of requests that wait for a slot. It orders them by
// rank, then those that can still be answered in time before those that are
// late, and then by due time. When load exceeds the slots for a while, late
// requests are deferred so that the others do not become late as well. Its zero
// value is empty. It is not safe for concurrent use.
type Line[T comparable] struct {
	// items is unordered and searched linearly; queues are short.
	items []queueItem[T]
}

type queueItem[T comparable] struct {
	value    T
	priority Place
}

// Len returns the number of waiting requests.
func (l *Line[T]) Len() int { return len(l.items) }

// Push adds a request.
func (l *Line[T]) Push(v T, p Place) { l.items = append(l.items, queueItem[T]{v, p}) }

// Remove removes a request and reports whether it was in the queue.
func (l *Line[T]) Remove(v T) bool {
	i := slices.IndexFunc(l.items, func(x queueItem[T]) bool { return x.value == v })
	if i < 0 {
		return false
	}
	l.items = slices.Delete(l.items, i, i+1)
	return true
}

// First returns the next request without removing it.
func (l *Line[T]) First(now time.Time) (T, bool) {
	if len(l.items) == 0 {
		var none T
		return none, false
	}
	return slices.MinFunc(l.items, func(a, b queueItem[T]) int { return compare(now, a.priority, b.priority) }).value, true
}

// Ahead returns the number of waiting requests that precede one with priority p.
func (l *Line[T]) Ahead(now time.Time, p Place) int {
	n := 0
	for _, x := range l.items {
		if compare(now, x.priority, p) < 0 {
			n++
		}
	}
	return n
}

func compare(now time.Time, a, b Place) int {
	late := func(p Place) int {
		if p.late(now) {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(late(a), late(b)), a.Due.Compare(b.Due))
}
