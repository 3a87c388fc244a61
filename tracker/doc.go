// Package tracker keeps an entry's copy of what the platform's store holds:
// the configuration, the upstreams and the entries.
//
// One entry of the deployment watches the store and tells the others, by way
// of one entry in each failure domain; who does is a function of the
// membership alone, so that there is no election to be lost. An entry that
// heard nothing fresh for a while reads the store by itself, and failing that
// asks other entries. What an entry knows never goes back to an older
// revision.
package tracker
