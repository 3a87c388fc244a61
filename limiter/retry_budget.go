package limiter

import "time"

// windowBuckets is the number of buckets that the budget's window is divided into.
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
	// buckets[i] holds the counts of the bucket number in numbers[i], which is
	// congruent to i modulo windowBuckets.
	buckets [windowBuckets]struct{ requests, retries int }
	numbers [windowBuckets]int64
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
		b.numbers[i] = n
		b.buckets[i].requests, b.buckets[i].retries = 0, 0
	}
	return i
}

// Count counts one request.
func (b *RetryBudget) Count(now time.Time) { b.buckets[b.advance(now)].requests++ }

// Spend takes one retry from the budget and reports whether one was left.
func (b *RetryBudget) Spend(now time.Time) bool {
	if b.bucketLength <= 0 {
		return false
	}
	i := b.advance(now)
	requests, retries := 0, 0
	for k, bucket := range b.buckets {
		if b.numbers[k] > 0 && b.numbers[i]-b.numbers[k] < windowBuckets {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	if float64(retries+1) > b.ratio*float64(requests)+b.allowance {
		return false
	}
	b.buckets[i].retries++
	return true
}
