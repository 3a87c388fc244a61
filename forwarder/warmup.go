package forwarder

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"poplarwind/placer"
	"poplarwind/router"
)

// WarmupReport is what one entry reports to another of the warm-up of an upstream.
type WarmupReport struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	// StartedAt identifies the process of the upstream, as in its service discovery
	// record.
	StartedAt int64 `json:"born,omitempty"`
	// Left is how much longer the upstream is cold, 0 if it is not, and Age the time since
	// it was known to state this, both in nanoseconds. Entries' clocks differ.
	Left time.Duration `json:"left,omitempty"`
	Age  time.Duration `json:"age"`
}

// check returns an error that satisfies errors.Is(err, errors.NotValid) if the report
// can't be used.
func (r *WarmupReport) check() error {
	if r.Left < 0 || r.Left > maxLimitAge || r.Age < 0 || r.Age > maxLimitAge {
		return errors.NotValidf("warm-up report: got: %v left, age %v want: 0 to %v:", r.Left, r.Age, maxLimitAge)
	}
	return nil
}

// configureWarmups applies the warm-up rates of the configuration in force.
func (f *Forwarder) configureWarmups() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.mu.Lock()
		s.configureWarmup(f.table.Load())
		s.mu.Unlock()
	}
}

// configureWarmup applies the warm-up rate of a configuration, which may be nil. The lock must be held.
func (s *service) configureWarmup(t *router.Table) {
	if t == nil {
		return
	}
	if v := t.Service(s.name); v != nil {
		s.fleet.SetWarmup(v.WarmupRate, v.WarmupTime)
	} else {
		s.fleet.SetWarmup(0, 0)
	}
}

// recordWarmup records what the response to a load probe that was sent at sentAt says of the warm-up of
// the upstream, and reports whether it has become cold or has ceased to be. The lock of the
// service must be held.
func (x *exchange) recordWarmup(u *placer.Upstream, info ResponseInfo, sentAt time.Time) bool {
	log := x.forwarder.options.Log
	if info.WarmupError != nil {
		log.Warn("warm-up of upstream can't be parsed", "upstream", u.ID(), "service", x.service.name, "error", info.WarmupError.Error())
		return false
	}
	if !info.WarmupStated || !x.service.fleet.RecordWarmup(time.Now(), u, info.Warmup, sentAt) {
		return false
	}
	x.service.logWarmup(x.forwarder.options, u, info.Warmup, sourceProbe, "request", x.id)
	return true
}

// logWarmup logs that an upstream has become cold or has ceased to be.
func (s *service) logWarmup(o Options, u *placer.Upstream, left time.Duration, source statementSource, more ...any) {
	o.Log.Info("warm-up of upstream changed", append([]any{"upstream", u.ID(), "service", s.name, "cold", left > 0, "left_ms", left.Milliseconds(), "source", source.String()}, more...)...)
}

// updateColdFractions updates the fractions of the warm-up rates of all cold upstreams that this entry
// may use. The lock must not be held.
func (s *service) updateColdFractions(o Options, now time.Time) {
	s.mu.Lock()
	cold := s.fleet.Cold(nil, now)
	s.mu.Unlock()
	s.updateWarmupFractions(o, now, cold)
}

// updateWarmupFractions updates the fractions of the warm-up rates of upstreams that this entry may
// use. The lock must not be held.
func (s *service) updateWarmupFractions(o Options, now time.Time, upstreams []*placer.Upstream) {
	if len(upstreams) == 0 {
		return
	}
	s.mu.Lock()
	rate := s.fleet.WarmupRate()
	specs := make([]placer.Spec, len(upstreams))
	for i, u := range upstreams {
		specs[i] = u.Spec()
	}
	s.mu.Unlock()
	fractions := make([]float64, len(upstreams))
	for i := range upstreams {
		fractions[i] = o.WarmupFraction(specs[i], rate)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, u := range upstreams {
		s.fleet.SetWarmupFraction(now, u, fractions[i])
	}
}

// TakeWarmupReports returns the upstreams that have become cold or have ceased to be according to
// responses to this entry, of which other entries are to be told.
func (f *Forwarder) TakeWarmupReports() []WarmupReport {
	f.mu.Lock()
	services := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	var out []WarmupReport
	for _, s := range services {
		out = s.takeWarmupReports(out, time.Now())
	}
	return out
}

func (s *service) takeWarmupReports(dst []WarmupReport, now time.Time) []WarmupReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.fleet.TakeUnreportedWarmups(nil) {
		dst = append(dst, WarmupReport{
			Service: s.name, Upstream: u.ID(), StartedAt: u.Spec().StartedAt,
			Left: min(s.fleet.WarmupLeft(now, u), maxLimitAge), Age: min(max(now.Sub(u.WarmupStatedAt()), 0), maxLimitAge),
		})
	}
	return dst
}

// ApplyWarmupReports applies what another entry reports of the warm-up of upstreams. Reports of
// upstreams that this entry does not know are skipped. If one is invalid, none is applied,
// and the error satisfies errors.Is(err, errors.NotValid).
func (f *Forwarder) ApplyWarmupReports(from string, reports []WarmupReport) error {
	for i := range reports {
		if err := reports[i].check(); err != nil {
			return err
		}
	}
	now := time.Now()
	changed := make(map[*service][]*placer.Upstream)
	for _, r := range reports {
		f.mu.Lock()
		s := f.services[r.Service]
		f.mu.Unlock()
		if s == nil {
			continue
		}
		s.mu.Lock()
		u := s.fleet.ApplyWarmupReport(now, r.Upstream, r.StartedAt, r.Left, now.Add(-r.Age))
		s.mu.Unlock()
		if u != nil {
			s.logWarmup(f.options, u, r.Left, sourcePeer, "from", from, "age_ms", r.Age.Milliseconds())
			changed[s] = append(changed[s], u)
		}
	}
	for s, upstreams := range changed {
		s.updateWarmupFractions(f.options, now, upstreams)
	}
	return nil
}
