// Package runner puts the parts of a daemon together and runs them: one
// goroutine for each duty, three listeners for callers, peers and operators,
// and an orderly stop.
package runner
