// Package relayer relays calls from callers to servers and responses back.
//
// It performs the network I/O and the timing for the decisions of package
// dispatcher. Each call is handled by one goroutine, which admits the call,
// claims its idempotency key if it needs a claim, waits for orders, starts
// attempts, and sends the caller one complete response or an error. The
// Poplar-Ran header of every response indicates whether the call ran: no,
// unknown or yes.
package relayer
