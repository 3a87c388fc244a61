// Package apportioner enforces the quotas of customers over all entries together.
//
// A quota is a token bucket: a rate and a burst. Each entry estimates the level of the
// shared bucket from its own admissions and from those that other entries report, and
// admits at most its portion of the quota: the fraction of the demand that arrives at
// this entry. Entries exchange cumulative counters, so that a lost or repeated message
// does no harm, and no entry decides for another.
//
// Portions bound a flood however late reports arrive. For a customer with few requests a
// portion is less than one request; such requests are admitted as long as the shared
// bucket has room after what the others may have admitted since their last reports.
//
// An entry that hears from too few others may be cut off from them. It keeps a part of
// its last portion, and the others leave that portion to it for some time.
//
// Table does no I/O and reads no clock.
package apportioner
