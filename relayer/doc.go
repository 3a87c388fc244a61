// Package relayer relays calls from callers to servers and responses back.
//
// It does the network I/O and timing around the decisions of dispatcher: each
// call is one goroutine, which admits it, claims its idempotency key where it
// has one, waits for orders, runs attempts, and sends the caller one complete
// response or an error. The Poplar-Ran header of every response says whether
// the call ran: no, unknown or yes.
package relayer
