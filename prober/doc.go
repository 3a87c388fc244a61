// Package prober probes the servers from which no recent response was received.
//
// Each server is assigned by rendezvous hashing to one entry of its service's
// subset. A probe is charged, in probes and in bytes, to the service's budget
// before it is sent; probes beyond the budget are skipped.
package prober
