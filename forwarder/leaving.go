package forwarder

import (
	"maps"
	"slices"

	"github.com/juju/errors"

	"poplarwind/placer"
)

// LeavingReport says that the process of an upstream has told an entry that it leaves.
type LeavingReport struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	// StartedAt identifies the process of the upstream, as in its service discovery
	// record.
	StartedAt int64 `json:"born,omitempty"`
}

// recordLeaving records that the upstream says that it leaves. Requests in flight are not
// interrupted; its idle connections are closed.
func (x *exchange) recordLeaving(u *placer.Upstream, source statementSource) {
	s := x.service
	s.mu.Lock()
	news := s.fleet.RecordLeaving(u)
	s.mu.Unlock()
	if news {
		x.forwarder.pool.CloseIdle(u.Addr())
		x.forwarder.options.Log.Info("upstream says that it leaves", "upstream", u.ID(), "service", s.name, "source", source.String(), "request", x.id)
	}
}

// TakeLeavingReports returns the upstreams that have told this entry that they leave, and of
// which other entries are to be told.
func (f *Forwarder) TakeLeavingReports() []LeavingReport {
	f.mu.Lock()
	services := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	var out []LeavingReport
	for _, s := range services {
		s.mu.Lock()
		for _, u := range s.fleet.TakeUnreportedLeaving(nil) {
			out = append(out, LeavingReport{Service: s.name, Upstream: u.ID(), StartedAt: u.Spec().StartedAt})
		}
		s.mu.Unlock()
	}
	return out
}

// ApplyLeavingReports applies the reports of another entry. Those of upstreams that this
// entry does not know are skipped. If one is invalid, none is applied, and the error
// satisfies errors.Is(err, errors.NotValid).
func (f *Forwarder) ApplyLeavingReports(from string, reports []LeavingReport) error {
	for _, r := range reports {
		if r.Service == "" || r.Upstream == "" {
			return errors.NotValidf("leaving report: got: %+v want: a service and an upstream:", r)
		}
	}
	for _, r := range reports {
		f.mu.Lock()
		s := f.services[r.Service]
		f.mu.Unlock()
		if s == nil {
			continue
		}
		s.mu.Lock()
		u := s.fleet.ApplyLeavingReport(r.Upstream, r.StartedAt)
		s.mu.Unlock()
		if u != nil {
			f.options.Log.Info("upstream says that it leaves", "upstream", r.Upstream, "service", r.Service, "source", sourcePeer.String(), "from", from)
		}
	}
	return nil
}
