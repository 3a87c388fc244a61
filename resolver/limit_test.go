package resolver

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"poplarwind/announcer"
)

// TestLimitOwners selects the owners of rate limits. There are few of them for a low
// limit, entries with load and of the upstream's failure domain come first, the order of
// the members does not matter, and a member that leaves moves only its own limits.
func TestLimitOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []announcer.Member
		for i := range rapid.IntRange(1, 30).Draw(t, "entries") {
			all = append(all, announcer.Member{Name: fmt.Sprint("e", i), Domain: fmt.Sprint(i % 3), Load: float64(rapid.IntRange(0, 2).Draw(t, "load"))})
		}
		rate := rapid.Float64Range(0, 40).Draw(t, "rate")
		owners := LimitOwners("u", "1", all, rate)
		if n := len(owners); n < 1 || float64(n) > 1+rate {
			t.Fatalf("got: %d owners of a limit of %v want: 1 to %v", n, rate, 1+rate)
		}
		for i, m := range owners[1:] {
			before := owners[i]
			if before.Load == 0 && m.Load > 0 || (before.Load > 0) == (m.Load > 0) && before.Domain != "1" && m.Domain == "1" {
				t.Fatalf("got: %+v before %+v want: entries with load, then those of the domain", before, m)
			}
		}
		names := func(list []announcer.Member) (out []string) {
			for _, m := range list {
				out = append(out, m.Name)
			}
			return out
		}
		if again := LimitOwners("u", "1", rapid.Permutation(all).Draw(t, "order"), rate); !slices.Equal(names(again), names(owners)) {
			t.Fatalf("got: %v want: %v, regardless of the order of the members", names(again), names(owners))
		}
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		rest := LimitOwners("u", "1", slices.Delete(slices.Clone(all), gone, gone+1), rate)
		moved := 0
		for _, name := range names(rest) {
			if !slices.Contains(names(owners), name) {
				moved++
			}
		}
		if moved > 1 {
			t.Fatalf("got: %d new owners after one member left want: at most 1", moved)
		}
	})
}
