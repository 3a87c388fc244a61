// Package soaker runs entries as processes for some time under faults drawn from a seed: signals,
// network faults between entries and upstreams, a store that is away, slow or restored, changes of the
// configuration and statements of upstreams, in series and overlapping.
//
// It judges by what callers and upstreams see alone: a request that must not run twice runs at most
// once, one that was rejected did not run, a success is the whole response to its own request, a
// configuration stays in force, and calm returns when the faults end.
package soaker
