package reacher

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minFailed is the number of upstreams that must have failed since the last success
	// before the entry may be cut off. A single one is likely to be down itself.
	minFailed = 3
	// failureTTL is how long a failure counts.
	failureTTL = 2 * time.Second
	// maxFailed bounds the upstreams whose failures are kept.
	maxFailed = 64
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
	// dials holds the upstreams that have accepted no connection since another one last
	// did, by address, with the time. Connections that are open may live on when no new
	// one can be opened. Probes holds those that have not responded to a load probe since
	// another one last did.
	dials, probes failures
	// reachedAt is when an upstream last accepted a connection, and triedAt when upstreams
	// were last tried for another entry.
	reachedAt, triedAt time.Time
	// checkAt is when the next check of a suspicion may begin, and wrong counts the
	// suspicions that proved wrong one after the other.
	checkAt time.Time
	wrong   int
	// services holds the reach of each service, nil for that of one.
	services map[string]*Reach
}

// failures holds the upstreams that failed, by address, with the time.
type failures map[string]time.Time

// record records the outcome of one try and reports whether enough upstreams have failed.
func (f *failures) record(now time.Time, addr string, ok bool) bool {
	if ok {
		clear(*f)
		return false
	}
	if *f == nil {
		*f = make(failures)
	}
	for a, at := range *f {
		if now.Sub(at) > failureTTL {
			delete(*f, a)
		}
	}
	if len(*f) < maxFailed {
		(*f)[addr] = now
	}
	return len(*f) >= minFailed
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

// mayTry reports whether upstreams may be tried for another entry now, and records that.
func (r *Reach) mayTry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.triedAt) < recentReach {
		return false
	}
	r.triedAt = now
	return true
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
	r.suspect(r.dials.record(now, addr, ok))
}

// RecordProbe records whether an upstream responded to a load probe.
func (r *Reach) RecordProbe(now time.Time, addr string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspect(r.probes.record(now, addr, ok))
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
