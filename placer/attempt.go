package placer

import "time"

//go:generate go tool stringer -type=Result -linecomment -output=result_string.go

// Result is the outcome of a request at an upstream.
type Result int

// The outcomes of a request at an upstream.
const (
	// Answered means a complete response that indicates no fault.
	Answered Result = iota // answered
	// Failed means a response that indicates a fault, or no complete response.
	Failed // failed
	// Refused means that the upstream did not run the request.
	Refused // refused
	// Abandoned means that this entry abandoned the request.
	Abandoned // dropped
)

// ServiceTime tracks the duration of requests of one kind at an upstream of
// typical speed. Its zero value has no measurement.
type ServiceTime struct{ avgDuration time.Duration }

// Average returns the moving average, or 0 before the first response.
func (s *ServiceTime) Average() time.Duration { return s.avgDuration }

// Attempt is one request at one upstream.
type Attempt struct {
	upstream  *Upstream
	startedAt time.Time
	// slowness and saturated are the state of the upstream at the start of
	// the attempt, which determines the duration of the whole request.
	slowness  float64
	saturated bool
}

// Upstream returns the upstream that the request was sent to.
func (a *Attempt) Upstream() *Upstream { return a.upstream }

// StartedAt returns when the attempt was started.
func (a *Attempt) StartedAt() time.Time { return a.startedAt }

// Prospect returns the attempt that Start would return, without recording it.
func (f *Fleet) Prospect(now time.Time, u *Upstream) *Attempt {
	return &Attempt{upstream: u, startedAt: now, slowness: u.slowness(now), saturated: u.saturated(now)}
}

// Start records a request that is sent to the upstream.
func (f *Fleet) Start(now time.Time, u *Upstream) *Attempt {
	a := f.Prospect(now, u)
	u.inFlight++
	if u.limit.stated.Limited {
		u.limit.take(now, f.randFloat())
	}
	f.takeWarmupToken(now, u)
	u.process.pause.start(now)
	return a
}

// ExpectedDuration returns how long an attempt is expected to take for requests of a
// kind, 0 if it is unknown.
func (f *Fleet) ExpectedDuration(a *Attempt, serviceTime *ServiceTime) time.Duration {
	factor := max(a.slowness, 1)
	if a.saturated {
		factor *= max(f.saturationFactor, 1)
	}
	return time.Duration(factor * float64(serviceTime.Average()))
}

// Finish records the end of a request. If the request was answered, it updates
// serviceTime, the average for requests of its kind.
func (f *Fleet) Finish(now time.Time, a *Attempt, r Result, serviceTime *ServiceTime) {
	u := a.upstream
	u.inFlight--
	if r != Abandoned {
		u.process.pause.finish(a.startedAt)
	}
	switch r {
	case Answered:
		u.consecutiveFailures, u.consecutiveEjections = 0, 0
		u.recordOutcome(now, false)
		f.recordDuration(a, now.Sub(a.startedAt), serviceTime)
	case Failed:
		u.consecutiveFailures++
		u.recordOutcome(now, true)
		f.ejectIfFailing(now, u)
	case Refused:
		f.recordRejection(now, u)
	}
}

// recordRejection marks an upstream that did not run a request as full, unless a
// recent report shows free slots: then the rejection has another reason, and the
// next request may succeed.
func (f *Fleet) recordRejection(now time.Time, u *Upstream) {
	if now.Sub(u.report.At) < rejectionReportTTL && u.load(now) < float64(u.Slots()) {
		return
	}
	u.report.Running = max(u.report.Running, u.Slots())
	u.report.At, u.inFlightAtReport = now, u.inFlight
}

// rejectionReportTTL is the age up to which a report can contradict a rejection.
const rejectionReportTTL = 100 * time.Millisecond

const (
	// ewmaWeight is the weight of one response in moving averages.
	ewmaWeight = 1.0 / 16
	// maxSaturationFactor bounds one sample of the saturation factor.
	maxSaturationFactor = 3
)

// recordDuration updates the average latency with the duration of an answered
// request. It also updates the service time or, if the upstream was saturated,
// the saturation factor; for these, the duration is first divided by the slowness
// at the start of the attempt.
func (f *Fleet) recordDuration(a *Attempt, took time.Duration, serviceTime *ServiceTime) {
	f.avgLatency = ewma(f.avgLatency, took)
	normalized := time.Duration(float64(took) / max(a.slowness, 1))
	if !a.saturated {
		serviceTime.avgDuration = ewma(serviceTime.avgDuration, normalized)
		return
	}
	if serviceTime.avgDuration == 0 {
		return
	}
	ratio := min(max(float64(normalized)/float64(serviceTime.avgDuration), 0), maxSaturationFactor)
	if f.saturationFactor == 0 {
		f.saturationFactor = 1
	}
	f.saturationFactor += ewmaWeight * (ratio - f.saturationFactor)
}

func ewma(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(ewmaWeight*float64(sample-old))
}

// RecordProbeFailure records an unanswered load probe of an upstream.
func (f *Fleet) RecordProbeFailure(now time.Time, u *Upstream) {
	u.unansweredProbes++
	if u.unansweredProbes >= maxUnansweredProbes {
		f.eject(now, u)
	}
}

const (
	// maxFailures is the number of consecutive failures that eject an upstream.
	// Three in a row are unlikely at a failure rate of one in ten requests.
	maxFailures = 3
	// maxUnansweredProbes is the number of consecutive unanswered probes that
	// eject an upstream.
	maxUnansweredProbes = 2
	// baseEjection is the duration of the first ejection; each further one
	// doubles it up to maxEjection.
	baseEjection = 1 * time.Second
	maxEjection  = 8 * time.Second
	// minUsableFraction is the fraction of the upstreams that ejection must leave
	// usable.
	minUsableFraction = 0.5
)

func (f *Fleet) ejectIfFailing(now time.Time, u *Upstream) {
	if u.consecutiveFailures >= maxFailures || u.consecutiveEjections > 0 {
		f.eject(now, u)
	}
}

// eject ejects an upstream unless too few others are usable.
func (f *Fleet) eject(now time.Time, u *Upstream) {
	usable, all := 0, 0
	for _, v := range f.upstreams {
		if !v.evacuated {
			all++
		}
		if v != u && v.Usable(now) {
			usable++
		}
	}
	if float64(usable) < minUsableFraction*float64(all) {
		return
	}
	u.ejectedUntil = now.Add(min(baseEjection<<min(u.consecutiveEjections, 3), maxEjection))
	u.consecutiveEjections++
	u.consecutiveFailures, u.unansweredProbes = 0, 0
}
