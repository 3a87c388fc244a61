// Package reacher decides whether an entry is cut off from the upstreams of all
// services, or of one, while other entries reach them.
//
// Reach holds the outcomes of the entry's own connections and load probes, and the
// decision; it does no I/O. Several upstreams that can't be reached make it suspect.
// Monitor then tries others on purpose and, if none of all services, or few of one, can
// be reached, asks other entries: upstreams that none reaches are down, and the entry is
// not cut off.
package reacher
