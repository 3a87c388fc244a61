package placer

import "time"

// pauseState is what an entry knows of the pause that an upstream has asked it for.
type pauseState struct {
	// until is the end of the pause, zero if there was none.
	until time.Time
	// sent counts the requests sent during pauses.
	sent int64
}

// Paused reports whether the upstream has asked this entry for a pause that has not ended.
func (u *Upstream) Paused(now time.Time) bool { return now.Before(u.pause.until) }

// PauseEnd returns the end of the last pause that the upstream has asked for, zero if
// there was none.
func (u *Upstream) PauseEnd() time.Time { return u.pause.until }

// SentWhilePaused returns the number of requests sent to the upstream during pauses.
func (u *Upstream) SentWhilePaused() int64 { return u.pause.sent }

// RecordPause records that the upstream asks this entry for a pause. It reports whether a
// pause begins: there was none, or it had ended.
func (f *Fleet) RecordPause(now time.Time, u *Upstream, pause time.Duration) bool {
	begins := pause > 0 && !u.Paused(now)
	if until := now.Add(pause); until.After(u.pause.until) {
		u.pause.until = until
	}
	return begins
}
