// Package modeler simulates upstreams whose load changes within milliseconds, in
// virtual time, and runs the production code of placer and limiter against them.
//
// Upstreams are several times slower in phases of a fraction of a second. The
// speed of an upstream when a request starts applies to the whole request, which
// is the behavior of the users' upstreams. Several entries observe them through
// load probes and responses, which take time to arrive. A run is a deterministic
// function of its parameters and its seed.
package modeler
