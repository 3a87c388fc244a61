// Package bencher measures routing policies.
//
// It runs the production code of dispatcher, picker, resolver and prober in
// virtual time against simple fake servers behind their interfaces. It does not
// reimplement any decision, and policies have only the information about servers
// that responses and load probes report. The one exception is Oracle, which reads
// the state of every server and is the reference for the best possible result.
package bencher
