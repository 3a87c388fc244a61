// Package runner assembles a daemon from its components and runs it: one
// goroutine per background task, listeners for callers, peers and operators, and
// a graceful shutdown.
package runner
