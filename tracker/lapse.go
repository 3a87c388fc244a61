package tracker

import (
	"time"

	"poplarwind/placer"
)

// Lapse tells upstreams that left from upstreams whose entries lapsed. Entries
// are removed after a silence of the upstream, at times also while the store
// is away or turns it away; then many vanish at once, without having said that
// they leave, and come back within two seconds. Such upstreams stay in use for
// a while. One that said that it leaves, or vanishes alone, is gone at once.
type Lapse struct {
	// Hold is how long lapsed upstreams stay in use. It must be shorter than
	// the time within which an upstream that left must get no request.
	Hold time.Duration

	// known holds the upstreams in use by ID, until when for lapsed ones.
	known map[string]lapsed
}

type lapsed struct {
	spec  placer.Spec
	until time.Time
}

// massShare is the part of a service's upstreams above which a removal of
// several at once is a lapse.
const massShare = 0.4

// Step takes in the upstreams that the store names and returns those to use,
// by ID, and when to look again, the zero time if nothing waits.
func (l *Lapse) Step(now time.Time, named map[string]placer.Spec) (use map[string]placer.Spec, next time.Time) {
	total, missing := make(map[string]int), make(map[string]int)
	for id, k := range l.known {
		total[k.spec.Service]++
		if _, ok := named[id]; !ok && !k.spec.Leaving {
			missing[k.spec.Service]++
		}
	}
	use = make(map[string]placer.Spec, len(named))
	before := l.known
	l.known = make(map[string]lapsed, len(named))
	for id, s := range named {
		use[id] = s
		l.known[id] = lapsed{spec: s}
	}
	for id, k := range before {
		if _, ok := named[id]; ok || k.spec.Leaving {
			continue
		}
		s := k.spec.Service
		if k.until.IsZero() && missing[s] > 1 && float64(missing[s]) > massShare*float64(total[s]) {
			k.until = now.Add(l.Hold)
		}
		if !now.Before(k.until) {
			continue
		}
		use[id] = k.spec
		l.known[id] = k
		if next.IsZero() || k.until.Before(next) {
			next = k.until
		}
	}
	return use, next
}
