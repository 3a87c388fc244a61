// Package picker chooses a server for a call.
//
// A Policy sees servers through the View interface and returns the place of
// its choice. Policies are generic over the type of server, keep no clock and
// allocate nothing.
package picker
