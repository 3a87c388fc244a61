package resolver

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"poplarwind/announcer"
)

// TestCarry takes the carriers of a failure domain whose entries differ in
// power: the strong ones first, enough of them for what the domain gets, and no
// more than that.
func TestCarry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []announcer.Member
		demand := rapid.Float64Range(0, 4000).Draw(t, "demand")
		for i := range rapid.IntRange(0, 30).Draw(t, "entries") {
			m := announcer.Member{Name: fmt.Sprint("e", i), Power: rapid.SampledFrom([]float64{48, 96, 240}).Draw(t, "power")}
			all = append(all, m)
		}
		least := rapid.IntRange(1, 4).Draw(t, "least")
		got := Carry("s", all, demand, least)
		if len(got) < min(least, len(all)) {
			t.Fatalf("got: %d carriers want: at least %d of %d", len(got), least, len(all))
		}
		power := 0.0
		for i, m := range got {
			if i >= least && power >= demand {
				t.Fatalf("got: %d carriers want: %d with power %v for %v", len(got), i, power, demand)
			}
			if i > 0 && m.Power > got[i-1].Power {
				t.Fatalf("place %d: got: power %v behind %v want: the strong first", i, m.Power, got[i-1].Power)
			}
			power += m.Power
		}
		if power < demand && len(got) < len(all) {
			t.Fatalf("got: %d carriers with power %v for %v want: more of %d", len(got), power, demand, len(all))
		}
		again := Carry("s", rapid.Permutation(all).Draw(t, "order"), demand, least)
		for i := range got {
			if again[i].Name != got[i].Name {
				t.Fatalf("place %d: got: %s want: %s, whatever the order of the list", i, again[i].Name, got[i].Name)
			}
		}
	})
}

// TestCarryUntold gives entries whose power is untold all there is: a demand
// that can't be compared with anything asks for no more of them.
func TestCarryUntold(t *testing.T) {
	all := members(9)
	if got := Carry("s", all, 9000, 2); len(got) != 2 {
		t.Errorf("got: %d carriers want: 2", len(got))
	}
	all[4].Power = 10
	for i, m := range Carry("s", all, 9000, 9) {
		if want := i == 8; want != (m.Power > 0) {
			t.Errorf("place %d: got: power %v want: what is told behind what is not", i, m.Power)
		}
	}
}
