// Package announcer keeps the membership of entries and what they tell one
// another.
//
// Table is the pure part: who is live, by heartbeats that spread from entry
// to entry. Announcer exchanges tables with a few peers each beat, over HTTP
// with JSON under a shared secret, within a budget of bytes. The platform's
// list, which lags, only seeds the table.
//
// Views of entries may differ for a while. Nothing but latency depends on
// them: any entry serves any service correctly at any time.
package announcer
