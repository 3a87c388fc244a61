package forwarder

import (
	"maps"
	"slices"
	"time"

	"poplarwind/placer"
)

// ServiceStatus is the state of one service at an entry.
type ServiceStatus struct {
	Name string `json:"name"`
	// Waiting is the number of requests in the admission queue of this entry.
	Waiting int `json:"waiting"`
	// Cut is set while the entry is cut off from the upstreams of the service.
	Cut bool `json:"cut,omitempty"`
	// Usable is the number of upstreams that requests may be sent to.
	Usable          int           `json:"usable"`
	AssignedEntries int           `json:"carriers"`
	AverageLatency  time.Duration `json:"usual_ns"`
	// Retries is the number of retries taken from the budget, and RetriesDenied the
	// number of those for which nothing was left.
	Retries       int64 `json:"retries,omitempty"`
	RetriesDenied int64 `json:"retries_denied,omitempty"`
	// Hedges counts the hedges, nil if none was sent or denied.
	Hedges    *HedgeStatus     `json:"hedges,omitempty"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is the state of one upstream as seen by an entry.
type UpstreamStatus struct {
	ID       string `json:"id"`
	Addr     string `json:"addr"`
	Domain   string `json:"domain"`
	Draining bool   `json:"leaving,omitempty"`
	Ejected  bool   `json:"ejected,omitempty"`
	// Evacuated is set while the failure domain of the upstream is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// WarmupLeft is how much longer the upstream is cold, WarmupFraction the fraction of the
	// warm-up rate that this entry may use, and SentWhileCold the number of requests sent
	// to it while it was cold last.
	WarmupLeft     time.Duration `json:"warmup_left_ns,omitempty"`
	WarmupFraction float64       `json:"warmup_part,omitempty"`
	SentWhileCold  int64         `json:"sent_while_cold,omitempty"`
	// Departure is what the upstream has told this entry or another of its departure,
	// empty if nothing.
	Departure string `json:"departure,omitempty"`
	Load      Load   `json:"load"`
	// RateLimit is the rate limit in requests per second that the upstream states
	// for all entries together, nil if it states none.
	RateLimit *float64 `json:"limit,omitempty"`
	// LimitFraction is the fraction of the limit that this entry may use.
	LimitFraction float64 `json:"part,omitempty"`
	// Sent is the number of requests sent to it since it states a limit.
	Sent int64 `json:"sent,omitempty"`
	// PauseLeft is the time left of the pause that it has asked this entry for, and
	// SentWhilePaused the number of requests sent to it during pauses.
	PauseLeft       time.Duration `json:"pause_left_ns,omitempty"`
	SentWhilePaused int64         `json:"sent_in_pauses,omitempty"`
}

// Status returns the state of all services at this entry, by name.
func (f *Forwarder) Status() []ServiceStatus {
	f.mu.Lock()
	list := make([]*service, 0, len(f.services))
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		list = append(list, f.services[name])
	}
	f.mu.Unlock()
	out := make([]ServiceStatus, 0, len(list))
	for _, s := range list {
		out = append(out, s.status(time.Now()))
	}
	return out
}

func (s *service) status(now time.Time) ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := ServiceStatus{Name: s.name, Cut: s.reach.Cut(), Waiting: s.queue.Len(), AssignedEntries: s.assignedEntries, AverageLatency: s.fleet.AverageLatency(), Retries: s.retries, RetriesDenied: s.retriesDenied, Hedges: s.hedges.status()}
	for _, u := range s.fleet.List() {
		if u.Usable(now) {
			out.Usable++
		}
		spec := u.Spec()
		status := UpstreamStatus{
			ID: spec.ID, Addr: spec.Addr, Domain: spec.Domain, Draining: spec.Draining, Ejected: u.Ejected(now), Load: loadOf(u, now),
			PauseLeft: max(0, u.PauseEnd().Sub(now)), SentWhilePaused: u.SentWhilePaused(),
		}
		status.Evacuated, status.WarmupLeft, status.SentWhileCold = u.Evacuated(), s.fleet.WarmupLeft(now, u), u.SentWhileCold()
		if status.WarmupLeft > 0 {
			status.WarmupFraction = u.WarmupFraction()
		}
		if d := u.Departure(); d != placer.Staying {
			status.Departure = d.String()
		}
		if limit := u.RateLimit(); limit.Limited {
			status.RateLimit, status.LimitFraction, status.Sent = &limit.Rate, u.LimitFraction(), u.SentWhileLimited()
		}
		out.Upstreams = append(out.Upstreams, status)
	}
	return out
}
