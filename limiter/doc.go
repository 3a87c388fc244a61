// Package limiter bounds the work of an entry: quotas of concurrent calls per
// team, queues of waiting calls, and budgets for the additional work of retries
// and hedged requests.
//
// Nothing in it reads a clock or does I/O. Unless stated otherwise, its types
// are not safe for concurrent use; the owner must hold a lock.
package limiter
