// Package bencher measures routing policies.
//
// It drives the production decisions of dispatcher, picker, resolver and
// prober in virtual time against small fakes of servers at their interfaces.
// It holds no second copy of any decision, and the policies learn of servers
// only what answers and a lagging list tell. The one exception is Truth, which
// sees every server's state and stands for the limit.
package bencher
