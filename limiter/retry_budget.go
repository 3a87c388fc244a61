package limiter

import (
	"slices"
	"time"
)

// windowBuckets is the number of buckets that the budget's window is divided into to count
// requests.
const windowBuckets = 10

// RetryBudget limits the requests that are sent again, so that retries do not
// add to the load of upstreams that fail because of load. Within any window,
// the retries are limited to a ratio of the window's requests plus a fixed
// allowance. The budget is local to an entry: the allowance is this entry's
// portion of the total of all entries, so that together they stay within the
// total without coordination. Its zero value allows nothing. It is not safe for
// concurrent use.
type RetryBudget struct {
	ratio, allowance float64
	bucketLength     time.Duration
	// epoch is the first time passed to advance. Buckets are numbered from it by the
	// monotonic clock, which a change of the wall clock does not affect.
	epoch time.Time
	// requests[i] holds the count of the bucket number in numbers[i], which is
	// congruent to i modulo windowBuckets.
	requests [windowBuckets]int
	numbers  [windowBuckets]int64
	// retries holds when the retries of the window were taken, the oldest first.
	retries []time.Time
}

// Set changes the bounds. A change of the window resets the counts.
func (b *RetryBudget) Set(ratio, allowance float64, window time.Duration) {
	b.ratio, b.allowance = ratio, allowance
	if length := window / windowBuckets; length != b.bucketLength {
		*b = RetryBudget{ratio: ratio, allowance: allowance, bucketLength: length}
	}
}

// advance returns the index of the bucket that covers now, and clears it if it
// holds the counts of an earlier bucket number.
func (b *RetryBudget) advance(now time.Time) int {
	if b.bucketLength <= 0 {
		return 0
	}
	if b.epoch.IsZero() {
		b.epoch = now
	}
	// Numbering starts at windowBuckets, above the zero value of numbers, which
	// marks a bucket that was never used.
	n := windowBuckets + int64(max(0, now.Sub(b.epoch))/b.bucketLength)
	i := int(n % windowBuckets)
	if b.numbers[i] != n {
		b.numbers[i], b.requests[i] = n, 0
	}
	return i
}

// Count counts one request.
func (b *RetryBudget) Count(now time.Time) { b.requests[b.advance(now)]++ }

// Spend takes one retry from the budget and reports whether one was left. Requests count
// in buckets that lie within the window, and retries by their exact time: one that is
// forgotten early could be replaced within the same window.
func (b *RetryBudget) Spend(now time.Time) bool {
	if b.bucketLength <= 0 {
		return false
	}
	i := b.advance(now)
	requests := 0
	for k, n := range b.requests {
		if b.numbers[k] > 0 && b.numbers[i]-b.numbers[k] < windowBuckets {
			requests += n
		}
	}
	expired := 0
	for expired < len(b.retries) && now.Sub(b.retries[expired]) >= windowBuckets*b.bucketLength {
		expired++
	}
	b.retries = slices.Delete(b.retries, 0, expired)
	if float64(len(b.retries)+1) > b.ratio*float64(requests)+b.allowance {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}
