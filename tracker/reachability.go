package tracker

import (
	"maps"
	"slices"
	"time"

	"poplarwind/announcer"
)

// storeReachable returns the live entries without those that are marked as
// unable to reach the store.
func (t *Tracker) storeReachable(now time.Time) []announcer.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := t.live()
	if len(t.unreachable) == 0 {
		return live
	}
	return slices.DeleteFunc(slices.Clone(live), func(m announcer.Member) bool { return now.Before(t.unreachable[m.Name]) })
}

// minMarkExtension is the least time by which a mark is extended. The remaining
// duration in an update becomes inaccurate by the time that the update takes.
const minMarkExtension = 200 * time.Millisecond

// markUnreachable marks entries as unable to reach the store for the given
// durations, each limited to unreachableTTL. It never shortens a mark. It reports
// whether a mark is new or was extended.
func (t *Tracker) markUnreachable(entries map[string]time.Duration) bool {
	now := time.Now()
	extended := false
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, d := range entries {
		if until := now.Add(min(d, unreachableTTL)); until.Sub(t.unreachable[name]) > minMarkExtension {
			t.unreachable[name], extended = until, true
		}
	}
	if extended {
		t.cachedAt = time.Time{}
	}
	return extended
}

// unreachableEntries returns the remaining duration of each mark and deletes
// expired marks.
func (t *Tracker) unreachableEntries(now time.Time) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.unreachable, func(_ string, until time.Time) bool { return !now.Before(until) })
	out := make(map[string]time.Duration, len(t.unreachable))
	for name, until := range t.unreachable {
		out[name] = until.Sub(now)
	}
	return out
}

// recipients returns the entries to send updates to. An entry that is itself
// marked unreachable still sends to the recipients that it would have without
// any marks, so that they switch to another watching entry.
func (t *Tracker) recipients(unreachable map[string]time.Duration) []announcer.Member {
	if _, ok := unreachable[t.self]; ok {
		return RoleOf(t.self, t.live()).Recipients
	}
	role := t.role(time.Now())
	if t.takeDeputizing() {
		return role.Deputed
	}
	return role.Recipients
}
