package tracker

import (
	"maps"
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
//
// A store that was restored from a backup lists upstreams as they were when it was made.
// Those that it lacks stay in use for the hold time, in which they are written again.
// Those that were draining or removed since are not used again unless their record is
// written anew, or stays for as long as the store keeps the records of upstreams that
// send no heartbeats.
type ExpiryFilter struct {
	// Drain is the time within which requests to an upstream that was shut down must
	// have ceased. Upstreams with expired records stay in use for a part of it, counted
	// from when their records were last certain to be in the store: the time until their
	// removal was noticed is a part of it too.
	Drain time.Duration

	// era is the era of the store as of the last list.
	era uint64
	// tracked holds the upstreams in use by ID.
	tracked map[string]trackedUpstream
	// departed holds the upstreams that were draining or removed in the last
	// departureTTL, and withheld those of them that a restored store lists
	// again.
	departed map[string]departedUpstream
	withheld map[string]withheldUpstream
}

// ListedUpstream is an upstream as the store lists it.
type ListedUpstream struct {
	Spec placer.Spec
	// Revision is the revision of the record's last change.
	Revision uint64
}

// departedUpstream is an upstream that was draining or removed at a time.
type departedUpstream struct {
	startedAt int64
	at        time.Time
}

// withheldUpstream is an upstream that is not used although it is listed, until its record
// has another revision, at the latest until a time.
type withheldUpstream struct {
	revision uint64
	until    time.Time
}

const (
	// departureTTL is how long it is known that an upstream was draining or removed.
	// The backups of the store are some seconds old.
	departureTTL = time.Minute
	// withholdTime is longer than the three heartbeat intervals after which the store
	// removes the record of an upstream that sends none.
	withholdTime = 6 * time.Second
)

// trackedUpstream is an upstream in use. The field until is the end of the
// hold time if its record has expired, and zero otherwise.
type trackedUpstream struct {
	spec  placer.Spec
	until time.Time
}

// massExpiryFraction is the fraction of a service's upstreams above which the
// simultaneous removal of several upstreams is taken for an expiry.
const massExpiryFraction = 0.4

// holdFraction is the fraction of Drain for which upstreams with expired records stay in use.
const holdFraction = 0.75

// hold returns until when upstreams stay in use whose records expired after a time at which
// they were certain to be in the store. If that is as long ago as Drain, the store was out of
// reach, and the time begins now: records that expired meanwhile return soon.
func (f *ExpiryFilter) hold(now, confirmed time.Time) time.Time {
	if now.Sub(confirmed) >= f.Drain {
		confirmed = now
	}
	return confirmed.Add(time.Duration(holdFraction * float64(f.Drain)))
}

// Apply applies the list of upstreams in the store, as of an era of it. The list before it was
// last certain to be the store's newest at the time confirmed. Apply returns the upstreams to
// use, by ID, and the time at which the next hold time ends, or the zero time if no upstream
// is held or withheld.
func (f *ExpiryFilter) Apply(now, confirmed time.Time, era uint64, listed map[string]ListedUpstream) (use map[string]placer.Spec, next time.Time) {
	restored := f.era > 0 && era > f.era
	f.era = era
	if restored {
		confirmed = now
		f.withhold(now, listed)
	}
	total, missing := f.countMissing(listed)
	use = make(map[string]placer.Spec, len(listed))
	before := f.tracked
	f.tracked = make(map[string]trackedUpstream, len(listed))
	for id, u := range listed {
		if until := f.withheldUntil(now, id, u); !until.IsZero() {
			next = earlier(next, until)
			continue
		}
		use[id] = u.Spec
		f.tracked[id] = trackedUpstream{spec: u.Spec}
		if u.Spec.Draining {
			f.depart(now, u.Spec)
		} else {
			delete(f.departed, id)
		}
	}
	for id, u := range before {
		if _, ok := listed[id]; ok {
			continue
		}
		s := u.spec.Service
		expired := missing[s] > 1 && float64(missing[s]) > massExpiryFraction*float64(total[s])
		if u.until.IsZero() && !u.spec.Draining && (restored || expired) {
			u.until = f.hold(now, confirmed)
		}
		if !now.Before(u.until) {
			f.depart(now, u.spec)
			continue
		}
		use[id] = u.spec
		f.tracked[id] = u
		next = earlier(next, u.until)
	}
	return use, next
}

// countMissing returns, by service, the number of upstreams in use and of those that are
// no longer listed without having been draining.
func (f *ExpiryFilter) countMissing(listed map[string]ListedUpstream) (total, missing map[string]int) {
	total, missing = make(map[string]int), make(map[string]int)
	for id, u := range f.tracked {
		total[u.spec.Service]++
		if _, ok := listed[id]; !ok && !u.spec.Draining {
			missing[u.spec.Service]++
		}
	}
	return total, missing
}

// depart records that an upstream is draining or was removed.
func (f *ExpiryFilter) depart(now time.Time, s placer.Spec) {
	if f.departed == nil {
		f.departed = make(map[string]departedUpstream)
	}
	maps.DeleteFunc(f.departed, func(_ string, d departedUpstream) bool { return now.Sub(d.at) > departureTTL })
	f.departed[s.ID] = departedUpstream{startedAt: s.StartedAt, at: now}
}

// withhold withholds the listed upstreams whose process is known to have been draining or
// removed.
func (f *ExpiryFilter) withhold(now time.Time, listed map[string]ListedUpstream) {
	f.withheld = make(map[string]withheldUpstream)
	for id, u := range listed {
		d, ok := f.departed[id]
		if ok && d.startedAt == u.Spec.StartedAt && now.Sub(d.at) <= departureTTL && !u.Spec.Draining {
			f.withheld[id] = withheldUpstream{revision: u.Revision, until: now.Add(withholdTime)}
		}
	}
}

// withheldUntil returns until when a listed upstream is withheld, or the zero time if it
// is not.
func (f *ExpiryFilter) withheldUntil(now time.Time, id string, u ListedUpstream) time.Time {
	w, ok := f.withheld[id]
	if ok && w.revision == u.Revision && now.Before(w.until) {
		return w.until
	}
	delete(f.withheld, id)
	return time.Time{}
}

// earlier returns the earlier of two times, of which a zero one counts as none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
