// Package pooler provides pools of connections to servers.
//
// A connection is used by one exchange at a time and is returned to its pool only
// if the exchange ended cleanly, so that no response can reach another call.
package pooler
