package limiter

import "time"

// maxRetryJitter bounds the random part of a Retry-After value as a fraction of the wait.
const maxRetryJitter = 0.5

// RetryAfter returns the Retry-After value for an expected wait: the wait, which it is never
// shorter than, and up to half of it more by random, a number in [0, 1). The load pattern is a crowd
// whose requests were rejected at the same time: without jitter they return at the same time.
func RetryAfter(wait time.Duration, random float64) time.Duration {
	return wait + time.Duration(maxRetryJitter*random*float64(wait))
}
