package reacher

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minFailed is the number of upstreams that must have failed before the entry may be cut
	// off. A single one is likely to be down itself.
	minFailed = 3
	// outcomeTTL is how long the outcome of a try counts.
	outcomeTTL = 2 * time.Second
	// maxOutcomes bounds the upstreams whose outcomes are kept.
	maxOutcomes = 64
)

// Reach is what an entry knows of its paths to the upstreams of all services, or of one. It
// may be used concurrently.
type Reach struct {
	cut atomic.Bool
	// service is the name of the service, empty for that of all.
	service string
	// doubted is set when the entry may be cut off, and suspected then receives a value. It
	// is the same for all services.
	doubted   atomic.Bool
	suspected chan struct{}

	mu sync.Mutex
	// dials holds the last outcomes of connections by upstream, and probes those of load
	// probes. Connections that are open may live on when no new one can be opened.
	dials, probes outcomes
	// reachedAt is when an upstream last accepted a connection.
	reachedAt time.Time
	// fraction is the fraction of the upstreams tried on purpose that accepted a connection
	// at triedAt, zero if there was no try.
	fraction float64
	triedAt  time.Time
	// checkAt is when the next check of a suspicion may begin, and wrong counts the
	// suspicions that proved wrong one after the other.
	checkAt time.Time
	wrong   int
	// services holds the reach of each service, nil for that of one.
	services map[string]*Reach
}

// outcome is the last outcome of a try to reach an upstream.
type outcome struct {
	ok bool
	at time.Time
}

// outcomes holds the last outcomes by address of the upstream.
type outcomes map[string]outcome

// record records the outcome of one try and reports whether enough upstreams have failed: at
// least minFailed, and twice as many as have not.
func (o *outcomes) record(now time.Time, addr string, ok bool) bool {
	if *o == nil {
		*o = make(outcomes)
	}
	if ok && len(*o) < maxOutcomes {
		(*o)[addr] = outcome{ok, now}
		return false
	}
	delete(*o, addr)
	failed, succeeded := 0, 0
	for a, v := range *o {
		switch {
		case now.Sub(v.at) > outcomeTTL:
			delete(*o, a)
		case v.ok:
			succeeded++
		default:
			failed++
		}
	}
	if len(*o) < maxOutcomes {
		(*o)[addr] = outcome{ok, now}
	}
	return !ok && failed+1 >= minFailed && failed+1 >= 2*succeeded
}

// New returns a Reach of all services, of an entry that is not cut off.
func New() *Reach {
	return &Reach{suspected: make(chan struct{}, 1), services: make(map[string]*Reach)}
}

// Service returns the Reach of the upstreams of one service. The receiver must be that of all.
func (r *Reach) Service(name string) *Reach {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		s = &Reach{service: name, suspected: r.suspected}
		r.services[name] = s
	}
	return s
}

// Forget removes what is known of one service. The receiver must be that of all.
func (r *Reach) Forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.services, name)
}

// Cut reports whether the entry is cut off from the upstreams of the service, or of all
// services.
func (r *Reach) Cut() bool { return r.cut.Load() }

// due returns the Reach of all services and of each one, as far as they are suspect or cut and
// may be checked now, and whether there are others that may be checked later.
func (r *Reach) due(now time.Time) (list []*Reach, later bool) {
	r.mu.Lock()
	all := append(make([]*Reach, 0, 1+len(r.services)), r)
	for _, s := range r.services {
		all = append(all, s)
	}
	r.mu.Unlock()
	for _, s := range all {
		if !s.Cut() && !s.doubted.Load() {
			continue
		}
		s.mu.Lock()
		ready := !now.Before(s.checkAt)
		s.mu.Unlock()
		if ready {
			list = append(list, s)
		} else {
			later = true
		}
	}
	return list, later
}

// checked records the end of a check at now. The next one follows after suspicionInterval,
// twice as long after each further suspicion that proves wrong, and after cutInterval while
// the entry is cut off.
func (r *Reach) checked(now time.Time) {
	r.doubted.Store(false)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Cut() {
		r.wrong, r.checkAt = 0, now.Add(cutInterval)
		return
	}
	if now.Sub(r.checkAt) > maxSuspicionInterval {
		r.wrong = 0
	}
	r.checkAt = now.Add(min(suspicionInterval<<min(r.wrong, maxDoublings), maxSuspicionInterval))
	r.wrong++
}

// recordTry records how many of the upstreams that were tried on purpose accepted a
// connection.
func (r *Reach) recordTry(now time.Time, tried, reached int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fraction, r.triedAt = 0, now
	if tried > 0 {
		r.fraction = float64(reached) / float64(tried)
	}
}

// lastTry returns the fraction that the last try reached, false if that was too long ago.
func (r *Reach) lastTry(now time.Time) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fraction, !r.triedAt.IsZero() && now.Sub(r.triedAt) < recentReach
}

const (
	// lostFraction is the fraction of a service's upstreams that an entry must reach to
	// serve it by itself. The few that it reaches would be overloaded by its requests.
	lostFraction = 0.25
	// soundFraction is the fraction of them that another entry must reach to take its
	// requests, and from which on the entry serves the service by itself again. If most
	// upstreams are down, no entry reaches it.
	soundFraction = 0.5
)

// lost reports whether the entry is cut off if it reaches a fraction of the upstreams. It must
// reach none of those of all services, since services differ.
func (r *Reach) lost(fraction float64) bool {
	return fraction == 0 || r.service != "" && fraction <= lostFraction
}

// sound reports whether the entry is not cut off if it reaches a fraction of the upstreams.
func (r *Reach) sound(fraction float64) bool {
	return fraction > 0 && (r.service == "" || fraction >= soundFraction)
}

// SetCut sets whether the entry is cut off, and reports whether this has changed.
func (r *Reach) SetCut(cut bool) bool { return r.cut.Swap(cut) != cut }

// RecordDial records whether an upstream accepted a connection.
func (r *Reach) RecordDial(now time.Time, addr string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.reachedAt = now
	}
	r.record(&r.dials, now, addr, ok)
}

// RecordProbe records whether an upstream responded to a load probe.
func (r *Reach) RecordProbe(now time.Time, addr string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(&r.probes, now, addr, ok)
}

// record records an outcome and whether it makes the entry suspect. A single success shows that
// it is not cut off from all services. The lock must be held.
func (r *Reach) record(o *outcomes, now time.Time, addr string, ok bool) {
	if ok && r.service == "" {
		clear(*o)
		return
	}
	r.suspect(o.record(now, addr, ok))
}

func (r *Reach) suspect(suspect bool) {
	if suspect && !r.Cut() && !r.doubted.Swap(true) {
		select {
		case r.suspected <- struct{}{}:
		default:
		}
	}
}

// reachedSince returns the time since an upstream last accepted a connection.
func (r *Reach) reachedSince(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.reachedAt)
}
