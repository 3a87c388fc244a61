// Package dispatcher schedules the calls of one service at one entry: it queues
// calls, assigns them to servers, and decides which are hedged, retried or
// rejected.
//
// The package reads no clock, does no I/O and starts no goroutine. Its owner
// passes the time, holds a lock, and executes the orders that Next returns. The
// same code therefore runs in production and in simulations with virtual time.
//
// An order starts an attempt, which the owner ends with Finish, or rejects a
// call.
package dispatcher
