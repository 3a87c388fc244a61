package placer

import "time"

const (
	// pauseJitter is the greatest fraction by which a pause is prolonged, at random, so
	// that the trials of many entries do not coincide.
	pauseJitter = 0.1
	// pauseTrialTime is how long after a pause further requests wait for the response to
	// the first one, which may ask for another pause. Rejections come at once.
	pauseTrialTime = 250 * time.Millisecond
)

// pauseState is what an entry knows of the pause that an upstream has asked it for.
type pauseState struct {
	// until is the end of the pause, zero if there was none or a request that was sent
	// after it has ended.
	until time.Time
	// trialAt is when the first request after the pause was sent, zero if there was none.
	trialAt time.Time
	// sent counts the requests sent during pauses.
	sent int64
}

// allows reports whether a request may be sent now: none during the pause, and one as a
// trial after it.
func (p *pauseState) allows(now time.Time) bool {
	switch {
	case p.until.IsZero():
		return true
	case now.Before(p.until):
		return false
	default:
		return p.trialAt.IsZero() || now.Sub(p.trialAt) >= pauseTrialTime
	}
}

// start records a request that is sent now.
func (p *pauseState) start(now time.Time) {
	switch {
	case p.until.IsZero():
	case now.Before(p.until):
		p.sent++
	case p.trialAt.IsZero():
		p.trialAt = now
	}
}

// finish records the end of a request that was sent at startedAt.
func (p *pauseState) finish(startedAt time.Time) {
	if !p.until.IsZero() && !startedAt.Before(p.until) {
		p.until, p.trialAt = time.Time{}, time.Time{}
	}
}

// Paused reports whether the upstream has asked this entry for a pause that has not ended.
func (u *Upstream) Paused(now time.Time) bool { return now.Before(u.process.pause.until) }

// PauseEnd returns the end of the last pause that the upstream has asked for, zero if
// there was none or requests are sent again.
func (u *Upstream) PauseEnd() time.Time { return u.process.pause.until }

// SentWhilePaused returns the number of requests sent to the upstream during pauses.
func (u *Upstream) SentWhilePaused() int64 { return u.process.pause.sent }

// RecordPause records that the upstream asks this entry for a pause. A pause never ends
// earlier than it was asked for before. RecordPause reports whether a pause begins: there
// was none, or it had ended.
func (f *Fleet) RecordPause(now time.Time, u *Upstream, pause time.Duration) bool {
	if pause <= 0 {
		return false
	}
	begins := !u.Paused(now)
	if until := now.Add(pause + time.Duration(pauseJitter*f.randFloat()*float64(pause))); until.After(u.process.pause.until) {
		u.process.pause.until, u.process.pause.trialAt = until, time.Time{}
	}
	return begins
}

// PauseLeft returns the time until the first upstream may be usable again, if none is
// because of pauses. It reports false if an upstream is usable, or none is paused.
func (f *Fleet) PauseLeft(now time.Time) (time.Duration, bool) {
	var end time.Time
	paused := false
	for _, u := range f.upstreams {
		if u.departed() || u.evacuated {
			continue
		}
		if u.Usable(now) {
			return 0, false
		}
		paused = paused || u.Paused(now)
		usableAt := u.ejectedUntil
		if u.process.pause.until.After(usableAt) {
			usableAt = u.process.pause.until
		}
		if end.IsZero() || usableAt.Before(end) {
			end = usableAt
		}
	}
	return end.Sub(now), paused
}
