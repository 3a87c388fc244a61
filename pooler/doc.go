// Package pooler keeps connections to servers.
//
// A connection is handed to one exchange at a time and comes back only if the
// exchange ended cleanly, so that no answer can reach another call.
package pooler
