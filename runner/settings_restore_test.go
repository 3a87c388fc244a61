package runner

import (
	"fmt"
	"testing"
)

// slotsInForce returns the slots of a service according to the settings in force at
// each entry, 0 without settings.
func (b *testbed) slotsInForce(path string) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []int
	for _, e := range b.entries {
		slots := 0
		if s := e.runner.cache.Snapshot().Service(path); s != nil {
			slots = s.Slots()
		}
		out = append(out, slots)
	}
	return out
}

// awaitSlots waits until all entries have settings with the given slots in force. No
// entry may have any with fewer meanwhile, but those that have just started.
func (b *testbed) awaitSlots(path string, want, least int) {
	b.t.Helper()
	eventually(b.t, fmt.Sprintf("%d slots in force at all entries", want), propagationLimit, func() bool {
		all := true
		for _, got := range b.slotsInForce(path) {
			if got != 0 && got < least {
				b.t.Fatalf("settings reverted: got: %d slots want: at least %d", got, least)
			}
			all = all && got == want
		}
		return all
	})
}

// TestSettingsAfterStoreRestored restores the store from a copy that lacks its last
// writes. The settings in force must stay, also at entries that start later, and later
// changes must come into force everywhere, although they get versions that were given
// out before.
func TestSettingsAfterStoreRestored(t *testing.T) {
	for _, lost := range []int{0, 1, 2, 4} {
		t.Run(fmt.Sprint(lost, " lost"), func(t *testing.T) {
			b := newTestbed(t)
			b.applySettings("/t/other", doc(1))
			for slots := range 3 {
				b.applySettings("/t/s", doc(1+slots))
			}
			for i := range 19 {
				b.startEntry(fmt.Sprintf("e%02d", i), string(rune('a'+i%3)))
			}
			defer b.stopEntries()
			b.awaitSlots("/t/s", 3, 1)
			b.platform.Restore(lost)
			b.startEntry("later", "b")
			b.awaitSlots("/t/s", 3, 3-lost)
			for slots := 4; slots < 8; slots++ {
				b.applySettings("/t/s", doc(slots))
				b.awaitSlots("/t/s", slots, 3)
			}
		})
	}
}
