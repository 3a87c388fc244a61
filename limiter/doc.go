// Package limiter bounds work: queues of waiting calls by class, and budgets
// for the extra work of retries and hedges.
//
// Nothing in it reads a clock or does I/O. Its types are not safe for
// concurrent use; their owner holds a lock.
package limiter
