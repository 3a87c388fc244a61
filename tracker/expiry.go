package tracker

import (
	"time"

	"poplarwind/placer"
)

// ExpiryFilter distinguishes upstreams that were shut down from upstreams whose
// records in the store expired. The store removes the record of an upstream
// that stops sending heartbeats; this also happens while the store is
// unavailable or rejects the upstream. Many records then disappear at once,
// without the upstreams having been marked as draining, and return within two
// seconds. Such upstreams stay in use for a hold time. An upstream that was
// marked as draining, or that disappears alone, is removed at once.
type ExpiryFilter struct {
	// Hold is how long upstreams with expired records stay in use. It must be
	// shorter than the time within which requests to an upstream that was shut
	// down must have ceased.
	Hold time.Duration

	// tracked holds the upstreams in use by ID.
	tracked map[string]trackedUpstream
}

// trackedUpstream is an upstream in use. The field until is the end of the
// hold time if its record has expired, and zero otherwise.
type trackedUpstream struct {
	spec  placer.Spec
	until time.Time
}

// massExpiryFraction is the fraction of a service's upstreams above which the
// simultaneous removal of several upstreams is taken for an expiry.
const massExpiryFraction = 0.4

// Apply applies the list of upstreams in the store. It returns the upstreams to
// use, by ID, and the time at which the next hold time ends, or the zero time
// if no upstream is held.
func (f *ExpiryFilter) Apply(now time.Time, listed map[string]placer.Spec) (use map[string]placer.Spec, next time.Time) {
	total, missing := make(map[string]int), make(map[string]int)
	for id, u := range f.tracked {
		total[u.spec.Service]++
		if _, ok := listed[id]; !ok && !u.spec.Draining {
			missing[u.spec.Service]++
		}
	}
	use = make(map[string]placer.Spec, len(listed))
	before := f.tracked
	f.tracked = make(map[string]trackedUpstream, len(listed))
	for id, s := range listed {
		use[id] = s
		f.tracked[id] = trackedUpstream{spec: s}
	}
	for id, u := range before {
		if _, ok := listed[id]; ok || u.spec.Draining {
			continue
		}
		s := u.spec.Service
		if u.until.IsZero() && missing[s] > 1 && float64(missing[s]) > massExpiryFraction*float64(total[s]) {
			u.until = now.Add(f.Hold)
		}
		if !now.Before(u.until) {
			continue
		}
		use[id] = u.spec
		f.tracked[id] = u
		if next.IsZero() || u.until.Before(next) {
			next = u.until
		}
	}
	return use, next
}
