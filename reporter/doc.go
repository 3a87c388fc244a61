// Package reporter exposes the state of an entry to operators: a status for
// people and tools, a dump of the complete state, and OpenTelemetry metrics. It
// only reads the components that it reports on.
package reporter
