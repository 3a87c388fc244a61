package limiter

import (
	"cmp"
	"slices"
	"time"
)

// Place is what a request's place in a Line depends on.
type Place struct {
	// Rank is the urgency of its kind, 0 first.
	Rank int
	// Due is until when its answer is worth most.
	Due time.Time
	// Needs is how long it takes once sent.
	Needs time.Duration
}

// late reports whether an answer can't come by the time it is worth most.
func (p Place) late(now time.Time) bool { return now.Add(p.Needs).After(p.Due) }

// Line orders requests that wait for a slot: the more urgent kind first, of
// one kind those that can still be in time before those that can't, and then
// the one due first. When load exceeds the slots for a while, those that are
// late already stand back, and the others need not become late as well. Its
// zero value is empty. It is not safe for concurrent use.
type Line[T comparable] struct {
	// list is in no order; lines are short.
	list []lined[T]
}

type lined[T comparable] struct {
	value T
	place Place
}

// Len returns how many wait.
func (l *Line[T]) Len() int { return len(l.list) }

// Push adds a request.
func (l *Line[T]) Push(v T, p Place) { l.list = append(l.list, lined[T]{v, p}) }

// Remove takes a request out and reports whether it waited.
func (l *Line[T]) Remove(v T) bool {
	i := slices.IndexFunc(l.list, func(x lined[T]) bool { return x.value == v })
	if i < 0 {
		return false
	}
	l.list = slices.Delete(l.list, i, i+1)
	return true
}

// First returns the request that is next.
func (l *Line[T]) First(now time.Time) (T, bool) {
	if len(l.list) == 0 {
		var none T
		return none, false
	}
	return slices.MinFunc(l.list, func(a, b lined[T]) int { return compare(now, a.place, b.place) }).value, true
}

// Ahead returns how many of those that wait come before a request.
func (l *Line[T]) Ahead(now time.Time, p Place) int {
	n := 0
	for _, x := range l.list {
		if compare(now, x.place, p) < 0 {
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
