package forwarder

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"poplarwind/placer"
)

// LimitReport is the rate limit of an upstream as one entry reports it to another.
type LimitReport struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	// StartedAt identifies the process of the upstream, as in its service discovery
	// record.
	StartedAt int64 `json:"born,omitempty"`
	// Rate is the limit in requests per second, valid if Limited is set.
	Rate    float64 `json:"rate,omitempty"`
	Limited bool    `json:"limited,omitempty"`
	// ToAll is set if all entries are to be told, not only those assigned to the service.
	ToAll bool `json:"-"`
	// Age is the time since the upstream was last known to state this, in
	// nanoseconds. Entries' clocks differ.
	Age time.Duration `json:"age"`
}

// maxLimitAge bounds the age of a report, so that times computed from it do not
// overflow.
const maxLimitAge = time.Hour

// check returns an error that satisfies errors.Is(err, errors.NotValid) if the report
// can't be used.
func (r *LimitReport) check() error {
	switch {
	case !(r.Rate >= 0):
		return errors.NotValidf("limit report: rate: got: %v want: at least 0:", r.Rate)
	case r.Age < 0 || r.Age > maxLimitAge:
		return errors.NotValidf("limit report: age: got: %v want: 0 to %v:", r.Age, maxLimitAge)
	}
	return nil
}

// recordLimit records what a response states about the rate limit of the upstream and
// reports whether the limit has changed. A load probe's response without a limit says
// nothing: upstreams may state it only in responses to requests. The same holds for a
// request that did not run. The lock of the service must be held.
func (x *exchange) recordLimit(u *placer.Upstream, info ResponseInfo, sentAt time.Time, source statementSource) bool {
	log := x.forwarder.options.Log
	if info.LimitMalformed {
		log.Warn("rate limit of upstream can't be parsed", "upstream", u.ID(), "service", x.service.name, "source", source.String())
		return false
	}
	now := time.Now()
	limit := placer.RateLimit{Rate: info.RateLimit, Limited: info.Limited, At: now}
	if !info.Limited {
		if source == sourceProbe || info.NotRun {
			return false
		}
		limit.At = sentAt
	}
	old := u.RateLimit()
	if !x.service.fleet.RecordLimit(now, u, limit) {
		return false
	}
	log.Info("rate limit of upstream changed", "upstream", u.ID(), "service", x.service.name, "limited", limit.Limited, "rate", limit.Rate, "was", old.Rate, "source", source.String(), "request", string(info.ID))
	return true
}

// updateLimitFractions updates the fractions of the upstreams' rate limits that this
// entry may use. The lock must not be held.
func (s *service) updateLimitFractions(o Options, now time.Time) {
	s.mu.Lock()
	limited := s.fleet.Limited(nil)
	if len(limited) == 0 {
		s.mu.Unlock()
		return
	}
	specs, rates := make([]placer.Spec, len(limited)), make([]float64, len(limited))
	for i, u := range limited {
		specs[i], rates[i] = u.Spec(), u.RateLimit().Rate
	}
	s.mu.Unlock()
	entries := o.Entries(s.name).Total
	fractions := make([]float64, len(limited))
	for i := range limited {
		fractions[i] = o.LimitFraction(specs[i], rates[i])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, u := range limited {
		s.fleet.SetLimitFraction(now, u, fractions[i], entries)
	}
}

// TakeLimitReports returns the rate limits that other entries are to be told of: those
// that have changed according to responses to this entry, and from time to time the
// others that such responses state.
func (f *Forwarder) TakeLimitReports() []LimitReport {
	f.mu.Lock()
	services := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	var out []LimitReport
	for _, s := range services {
		out = s.takeLimitReports(out, time.Now())
	}
	return out
}

func (s *service) takeLimitReports(dst []LimitReport, now time.Time) []LimitReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.fleet.TakeUnreported(nil, now) {
		limit := u.RateLimit()
		dst = append(dst, LimitReport{
			Service: s.name, Upstream: u.ID(), StartedAt: u.Spec().StartedAt,
			Rate: limit.Rate, Limited: limit.Limited, ToAll: u.LimitToAll(), Age: min(max(now.Sub(limit.At), 0), maxLimitAge),
		})
	}
	return dst
}

// ApplyLimitReports applies the rate limits that another entry reports. Those of
// upstreams that this entry does not know are skipped. If one is invalid, none is
// applied, and the error satisfies errors.Is(err, errors.NotValid).
func (f *Forwarder) ApplyLimitReports(from string, reports []LimitReport) error {
	for i := range reports {
		if err := reports[i].check(); err != nil {
			return err
		}
	}
	now := time.Now()
	changed := make(map[*service]bool)
	for _, r := range reports {
		f.mu.Lock()
		s := f.services[r.Service]
		f.mu.Unlock()
		if s != nil && s.applyLimitReport(f.options, from, r, now) {
			changed[s] = true
		}
	}
	for s := range changed {
		s.updateLimitFractions(f.options, now)
	}
	return nil
}

// applyLimitReport reports whether the limit of the upstream has changed.
func (s *service) applyLimitReport(o Options, from string, r LimitReport, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.fleet.ApplyLimitReport(now, r.Upstream, r.StartedAt, placer.RateLimit{Rate: r.Rate, Limited: r.Limited, At: now.Add(-r.Age)})
	if u == nil {
		return false
	}
	o.Log.Info("rate limit of upstream changed", "upstream", u.ID(), "service", s.name, "limited", r.Limited, "rate", r.Rate, "source", sourcePeer.String(), "from", from, "age_ms", r.Age.Milliseconds())
	return true
}
