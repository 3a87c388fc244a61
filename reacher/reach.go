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

// Reach is what an entry knows of its paths to upstreams. It may be used concurrently.
type Reach struct {
	cut atomic.Bool
	// suspected receives a value when the entry may be cut off.
	suspected chan struct{}

	mu sync.Mutex
	// dials holds the upstreams that have accepted no connection since another one last
	// did, by address, with the time. Connections that are open may live on when no new
	// one can be opened. Probes holds those that have not responded to a load probe since
	// another one last did.
	dials, probes failures
	// reachedAt is when an upstream last accepted a connection.
	reachedAt time.Time
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

// New returns a Reach of an entry that is not cut off.
func New() *Reach { return &Reach{suspected: make(chan struct{}, 1)} }

// Cut reports whether the entry is cut off from the upstreams of all services.
func (r *Reach) Cut() bool { return r.cut.Load() }

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
	if suspect && !r.Cut() {
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
