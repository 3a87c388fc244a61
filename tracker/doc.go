// Package tracker keeps an entry's local replica of the platform's store: the
// configuration and the upstreams.
//
// One entry of the deployment watches the store and sends updates to the
// others through one entry in each failure domain. These roles are a function
// of the membership alone, so that no leader election is needed. An entry that
// has received no fresh update for a while reads the store itself and, if that
// fails, queries other entries. A replica never reverts to an older revision.
package tracker
