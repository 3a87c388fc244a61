// Package relayer carries calls from callers to servers and answers back.
//
// It owns the sockets and the clock around the decisions of dispatcher: each
// call is one goroutine, which admits it, claims its idempotency key where it
// has one, waits for orders, runs attempts, and gives the caller one whole
// answer or an error. Every answer says in the Poplar-Ran header whether the
// call ran: no, unknown or yes.
package relayer
