// Package placer selects the upstream that a request is sent to.
//
// The load of an upstream changes within milliseconds, so a report received
// with an earlier response is a poor estimate of the current load. A few
// upstreams that appear free are therefore probed for their load just before
// the send, and the one with the lowest expected cost is selected.
// [Fleet.SelectProbes] selects the upstreams to probe, [Fleet.SelectBest]
// selects one of those that reported, and [Fleet.Start] and [Fleet.Finish]
// maintain the counts.
//
// Everything in the package is pure: it reads no clock and does no I/O. Its
// types are not safe for concurrent use; the owner must hold a lock.
package placer
