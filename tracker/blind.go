package tracker

import (
	"maps"
	"slices"
	"time"

	"poplarwind/announcer"
)

// seeing returns the live entries but those that lost the store.
func (t *Tracker) seeing(now time.Time) []announcer.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(t.live(), func(m announcer.Member) bool { return now.Before(t.blind[m.Name]) })
}

// hide takes in how much longer entries are passed over.
func (t *Tracker) hide(blind map[string]time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, d := range blind {
		if until := now.Add(min(d, blindTime)); until.After(t.blind[name]) {
			t.blind[name] = until
		}
	}
}

// hidden returns how much longer entries are passed over, and forgets those
// that no longer are.
func (t *Tracker) hidden(now time.Time) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.blind, func(_ string, until time.Time) bool { return !now.Before(until) })
	out := make(map[string]time.Duration, len(t.blind))
	for name, until := range t.blind {
		out[name] = until.Sub(now)
	}
	return out
}

// tellPlan returns whom to tell: an entry that lost the store just now still
// tells those that it did, so that they look to another one.
func (t *Tracker) tellPlan(blind map[string]time.Duration) []announcer.Member {
	if _, ok := blind[t.self]; ok {
		return MakePlan(t.self, t.live()).Tell
	}
	return t.plan().Tell
}
