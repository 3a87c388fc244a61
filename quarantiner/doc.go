// Package quarantiner decides which requests are no longer forwarded, because
// upstreams crash while they run them.
package quarantiner
