package resolver

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"poplarwind/announcer"
	_ "poplarwind/internal/seeder"
)

func members(n int) []announcer.Member {
	out := make([]announcer.Member, 0, n)
	for i := range n {
		out = append(out, announcer.Member{Name: fmt.Sprintf("e%02d", i), Domain: string(rune('a' + i%3))})
	}
	return out
}

// TestRank ranks entries for services: each entry occurs once, the subset spans
// the failure domains, the order of the input does not matter, and the loss of
// an entry outside the subset does not change the subset.
func TestRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(1, 30).Draw(t, "entries"))
		want := rapid.IntRange(0, 5).Draw(t, "want")
		service := rapid.StringMatching(`/[a-z]{1,8}/[a-z]{1,8}`).Draw(t, "service")
		ranked, subsetSize := Rank(service, all, want)
		if subsetSize != min(want, len(all)) || len(ranked) != len(all) {
			t.Fatalf("got: %d of %d want: %d of %d", subsetSize, len(ranked), min(want, len(all)), len(all))
		}
		seen, domains := map[string]bool{}, map[string]bool{}
		for i, m := range ranked {
			seen[m.Name] = true
			if i < subsetSize {
				domains[m.Domain] = true
			}
		}
		if len(seen) != len(all) || len(domains) < min(subsetSize, 3, len(all)) {
			t.Fatalf("entries: got: %d in %d domains want: %d in %d", len(seen), len(domains), len(all), min(subsetSize, 3, len(all)))
		}
		again, _ := Rank(service, rapid.Permutation(all).Draw(t, "order"), want)
		for i := range ranked {
			if again[i].Name != ranked[i].Name {
				t.Fatalf("position %d: got: %s want: %s", i, again[i].Name, ranked[i].Name)
			}
		}
		if subsetSize < len(ranked) {
			removed := ranked[rapid.IntRange(subsetSize, len(ranked)-1).Draw(t, "removed")].Name
			var remaining []announcer.Member
			for _, m := range all {
				if m.Name != removed {
					remaining = append(remaining, m)
				}
			}
			after, n := Rank(service, remaining, want)
			for i := range n {
				if after[i].Name != ranked[i].Name {
					t.Fatalf("without %s: position %d: got: %s want: %s", removed, i, after[i].Name, ranked[i].Name)
				}
			}
		}
	})
}

// TestBalance ranks many services: no entry is in the subsets of more than twice
// its fair share of services, and each owner has between half and twice its fair
// share of servers.
func TestBalance(t *testing.T) {
	all := members(17)
	inSubset, owned := map[string]int{}, map[string]int{}
	for i := range 130 {
		ranked, n := Rank(fmt.Sprintf("/team%d/service", i), all, 2)
		for _, m := range ranked[:n] {
			inSubset[m.Name]++
		}
	}
	for i := range 1000 {
		owned[Owner(fmt.Sprint("server", i), all)]++
	}
	for _, m := range all {
		if fair := 130 * 2 / 17; inSubset[m.Name] > 2*fair {
			t.Errorf("%s: in the subset of: got: %d services want: at most %d", m.Name, inSubset[m.Name], 2*fair)
		}
		if fair := 1000 / 17; owned[m.Name] > 2*fair || owned[m.Name] < fair/2 {
			t.Errorf("%s: owns: got: %d servers want: about %d", m.Name, owned[m.Name], fair)
		}
	}
}

// TestSubsetSize checks that SubsetSize grows with the demand of a service.
func TestSubsetSize(t *testing.T) {
	for _, v := range []struct {
		minEntries      int
		calls, capacity float64
		want            int
	}{{2, 0, 2000, 2}, {2, 3999, 2000, 2}, {2, 4001, 2000, 3}, {3, 100, 2000, 3}, {1, 20000, 2000, 10}, {2, 1e9, 0, 2}} {
		if got := SubsetSize(v.minEntries, v.calls, v.capacity); got != v.want {
			t.Errorf("SubsetSize(%d, %v, %v): got: %d want: %d", v.minEntries, v.calls, v.capacity, got, v.want)
		}
	}
}
