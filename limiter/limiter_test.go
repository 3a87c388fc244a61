package limiter

import (
	"testing"

	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
)

// TestQuotaBounds admits and releases calls of teams in random order: the total
// stays within the capacity, and a team below its reservation is never rejected,
// however full the entry is.
func TestQuotaBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(4, 64).Draw(t, "capacity")
		q := NewQuotas(capacity)
		q.SetTeams(3)
		inFlight := make(map[string]int)
		total := 0
		team, burst := "", 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if burst--; burst <= 0 {
				team = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
				burst = rapid.IntRange(1, capacity).Draw(t, "burst")
			}
			if rapid.IntRange(0, 9).Draw(t, "action") == 0 && inFlight[team] > 0 {
				q.Release(team)
				inFlight[team]--
				total--
				continue
			}
			err := q.Admit(team, capacity, 1)
			if err == nil {
				inFlight[team]++
				total++
			}
			if err != nil && inFlight[team] < q.Reserved() {
				t.Fatalf("%s holds %d of %d reserved: got: %v want: admitted", team, inFlight[team], q.Reserved(), err)
			}
			if total > capacity || total != q.InFlight() {
				t.Fatalf("in flight: got: %d, %d want: at most %d, equal", total, q.InFlight(), capacity)
			}
		}
	})
}

// TestBudgetRatio spends tokens between calls in random order: additional work
// stays within its ratio of calls.
func TestBudgetRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		var b TokenBudget
		calls, spent := 0, 0
		for _, call := range rapid.SliceOfN(rapid.Bool(), 1, 500).Draw(t, "calls") {
			if call {
				calls++
				b.Earn(ratio)
			} else if b.Spend() {
				spent++
			}
		}
		if float64(spent) > ratio*float64(calls)+1e-6 {
			t.Fatalf("spent: got: %d want: at most %.2f", spent, ratio*float64(calls))
		}
	})
}

// TestList compares a List with a slice under random operations.
func TestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l List[int]
		var want []*Node[int]
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(want) > 0 && rapid.Bool().Draw(t, "remove") {
				k := rapid.IntRange(0, len(want)-1).Draw(t, "index")
				if !l.Remove(want[k]) || l.Remove(want[k]) {
					t.Fatal("remove: got: not removed exactly once want: removed exactly once")
				}
				want = append(want[:k:k], want[k+1:]...)
			} else {
				n := &Node[int]{Value: i}
				l.Push(n)
				want = append(want, n)
			}
			k := 0
			for n := l.Front(); n != nil; n = n.Next() {
				if k >= len(want) || n != want[k] {
					t.Fatalf("node at index %d differs", k)
				}
				k++
			}
			if k != len(want) || l.Len() != k {
				t.Fatalf("length: got: %d, %d want: %d", k, l.Len(), len(want))
			}
		}
	})
}
