package resolver

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"poplarwind/announcer"
)

// TestAssign assigns a service to entries of a failure domain that differ in
// capacity: entries of higher capacity come first, and there are as many as the
// demand needs and no more, regardless of the order of the members.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []announcer.Member
		demand := rapid.Float64Range(0, 4000).Draw(t, "demand")
		for i := range rapid.IntRange(0, 30).Draw(t, "entries") {
			m := announcer.Member{Name: fmt.Sprint("e", i), Capacity: rapid.SampledFrom([]float64{48, 96, 240}).Draw(t, "capacity")}
			all = append(all, m)
		}
		minEntries := rapid.IntRange(1, 4).Draw(t, "minEntries")
		got := Assign("s", all, demand, minEntries)
		if len(got) < min(minEntries, len(all)) {
			t.Fatalf("got: %d assigned entries want: at least %d of %d", len(got), minEntries, len(all))
		}
		capacity := 0.0
		for i, m := range got {
			if i >= minEntries && capacity >= demand {
				t.Fatalf("got: %d assigned entries want: %d with capacity %v for %v", len(got), i, capacity, demand)
			}
			if i > 0 && m.Capacity > got[i-1].Capacity {
				t.Fatalf("position %d: got: capacity %v after %v want: descending capacity", i, m.Capacity, got[i-1].Capacity)
			}
			capacity += m.Capacity
		}
		if capacity < demand && len(got) < len(all) {
			t.Fatalf("got: %d assigned entries with capacity %v for %v want: more of %d", len(got), capacity, demand, len(all))
		}
		again := Assign("s", rapid.Permutation(all).Draw(t, "order"), demand, minEntries)
		for i := range got {
			if again[i].Name != got[i].Name {
				t.Fatalf("position %d: got: %s want: %s, regardless of the order of the members", i, again[i].Name, got[i].Name)
			}
		}
	})
}

// TestAssignUnreportedCapacity assigns a service to entries with an unreported
// capacity, which counts as enough for any demand: no entries beyond the
// requested minimum are assigned, and reported capacities rank last.
func TestAssignUnreportedCapacity(t *testing.T) {
	all := members(9)
	if got := Assign("s", all, 9000, 2); len(got) != 2 {
		t.Errorf("got: %d assigned entries want: 2", len(got))
	}
	all[4].Capacity = 10
	for i, m := range Assign("s", all, 9000, 9) {
		if want := i == 8; want != (m.Capacity > 0) {
			t.Errorf("position %d: got: capacity %v want: reported capacities after unreported ones", i, m.Capacity)
		}
	}
}
