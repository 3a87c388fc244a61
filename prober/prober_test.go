package prober

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
)

// TestBudgetHolds asks a budget at any times: over the whole of them it pays
// for no more than its rate and one burst, in probes and in bytes.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 20).Draw(t, "rate")
		bytes := rapid.IntRange(0, 8192).Draw(t, "bytes")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 500), 1, 400).Draw(t, "gaps")
		b := NewBudget(rate, bytes)
		start := time.Unix(1000, 0)
		now, paid := start, 0
		for _, g := range gaps {
			now = now.Add(time.Duration(g) * time.Millisecond)
			b.Resize(now, rate, bytes)
			if b.Pay(now) {
				paid++
			}
		}
		span := now.Sub(start).Seconds()
		if limit := rate*span + max(1, rate); float64(paid) > limit+1e-6 {
			t.Fatalf("probes: got: %d want: at most %.2f", paid, limit)
		}
		if limit := float64(bytes)*span + float64(max(bytes, cost)); float64(paid*cost) > limit+1e-6 {
			t.Fatalf("bytes: got: %d want: at most %.2f", paid*cost, limit)
		}
		if (rate == 0 || bytes == 0) && paid > 0 {
			t.Fatalf("got: %d probes want: none without a budget", paid)
		}
	})
}

// TestPartsOfAnyViews lets any of the listed entries believe that it is to
// probe, whatever the others believe: together they spend at most the budget,
// and all of it if all do.
func TestPartsOfAnyViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := rapid.IntRange(1, 60).Draw(t, "listed")
		carriers := rapid.IntRange(1, 8).Draw(t, "carriers")
		sum, all := 0.0, true
		for rank := range listed {
			if rapid.Bool().Draw(t, "probes") {
				sum += Part(rank, carriers, listed)
			} else {
				all = false
			}
		}
		if sum > 1+1e-9 || all && sum < 1-1e-9 {
			t.Fatalf("parts: got: %.3f of the budget want: at most 1, or 1 of all", sum)
		}
		if Part(-1, carriers, listed) != 0 {
			t.Fatal("an entry that is not listed: got: a part want: none")
		}
	})
}
