package placer

import "time"

// RateLimit is the rate of requests that an upstream accepts from all entries
// together, according to its responses.
type RateLimit struct {
	// Rate is the limit in requests per second, at least 0. It is valid if Limited
	// is set.
	Rate    float64
	Limited bool
	// At is when the upstream was last known to state this. A response that states a
	// limit counts from when it was received, and one that states none from when its
	// request was sent: the upstream may have stated a limit in between.
	At time.Time
}

// same reports whether both state the same limit, at whatever time.
func (l RateLimit) same(other RateLimit) bool {
	return l.Limited == other.Limited && (!l.Limited || l.Rate == other.Rate)
}

// limitState is what an entry knows of an upstream's rate limit and uses of it.
type limitState struct {
	stated RateLimit
	// sent counts the requests sent since the upstream states a limit.
	sent int64
	// fraction is the fraction of the limit that this entry may use, and tokens the
	// number of requests that it may send as of tokensAt.
	fraction, tokens float64
	tokensAt         time.Time
	// trialAt is when a request may be sent without a token, because nothing was
	// heard of the limit for a long time: it may have been lifted.
	trialAt time.Time
	// unreported reports whether other entries are to be told of the limit;
	// reportedAt is when they last were, and changedAt when the limit last changed.
	unreported            bool
	reportedAt, changedAt time.Time
}

const (
	// limitUtilization is the fraction of a rate limit that all entries together
	// use. The margin is for entries that disagree on their fractions while the set
	// of entries changes.
	limitUtilization = 0.9
	// limitBurstTime is the time for which unused tokens accumulate. At least one
	// token does.
	limitBurstTime = 250 * time.Millisecond
	// limitTrialDelay is the time without news of a limit after which an entry
	// sends one request in spite of it, plus up to the same time again at random.
	limitTrialDelay = 10 * time.Second
	// limitRefreshInterval is how often other entries are told of an unchanged
	// limit, and of a lifted one for liftReportTime. It is well below
	// limitTrialDelay.
	limitRefreshInterval = 2 * time.Second
	liftReportTime       = 5 * time.Second
)

// rate returns the rate of requests per second that this entry may send.
func (l *limitState) rate() float64 { return limitUtilization * l.fraction * l.stated.Rate }

// tokensLeft returns the number of tokens available now.
func (l *limitState) tokensLeft(now time.Time) float64 {
	if l.fraction == 0 {
		return 0
	}
	rate := l.rate()
	return min(max(1, rate*limitBurstTime.Seconds()), l.tokens+rate*now.Sub(l.tokensAt).Seconds())
}

// settle updates the tokens before the rate changes.
func (l *limitState) settle(now time.Time) { l.tokens, l.tokensAt = l.tokensLeft(now), now }

// allows reports whether a request may be sent now.
func (l *limitState) allows(now time.Time) bool {
	return !l.stated.Limited || l.tokensLeft(now) >= 1 || !now.Before(l.trialAt)
}

// take takes the token for a request. The next trial is possible after delay.
func (l *limitState) take(now time.Time, delay time.Duration) {
	l.settle(now)
	l.tokens = max(0, l.tokens-1)
	l.trialAt = now.Add(delay)
	l.sent++
}

// trialDelay returns the time until the next trial.
func (f *Fleet) trialDelay() time.Duration {
	return limitTrialDelay + time.Duration(f.randFloat()*float64(limitTrialDelay))
}

// RecordLimit records what a response of the upstream to this entry states about its
// rate limit, unless something newer is known. It reports whether the limit has
// changed.
func (f *Fleet) RecordLimit(now time.Time, u *Upstream, stated RateLimit) bool {
	l := &u.limit
	if stated.At.Before(l.stated.At) {
		return false
	}
	changed := f.updateLimit(now, u, stated)
	recent := stated.Limited || !l.changedAt.IsZero() && now.Sub(l.changedAt) < liftReportTime
	if changed || recent && now.Sub(l.reportedAt) >= limitRefreshInterval {
		l.unreported = true
	}
	return changed
}

// ApplyLimitReport records the rate limit of an upstream that another entry reports,
// unless something newer is known. The process of the upstream must have been started
// at startedAt, as in its service discovery record. It returns the upstream if its limit
// has changed.
func (f *Fleet) ApplyLimitReport(now time.Time, id string, startedAt int64, stated RateLimit) *Upstream {
	u := f.Find(id)
	if u == nil || u.spec.StartedAt != startedAt || !stated.At.After(u.limit.stated.At) || !f.updateLimit(now, u, stated) {
		return nil
	}
	return u
}

// updateLimit replaces the limit of an upstream and reports whether it has changed. An
// entry that learns of a limit has no fraction of it yet.
func (f *Fleet) updateLimit(now time.Time, u *Upstream, stated RateLimit) bool {
	l := &u.limit
	changed := !stated.same(l.stated)
	if stated.Limited && !l.stated.Limited {
		l.fraction, l.sent = 0, 0
	}
	if changed {
		l.settle(now)
		l.changedAt = now
	}
	l.stated = stated
	if stated.Limited {
		l.trialAt = now.Add(f.trialDelay())
	}
	return changed
}

// SetLimitFraction sets the fraction of the upstream's rate limit that this entry may
// use, in [0, 1]. An entry that had none starts without tokens: those that had one may
// just have used it.
func (f *Fleet) SetLimitFraction(now time.Time, u *Upstream, fraction float64) {
	u.limit.settle(now)
	u.limit.fraction = fraction
}

// Limited appends to dst the upstreams that state a rate limit.
func (f *Fleet) Limited(dst []*Upstream) []*Upstream {
	for _, u := range f.upstreams {
		if u.limit.stated.Limited {
			dst = append(dst, u)
		}
	}
	return dst
}

// TakeUnreported appends to dst the upstreams whose limits other entries are to be told
// of, and counts them as reported now.
func (f *Fleet) TakeUnreported(dst []*Upstream, now time.Time) []*Upstream {
	for _, u := range f.upstreams {
		if u.limit.unreported {
			u.limit.unreported, u.limit.reportedAt = false, now
			dst = append(dst, u)
		}
	}
	return dst
}

// Withheld reports whether all usable upstreams state rate limits of which this entry
// has no fraction, so that it can send requests to none of them.
func (f *Fleet) Withheld(now time.Time) bool {
	withheld := false
	for _, u := range f.upstreams {
		if !u.Usable(now) {
			continue
		}
		if u.limit.fraction > 0 || u.limit.allows(now) {
			return false
		}
		withheld = true
	}
	return withheld
}

// LimitedSlots returns the number of slots that this entry can keep busy at the usable
// upstreams that state a rate limit: by Little's law, its rate times the time that a
// request takes.
func (f *Fleet) LimitedSlots(now time.Time) float64 {
	slots := 0.0
	for _, u := range f.upstreams {
		if u.limit.stated.Limited && u.Usable(now) {
			slots += min(float64(u.Slots()), u.limit.rate()*f.avgLatency.Seconds())
		}
	}
	return slots
}
