package placer

import "time"

// RateLimit is the rate of requests that an upstream accepts from all entries
// together, according to its responses.
type RateLimit struct {
	// Rate is the limit in requests per second, at least 0. It is valid if Limited
	// is set.
	Rate    float64
	Limited bool
	// At is when the upstream was last known to state this. A response that states a
	// limit counts from when it was received, and one that states none from when its
	// request was sent: the upstream may have stated a limit in between.
	At time.Time
}

// same reports whether both state the same limit, at whatever time.
func (l RateLimit) same(other RateLimit) bool {
	return l.Limited == other.Limited && (!l.Limited || l.Rate == other.Rate)
}

// RecordLimit records what a response of the upstream states about its rate limit,
// unless something newer is known. It reports whether the limit has changed.
func (f *Fleet) RecordLimit(u *Upstream, l RateLimit) bool {
	if l.At.Before(u.limit.At) {
		return false
	}
	changed := !l.same(u.limit)
	if !l.Limited {
		u.sentWhileLimited = 0
	}
	u.limit = l
	return changed
}
