// Package claimer makes a call with an idempotency key run at most once over
// all entries.
//
// Before such a call is sent, its entry writes a claim to the platform's
// store, on the condition that there is none. The claim names the attempt, so
// that a lost answer of the store is resolved by reading back. A claim never
// lapses: an entry that is paused and wakes still holds the only right to
// send, and a second attempt is never sent in its stead. After the call the
// claim's record is replaced by the outcome, which a repeated call is given.
// A call that provably did not run gives its claim back.
package claimer
