package forwarder

import (
	"maps"
	"slices"
	"time"

	"poplarwind/placer"
)

// SetEvacuated sets the failure domains to whose upstreams no requests are sent. Requests in flight
// are not interrupted; those that wait are placed elsewhere at once.
func (f *Forwarder) SetEvacuated(domains map[string]bool) {
	now := time.Now()
	f.mu.Lock()
	f.evacuated = maps.Clone(domains)
	services := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	for _, s := range services {
		s.mu.Lock()
		changed := s.fleet.SetEvacuated(now, domains)
		s.dispatchQueued(now)
		s.mu.Unlock()
		if changed {
			s.updateColdFractions(f.options, now)
		}
	}
	f.evacuationsKnown.Store(true)
}

// EvacuationsKnown reports whether requests are served as far as evacuations are concerned.
func (f *Forwarder) EvacuationsKnown() bool {
	return !f.options.AwaitEvacuations || f.evacuationsKnown.Load()
}

// Evacuated returns the evacuated failure domains in order.
func (f *Forwarder) Evacuated() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.evacuated))
}

// evacuates reports whether the failure domain of the upstream is evacuated.
func (s *service) evacuates(u *placer.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return u.Evacuated()
}
