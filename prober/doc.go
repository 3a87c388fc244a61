// Package prober measures the servers that answers tell nothing of.
//
// One entry of a service's subset has the duty for a server, by hash. A probe
// is paid for, in probes and in bytes, from the service's budget before it is
// sent; when the budget is spent, the prober goes without.
package prober
