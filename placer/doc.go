// Package placer decides which upstream a request is sent to.
//
// The load of an upstream shifts within milliseconds, so a report that came
// with an earlier answer says little about now. A few upstreams that look free
// are therefore asked for their load just before the send, and the one that
// would answer soonest is taken. Fleet.Ask names those to ask, Fleet.Best
// takes one of the answers, Fleet.Start and Attempt.Finish keep the counts.
//
// Everything in the package is pure: it reads no clock and does no I/O. Its
// types are not safe for concurrent use; their owner holds a lock.
package placer
