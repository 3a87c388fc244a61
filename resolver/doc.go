// Package resolver selects the entries that callers should use for a service.
//
// It ranks live entries by rendezvous hashing, so that every entry returns the
// same subset of entries first for a service without coordination. This subset
// then serves nearly all calls of the service, so that its entries' own counts
// of calls in flight are nearly the true load of the service's servers.
package resolver
