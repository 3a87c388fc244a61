// Package quarantiner decides which requests are no longer forwarded, because
// upstreams crash while they run them.
//
// Table holds what is known of such requests and does no I/O: the processes of
// upstreams that crashed during a request, by its fingerprint. Once they are
// several, copies of the request are in quarantine at all entries. A complete
// response to a copy shows that the request was not the cause. Tables merge in any
// order and number of times with the same result.
//
// Quarantiner merges the tables of all entries: it reports each crash to the
// others at once, compares tables with one of them periodically, and writes
// quarantines to the platform's store, from which entries read them that start
// while no other runs.
package quarantiner
