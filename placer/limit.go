package placer

import (
	"math"
	"time"
)

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
	// heardAt is when this entry last heard of the limit or sent a trial, and
	// trialJitter, in [0, 1), the random part of the time until the next trial.
	heardAt     time.Time
	trialJitter float64
	// entries is the number of entries that may send trials.
	entries int
	// unreported reports whether other entries are to be told of the limit;
	// reportedAt is when they last were, and changedAt when the limit last changed.
	unreported            bool
	reportedAt, changedAt time.Time
	// toAll reports whether the last report was for all entries, not only for those
	// assigned to the service; toAllAt is when one was.
	toAll   bool
	toAllAt time.Time
}

const (
	// limitUtilization is the fraction of a rate limit that all entries together
	// use. The margin is for entries that disagree on their fractions while the set
	// of entries changes.
	limitUtilization = 0.9
	// limitBurstTime is the time for which unused tokens accumulate. At least one
	// token does.
	limitBurstTime = 250 * time.Millisecond
	// limitTrialDelay is the time without news of a limit after which an entry sends
	// one request in spite of it, as a trial, plus up to the same time again at random:
	// the limit may have been lifted. Entries without a fraction of the limit expect to
	// be told by those that have one. They wait for trialDelayPerEntry for each entry in
	// addition, so that the trials of all of them stay rare.
	limitTrialDelay    = 10 * time.Second
	trialDelayPerEntry = time.Second
	// limitRefreshInterval is how often other entries are told of an unchanged
	// limit, and of a lifted one for liftReportTime. It is well below
	// limitTrialDelay.
	limitRefreshInterval = 2 * time.Second
	liftReportTime       = 5 * time.Second
	// limitToAllInterval is how often entries that are not assigned to the service are
	// told of an unchanged limit. They are told of a lifted one at once, since they send
	// no requests that would show it.
	limitToAllInterval = 15 * time.Second
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
	return !l.stated.Limited || l.tokensLeft(now) >= 1 || now.Sub(l.heardAt) >= l.trialDelay()
}

// trialDelay returns the time without news of the limit after which a trial is allowed.
func (l *limitState) trialDelay() time.Duration {
	delay := limitTrialDelay
	if l.fraction == 0 {
		delay += time.Duration(l.entries) * trialDelayPerEntry
	}
	return delay + time.Duration(l.trialJitter*float64(delay))
}

// take takes the token for a request. The jitter is that of the next trial.
func (l *limitState) take(now time.Time, jitter float64) {
	l.settle(now)
	l.tokens = max(0, l.tokens-1)
	l.heardAt, l.trialJitter = now, jitter
	l.sent++
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
		l.heardAt, l.trialJitter = now, f.randFloat()
	}
	return changed
}

// SetLimitFraction sets the fraction of the upstream's rate limit that this entry may
// use, in [0, 1], and the number of entries. An entry that had no fraction starts
// without tokens, and its trial is not due: those that had one may just have sent.
func (f *Fleet) SetLimitFraction(now time.Time, u *Upstream, fraction float64, entries int) {
	l := &u.limit
	l.settle(now)
	if l.fraction == 0 && fraction > 0 {
		l.heardAt = now
	}
	l.fraction, l.entries = fraction, entries
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
// of, and counts them as reported now. Entries with a fraction of a limit are the ones
// that tell all entries.
func (f *Fleet) TakeUnreported(dst []*Upstream, now time.Time) []*Upstream {
	for _, u := range f.upstreams {
		if u.limit.unreported {
			l := &u.limit
			l.unreported, l.reportedAt = false, now
			l.toAll = l.fraction > 0 && (!l.stated.Limited || now.Sub(l.toAllAt) >= limitToAllInterval)
			if l.toAll {
				l.toAllAt = now
			}
			dst = append(dst, u)
		}
	}
	return dst
}

// Withheld reports whether all usable upstreams state rate limits, or are cold, and this entry
// has no fraction of their rates, so that it can send requests to none of them.
func (f *Fleet) Withheld(now time.Time) bool {
	withheld := false
	for _, u := range f.upstreams {
		if !u.Usable(now) {
			continue
		}
		if (u.limit.fraction > 0 || u.limit.allows(now)) && (!f.IsCold(now, u) || u.warmup.assumed || u.warmup.fraction > 0) {
			return false
		}
		withheld = true
	}
	return withheld
}

// LimitedSlots returns the number of slots that this entry can keep busy at the usable
// upstreams that state a rate limit or are cold: by Little's law, its rate times the time that
// a request takes.
func (f *Fleet) LimitedSlots(now time.Time) float64 {
	slots := 0.0
	for _, u := range f.upstreams {
		limited, cold := u.limit.stated.Limited, f.IsCold(now, u)
		if !limited && !cold || !u.Usable(now) {
			continue
		}
		rate := math.Inf(1)
		if limited {
			rate = u.limit.rate()
		}
		if cold {
			rate = min(rate, f.warmupPortion(u))
		}
		slots += min(float64(u.Slots()), rate*f.avgLatency.Seconds())
	}
	return slots
}
