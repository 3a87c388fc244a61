// Package announcer implements gossip-based membership of entries.
//
// Table holds the membership state and does no I/O: it derives which members
// are live from heartbeats that are disseminated from entry to entry.
// Announcer exchanges tables with a few peers every heartbeat interval, as JSON
// over HTTP, authenticated with a shared secret and limited by a byte budget.
// The platform's list may be stale, so that it only seeds the table.
//
// The membership views of entries are eventually consistent. A difference
// affects latency only: any entry serves any service correctly at any time.
package announcer
