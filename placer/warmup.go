package placer

import "time"

// warmupState is what an entry knows of the warm-up of an upstream, and the part of its warm-up rate
// that the entry uses.
type warmupState struct {
	// until is the end of the warm-up, as stated at statedAt.
	until, statedAt time.Time
	// assumed is set while no load probe has confirmed this: a registration may be old, and an
	// upstream need not be cold after an evacuation.
	assumed bool
	// confirmedAt is when a response to a load probe last said whether the upstream is cold.
	confirmedAt time.Time
	// fraction is the fraction of the warm-up rate that this entry may use, and tokens the
	// number of requests that it may send as of tokensAt.
	fraction, tokens float64
	tokensAt         time.Time
	// sent counts the requests sent while the upstream was cold, the last of them at sentAt.
	sent   int64
	sentAt time.Time
	// unreported is set if other entries are to be told of the statement.
	unreported bool
}

// warmupConfirmTTL is the time after a load probe for which a request may be sent without a new one to
// an upstream of a service with a warm-up rate: the upstream may become cold at any moment. An
// upstream of 3 slots and 220 ms of work starts 7 to 9 requests in this time, about as many as
// operators tolerate beyond the rate.
const warmupConfirmTTL = 500 * time.Millisecond

// SetWarmup sets how long upstreams are cold after their start, and the requests per second that a
// cold one tolerates from all entries together. At rate 0 no upstream counts as cold.
func (f *Fleet) SetWarmup(rate float64, duration time.Duration) {
	f.warmupRate, f.warmupTime = rate, duration
}

// WarmupRate returns the requests per second that a cold upstream tolerates, 0 if there is no limit.
func (f *Fleet) WarmupRate() float64 { return f.warmupRate }

// IsCold reports whether the upstream is cold and its service has a warm-up rate.
func (f *Fleet) IsCold(now time.Time, u *Upstream) bool {
	return f.warmupRate > 0 && now.Before(u.warmup.until)
}

// WarmupLeft returns how much longer the upstream is cold, 0 if it is not.
func (f *Fleet) WarmupLeft(now time.Time, u *Upstream) time.Duration {
	if !f.IsCold(now, u) {
		return 0
	}
	return u.warmup.until.Sub(now)
}

// WarmupFraction returns the fraction of the warm-up rate that this entry may use.
func (u *Upstream) WarmupFraction() float64 { return u.warmup.fraction }

// SentWhileCold returns the number of requests sent to the upstream while it was cold.
func (u *Upstream) SentWhileCold() int64 { return u.warmup.sent }

// warmupPortion returns the requests per second that this entry may send to the upstream while it is cold.
func (f *Fleet) warmupPortion(u *Upstream) float64 {
	return limitUtilization * u.warmup.fraction * f.warmupRate
}

// warmupTokens returns the number of requests that may be sent to a cold upstream now.
func (f *Fleet) warmupTokens(now time.Time, u *Upstream) float64 {
	w := &u.warmup
	if w.fraction == 0 {
		return 0
	}
	rate := f.warmupPortion(u)
	return min(max(1, rate*limitBurstTime.Seconds()), w.tokens+rate*now.Sub(w.tokensAt).Seconds())
}

// warmupAllows reports whether the warm-up of the upstream allows a request now. The end of a warm-up
// is known, so that no trials are needed as for rate limits.
func (f *Fleet) warmupAllows(now time.Time, u *Upstream) bool {
	return !f.IsCold(now, u) || f.warmupTokens(now, u) >= 1
}

// takeWarmupToken takes the token for a request to a cold upstream.
func (f *Fleet) takeWarmupToken(now time.Time, u *Upstream) {
	if f.IsCold(now, u) {
		u.warmup.tokens, u.warmup.tokensAt = max(0, f.warmupTokens(now, u)-1), now
		u.warmup.sent++
		u.warmup.sentAt = now
	}
}

// warmupConfirmed reports whether a request may be sent to the upstream without a load probe as
// far as its warm-up is concerned.
func (f *Fleet) warmupConfirmed(now time.Time, u *Upstream) bool {
	return f.warmupRate == 0 || now.Sub(u.warmup.confirmedAt) <= warmupConfirmTTL
}

// setWarmup replaces the end of the warm-up of an upstream as stated at a time. It reports whether
// the upstream has become cold or has ceased to be. An entry that learns of a warm-up has no
// fraction of the rate yet.
func (f *Fleet) setWarmup(now time.Time, u *Upstream, left time.Duration, statedAt time.Time) bool {
	w := &u.warmup
	was := now.Before(w.until)
	w.until, w.statedAt, w.assumed = now.Add(left), statedAt, false
	if left > 0 && !was {
		w.fraction, w.tokens, w.tokensAt, w.sent, w.sentAt = 0, initialWarmupTokens, now, 0, time.Time{}
	}
	return (left > 0) != was && f.warmupRate > 0
}

// RecordWarmup records that the response to a load probe that was sent at sentAt says how much longer
// the upstream is cold, 0 if it is not, unless something newer is known. It reports whether
// the upstream has become cold or has ceased to be; other entries are then to be told.
func (f *Fleet) RecordWarmup(now time.Time, u *Upstream, left time.Duration, sentAt time.Time) bool {
	statedAt := now
	if left <= 0 {
		// The upstream may have become cold since.
		left, statedAt = 0, sentAt
	}
	if statedAt.Before(u.warmup.statedAt) {
		return false
	}
	u.warmup.confirmedAt = now
	changed := f.setWarmup(now, u, left, statedAt)
	if changed {
		u.warmup.unreported = true
	}
	return changed
}

// ApplyWarmupReport records what another entry reports of the warm-up of an upstream, unless something
// newer is known: how much longer it is cold, as stated at a time. The process of the upstream
// must have been started at startedAt. It returns the upstream if it has become cold or has
// ceased to be.
func (f *Fleet) ApplyWarmupReport(now time.Time, id string, startedAt int64, left time.Duration, statedAt time.Time) *Upstream {
	u := f.Find(id)
	if u == nil || u.spec.StartedAt != startedAt || !statedAt.After(u.warmup.statedAt) || !f.setWarmup(now, u, left, statedAt) {
		return nil
	}
	return u
}

// registrationAge is the age that a registration may have when it arrives: it is written with the
// heartbeats of the upstream, 2 s apart, and read within a second.
const registrationAge = 3 * time.Second

// registerWarmup records the warm-up that the registration of an upstream states, unless a load probe
// was answered since it may have been written. One that states none does not end a warm-up
// for the same reason.
func (f *Fleet) registerWarmup(now time.Time, u *Upstream, left time.Duration) {
	w := &u.warmup
	if !w.assumed && now.Sub(w.statedAt) < registrationAge || now.Sub(w.confirmedAt) < registrationAge {
		return
	}
	if left > 0 && now.Add(left).After(w.until) {
		f.assumeWarmup(now, u, left)
	}
}

// assumeWarmup records that an upstream counts as cold until a load probe says otherwise.
func (f *Fleet) assumeWarmup(now time.Time, u *Upstream, left time.Duration) {
	f.setWarmup(now, u, left, now)
	u.warmup.assumed = true
}

// mayWarm reports whether a load probe may show that the upstream, which counts as cold, is not.
func (f *Fleet) mayWarm(now time.Time, u *Upstream) bool { return f.IsCold(now, u) && u.warmup.assumed }

// probeable reports whether a load probe may precede a request to the upstream. That holds for one
// that is assumed to be cold, too, whether or not it may be sent requests.
func (f *Fleet) probeable(now time.Time, u *Upstream) bool {
	return f.available(now, u) || f.mayWarm(now, u) && u.Usable(now) && u.limit.allows(now) && u.process.pause.allows(now)
}

// assumedColdCost is the cost added for an upstream that is probed although it may get no requests, so
// that those that may come first.
const assumedColdCost = 10

// TakeUnreportedWarmups appends to dst the upstreams of whose warm-up other entries are to be told,
// and counts them as reported.
func (f *Fleet) TakeUnreportedWarmups(dst []*Upstream) []*Upstream {
	for _, u := range f.upstreams {
		if u.warmup.unreported {
			u.warmup.unreported = false
			dst = append(dst, u)
		}
	}
	return dst
}

// WarmupStatedAt returns when it was stated how long the upstream is cold.
func (u *Upstream) WarmupStatedAt() time.Time { return u.warmup.statedAt }

// Cold appends to dst the cold upstreams.
func (f *Fleet) Cold(dst []*Upstream, now time.Time) []*Upstream {
	for _, u := range f.upstreams {
		if f.IsCold(now, u) {
			dst = append(dst, u)
		}
	}
	return dst
}

// SetWarmupFraction sets the fraction of the warm-up rate of the upstream that this entry may use, in
// [0, 1]. Without a fraction tokens are kept and don't accumulate, so that an entry gains none
// by losing its fraction and having it again.
func (f *Fleet) SetWarmupFraction(now time.Time, u *Upstream, fraction float64) {
	w := &u.warmup
	if w.fraction > 0 {
		w.tokens = f.warmupTokens(now, u)
	}
	w.tokensAt, w.fraction = now, fraction
}

const (
	// initialWarmupTokens is the number of tokens that an entry has when an upstream becomes
	// cold. With a whole one, all entries that take themselves for owners would send at
	// once; with none, an upstream that tolerates one request in two seconds would get
	// the first one too late.
	initialWarmupTokens = 0.5
	// warmupTrialInterval is how often an entry with a fraction of the warm-up rate prefers a cold
	// upstream to warm ones, and warmupTrialDiscount the cost that it then deducts, which
	// is that of slow start. Without it a new upstream gets no request while others have
	// free slots; it must get some within 4 s.
	warmupTrialInterval = 2 * time.Second
	warmupTrialDiscount = 2
)

// WarmupTrialDue reports whether a request to the cold upstream is due.
func (f *Fleet) WarmupTrialDue(now time.Time, u *Upstream) bool {
	return f.IsCold(now, u) && now.Sub(u.warmup.sentAt) >= warmupTrialInterval && f.warmupTokens(now, u) >= 1
}
