package prober

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
)

// TestBudgetLimit charges a budget at arbitrary times and checks that in total it
// allows no more than its rate and one burst, in probes and in bytes.
func TestBudgetLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 20).Draw(t, "rate")
		bytes := rapid.IntRange(0, 8192).Draw(t, "bytes")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 500), 1, 400).Draw(t, "gaps")
		b := NewBudget(rate, bytes)
		start := time.Unix(1000, 0)
		now, allowed := start, 0
		for _, g := range gaps {
			now = now.Add(time.Duration(g) * time.Millisecond)
			b.Resize(now, rate, bytes)
			if b.Allow(now) {
				allowed++
			}
		}
		span := now.Sub(start).Seconds()
		if limit := rate*span + max(1, rate); float64(allowed) > limit+1e-6 {
			t.Fatalf("probes: got: %d want: at most %.2f", allowed, limit)
		}
		if limit := float64(bytes)*span + float64(max(bytes, probeCostBytes)); float64(allowed*probeCostBytes) > limit+1e-6 {
			t.Fatalf("bytes: got: %d want: at most %.2f", allowed*probeCostBytes, limit)
		}
		if (rate == 0 || bytes == 0) && allowed > 0 {
			t.Fatalf("got: %d probes want: none without a budget", allowed)
		}
	})
}

// TestBudgetFractionDivergentViews lets an arbitrary subset of the listed entries
// probe, as when their views of the membership differ, and checks that together
// they spend at most the budget, and all of it if all entries probe.
func TestBudgetFractionDivergentViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := rapid.IntRange(1, 60).Draw(t, "listed")
		primaries := rapid.IntRange(1, 8).Draw(t, "carriers")
		sum, all := 0.0, true
		for rank := range listed {
			if rapid.Bool().Draw(t, "probes") {
				sum += BudgetFraction(rank, primaries, listed)
			} else {
				all = false
			}
		}
		if sum > 1+1e-9 || all && sum < 1-1e-9 {
			t.Fatalf("sum of fractions: got: %.3f of the budget want: at most 1, and 1 if all entries probe", sum)
		}
		if BudgetFraction(-1, primaries, listed) != 0 {
			t.Fatal("an entry that is not listed: got: a fraction above 0 want: 0")
		}
	})
}
