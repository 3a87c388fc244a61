// Package upgrader runs entries of two builds side by side, as processes in front of the
// fakes of the platform, and replaces them one after the other under load.
//
// Fleet holds the entries, the store and the upstreams, and Load the callers. Neither judges
// anything but what callers and upstreams see. The tests need the two programs, which
// scripts/upgrade.sh builds; without them they are skipped.
package upgrader
