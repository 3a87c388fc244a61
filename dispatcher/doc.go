// Package dispatcher decides, for the calls of one service at one entry, which
// waits, which is sent to which server, and which is hedged, retried or
// refused.
//
// It is pure: it reads no clock, does no I/O and starts no goroutine. Its
// owner passes the time, holds a lock, and carries out the orders that Next
// returns. The same code runs under real calls and in virtual time.
//
// An order is carried out by an attempt, which the owner ends with Finish.
package dispatcher
