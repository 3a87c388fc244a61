package placer

import "time"

const (
	// hedgeReportAge is the age up to which a report counts as that of a fresh load probe. It
	// covers a round of probes.
	hedgeReportAge = 100 * time.Millisecond
	// loadReportAge is the age up to which reports say how busy a service is. An entry probes
	// a few upstreams for nearly every request.
	loadReportAge = 2 * time.Second
)

// TakenFraction returns the fraction of the slots of usable upstreams that are taken according
// to their last reports. Those without a recent report are left out; without any, all slots
// count as taken.
func (f *Fleet) TakenFraction(now time.Time) float64 {
	slots, taken := 0, 0
	for _, u := range f.upstreams {
		if u.Usable(now) && !u.limit.stated.Limited && !u.report.At.IsZero() && now.Sub(u.report.At) <= loadReportAge {
			slots, taken = slots+u.Slots(), taken+u.reportedLoad()
		}
	}
	if slots == 0 {
		return 1
	}
	return float64(taken) / float64(slots)
}

// MayHedge reports whether a second attempt of a request may be sent to the upstream if a load
// probe says that it is free: it is not rate-limited, paused, after a pause, cold, leaving or
// failing.
func (f *Fleet) MayHedge(now time.Time, u *Upstream) bool {
	return f.available(now, u) && !f.IsCold(now, u) && !u.limit.stated.Limited && u.process.pause.until.IsZero() && !now.Before(u.warmUntil) &&
		u.process.departure == Staying && u.recentFailureRate(now) < maxTypicalFailureRate
}

// SelectHedge returns the upstream of the lowest cost among those probed that a second attempt
// may be sent to: it has just reported that it is free and of typical speed. It returns nil if
// there is none.
func (f *Fleet) SelectHedge(now time.Time, probed []*Upstream) *Upstream {
	var best *Upstream
	lowest := 0.0
	for _, u := range probed {
		if !f.MayHedge(now, u) || !f.Ideal(now, u) || !u.hasRoom(now) || now.Sub(u.report.At) > hedgeReportAge {
			continue
		}
		if c := f.effectiveCost(now, u); best == nil || c < lowest {
			best, lowest = u, c
		}
	}
	return best
}

// FinishLost records the end of a request that was cancelled because a second attempt at another
// upstream has won. That a request took longer than elsewhere is no failure; but an upstream that
// loses several in a row, without any response in between, may hang, and is ejected. FinishLost
// reports whether it is.
func (f *Fleet) FinishLost(now time.Time, a *Attempt) bool {
	u := a.upstream
	u.inFlight--
	u.consecutiveFailures++
	ejected := u.Ejected(now)
	f.ejectIfFailing(now, u)
	return !ejected && u.Ejected(now)
}

// ExpectedAt returns how long a request that is sent to the upstream now is expected to take, 0
// if it is unknown.
func (f *Fleet) ExpectedAt(now time.Time, u *Upstream, serviceTime *ServiceTime) time.Duration {
	return time.Duration(f.Cost(now, u) * float64(serviceTime.Average()))
}
