package placer

import (
	"math"
	"time"
)

// Spec is the service discovery record of an upstream.
type Spec struct {
	// ID identifies the upstream; it may be kept across restarts.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Addr is an IP address and a port.
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	// Version is the version of the upstream's software.
	Version string `json:"version,omitempty"`
	// Slots is the number of requests that it runs concurrently, at least 1.
	Slots int `json:"slots"`
	// Draining is set while the upstream drains and accepts no new requests.
	Draining bool `json:"leaving,omitempty"`
	// Warmup is the remaining slow start time as of the record.
	Warmup time.Duration `json:"warmup,omitempty"`
	// StartedAt is the start time of its process in Unix milliseconds, 0 if
	// unknown.
	StartedAt int64 `json:"born,omitempty"`
}

// Report is a load report of an upstream.
type Report struct {
	// Running and Waiting count requests of all entries.
	Running, Waiting int
	// Slots is the number of requests run concurrently, 0 if not reported.
	Slots int
	// Slowness is the current duration of work relative to the typical one.
	Slowness float64
	// At is the time at which the report was received.
	At time.Time
}

// Upstream is one entry's view of an upstream.
type Upstream struct {
	spec Spec
	// inFlight counts this entry's requests in flight.
	inFlight int
	// report is the last report, with a zero At before the first one;
	// inFlightAtReport is the value of inFlight when it was received.
	report           Report
	inFlightAtReport int
	limit            limitState
	process          processState
	warmup           warmupState
	// evacuated is set while the failure domain of the upstream is evacuated.
	evacuated bool
	// consecutiveFailures counts failed requests since the last success.
	consecutiveFailures int
	// failureRate is the moving average of failed requests as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// ejectedUntil is the end of the current or last ejection;
	// consecutiveEjections counts ejections since the last success.
	ejectedUntil         time.Time
	consecutiveEjections int
	// warmUntil is the end of slow start.
	warmUntil time.Time
	// removed is set when the upstream was removed or its address was taken over
	// by another one.
	removed bool
	// probeTokens is the number of load probes available as of probeTokensAt.
	probeTokens   float64
	probeTokensAt time.Time
	// unansweredProbes counts unanswered probes since the last report.
	unansweredProbes int
}

// Spec returns the service discovery record.
func (u *Upstream) Spec() Spec { return u.spec }

// ID returns the identifier from the service discovery record.
func (u *Upstream) ID() string { return u.spec.ID }

// Addr returns the address to connect to.
func (u *Upstream) Addr() string { return u.spec.Addr }

// InFlight returns the number of this entry's requests in flight.
func (u *Upstream) InFlight() int { return u.inFlight }

// Slots returns the number of requests that the upstream runs concurrently.
func (u *Upstream) Slots() int { return max(1, u.spec.Slots) }

// Report returns the last report, with a zero At if there was none.
func (u *Upstream) Report() Report { return u.report }

// RateLimit returns the rate limit that the upstream stated last.
func (u *Upstream) RateLimit() RateLimit { return u.limit.stated }

// SentWhileLimited returns the number of requests sent to the upstream since it
// states a rate limit.
func (u *Upstream) SentWhileLimited() int64 { return u.limit.sent }

// LimitToAll reports whether the report of the limit that was taken last is for all
// entries, not only for those assigned to the service.
func (u *Upstream) LimitToAll() bool { return u.limit.toAll }

// LimitFraction returns the fraction of its rate limit that this entry may use.
func (u *Upstream) LimitFraction() float64 { return u.limit.fraction }

// Ejected reports whether the upstream is ejected after failures.
func (u *Upstream) Ejected(now time.Time) bool { return now.Before(u.ejectedUntil) }

// Usable reports whether requests may be sent to the upstream, within its rate limit.
func (u *Upstream) Usable(now time.Time) bool {
	return u.obstacle(now) == NoObstacle
}

// available reports whether a request may be sent to the upstream now.
func (f *Fleet) available(now time.Time, u *Upstream) bool {
	return f.obstacle(now, u) == NoObstacle
}

const (
	// failureWeight is the weight of one request in the failure rate.
	failureWeight = 0.2
	// failureHalfLife is the half-life of the failure rate. Without decay, the
	// rate of an upstream that gets no requests because of it would never fall.
	failureHalfLife = 2 * time.Second
	// failureCost is the cost of a failure rate of 1, relative to a request's
	// work: a failed request takes time and has to be sent again.
	failureCost = 4
)

// recentFailureRate returns the failure rate, decayed to now.
func (u *Upstream) recentFailureRate(now time.Time) float64 {
	if u.failureRate == 0 {
		return 0
	}
	return u.failureRate * math.Exp2(-float64(now.Sub(u.failureRateAt))/float64(failureHalfLife))
}

// recordOutcome updates the failure rate with the outcome of a request.
func (u *Upstream) recordOutcome(now time.Time, failed bool) {
	u.failureRate, u.failureRateAt = u.recentFailureRate(now)*(1-failureWeight), now
	if failed {
		u.failureRate += failureWeight
	}
}

const (
	// loadDecay is the age at which the reported load of other entries has
	// decayed to 0: about the duration of a request's work.
	loadDecay = 250 * time.Millisecond
	// slownessTTL is the age up to which a reported slowness is used: about the
	// duration of a slow phase.
	slownessTTL = 150 * time.Millisecond
)

// load estimates the number of requests of all entries at the upstream: this
// entry's requests in flight, and those of others according to the last report,
// weighted by its age.
func (u *Upstream) load(now time.Time) float64 {
	others := u.report.Running + u.report.Waiting - u.inFlightAtReport
	if u.report.At.IsZero() || others <= 0 {
		return float64(u.inFlight)
	}
	weight := 1 - float64(now.Sub(u.report.At))/float64(loadDecay)
	return float64(u.inFlight) + max(0, weight)*float64(others)
}

// reportedLoad returns the number of requests of all entries at the upstream,
// assuming that those of other entries have not changed since the last report.
// An upstream that never reported counts as full.
func (u *Upstream) reportedLoad() int {
	if u.report.At.IsZero() {
		return max(u.inFlight, u.Slots())
	}
	return u.inFlight + max(0, u.report.Running+u.report.Waiting-u.inFlightAtReport)
}

// slowness estimates the duration of work relative to the typical one.
func (u *Upstream) slowness(now time.Time) float64 {
	s := 1.0
	if !u.report.At.IsZero() && u.report.Slowness > 0 && now.Sub(u.report.At) < slownessTTL {
		s = u.report.Slowness
	}
	if now.Before(u.warmUntil) {
		s *= warmupSlowness
	}
	return s
}

// warmupSlowness is the factor by which work takes longer during slow start.
const warmupSlowness = 2

// probeBurst bounds the probes that may be sent at once. It allows bursts of
// requests to be probed while the average rate stays within the budget.
const probeBurst = 20

// takeProbeToken takes one probe from the budget of rate probes per second and
// reports whether one was left. A rate of 0 is unlimited.
func (u *Upstream) takeProbeToken(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	u.probeTokens, u.probeTokensAt = u.probeTokensLeft(now, rate), now
	if u.probeTokens < 1 {
		return false
	}
	u.probeTokens--
	return true
}

// probeTokensLeft returns the number of probes available now.
func (u *Upstream) probeTokensLeft(now time.Time, rate float64) float64 {
	if rate <= 0 || u.probeTokensAt.IsZero() {
		return probeBurst
	}
	return min(probeBurst, u.probeTokens+rate*now.Sub(u.probeTokensAt).Seconds())
}

// recordReport stores a report unless it is older than the last one.
func (u *Upstream) recordReport(r Report) {
	if r.At.Before(u.report.At) {
		return
	}
	u.report, u.inFlightAtReport = r, u.inFlight
	u.unansweredProbes = 0
}
