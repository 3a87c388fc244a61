// Package claimer ensures that a call with an idempotency key runs at most once
// across all entries.
//
// Before such a call is sent, its entry writes a claim to the platform's store,
// on the condition that there is none. The claim identifies the attempt, so
// that if the store's response is lost, the outcome of the write can be
// determined by reading back. A claim never expires: an entry that is paused
// and resumes later still holds the exclusive right to send, and no second
// attempt is sent in its place. After the call, the claim's record is replaced
// by the outcome, which is returned to repeated calls. If the call provably did
// not run, the claim is released.
package claimer
