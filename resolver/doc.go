// Package resolver answers callers which entries to use for a service.
//
// It ranks live entries by rendezvous hashing, so that every entry gives
// callers the same few entries of a service first without asking any other.
// Those few then carry nearly all of its calls, and their own counts of calls
// in flight are nearly the truth about its servers.
package resolver
