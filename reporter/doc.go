// Package reporter tells operators what an entry does: a status for people
// and tools, a dump of its whole state, and OpenTelemetry metrics. It only
// reads.
package reporter
