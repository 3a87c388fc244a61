// Package picker chooses a server for a call.
//
// A Policy reads the state of servers through the View interface and returns
// the index of the chosen one. Policies are generic over the type of server,
// take the time from the request instead of a clock, and do not allocate.
package picker
