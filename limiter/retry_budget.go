package limiter

import (
	"slices"
	"time"
)

// RetryBudget limits the requests that are sent again, so that retries do not
// add to the load of upstreams that fail because of load. Each request earns a
// fraction of a retry, which is used soon or lost, and a fixed allowance of
// retries is available within any window.
//
// The budget is local to an entry: the allowance is this entry's portion of the
// total of all entries, so that together they stay within the total without
// coordination. That holds also while load moves between entries, or they are
// restarted: what one has saved up, another can't know of, and earns again. Its
// zero value allows nothing. It is not safe for concurrent use.
type RetryBudget struct {
	ratio, allowance float64
	window           time.Duration
	// earned is the number of retries that requests have earned, at most maxEarned.
	earned float64
	// retries holds when retries were taken from the allowance, the oldest first.
	retries []time.Time
}

// maxEarned bounds the retries that requests have earned and that are not used yet.
const maxEarned = 2

// Set changes the bounds. A change of the window resets the counts, and a lower ratio
// applies to requests counted before as well.
func (b *RetryBudget) Set(ratio, allowance float64, window time.Duration) {
	if window != b.window {
		*b = RetryBudget{window: window}
	}
	if ratio < b.ratio {
		b.earned *= ratio / b.ratio
	}
	b.ratio, b.allowance = ratio, allowance
}

// Count counts one request.
func (b *RetryBudget) Count() { b.earned = min(maxEarned, b.earned+b.ratio) }

// Spend takes one retry from the budget and reports whether one was left.
func (b *RetryBudget) Spend(now time.Time) bool {
	if b.window <= 0 {
		return false
	}
	if b.earned >= 1 {
		b.earned--
		return true
	}
	expired := 0
	for expired < len(b.retries) && now.Sub(b.retries[expired]) >= b.window {
		expired++
	}
	b.retries = slices.Delete(b.retries, 0, expired)
	if float64(len(b.retries)+1) > b.allowance {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// Ready reports whether Spend would succeed.
func (b *RetryBudget) Ready(now time.Time) bool {
	if b.window <= 0 {
		return false
	}
	if b.earned >= 1 {
		return true
	}
	used := 0
	for _, at := range b.retries {
		if now.Sub(at) < b.window {
			used++
		}
	}
	return float64(used+1) <= b.allowance
}
