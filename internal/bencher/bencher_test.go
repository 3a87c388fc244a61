package bencher

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// medians runs a policy with three seeds and returns the median of each
// measurement.
func medians(s Shape, policy string, utilization float64) Result {
	var results [3]Result
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			results[i] = Run(Trial{Shape: s, Policy: policy, Utilization: utilization, WorkSigma: 0.5, Seed: uint64(i + 1), Duration: 20 * time.Second})
		})
	}
	wg.Wait()
	median := func(value func(Result) float64) float64 {
		v := []float64{value(results[0]), value(results[1]), value(results[2])}
		slices.Sort(v)
		return v[1]
	}
	return Result{
		P99:           median(func(r Result) float64 { return r.P99 }),
		P999:          median(func(r Result) float64 { return r.P999 }),
		NonBulkOnTime: median(func(r Result) float64 { return r.NonBulkOnTime }),
		ExtraAttempts: median(func(r Result) float64 { return r.ExtraAttempts }),
		Goodput:       median(func(r Result) float64 { return r.Goodput }),
	}
}

var shapes = []Shape{Coastline, Kalame}

// TestLatencyNearOracle checks the users' long-term objective at 85% of capacity:
// the product's p99 is within 1.25 times and its p99.9 within 1.5 times that of
// Oracle, with at most 5% of extra attempts.
func TestLatencyNearOracle(t *testing.T) {
	for _, s := range shapes {
		product, oracle := medians(s, "product", 0.85), medians(s, "truth", 0.85)
		if product.P99 > 1.25*oracle.P99 || product.P999 > 1.5*oracle.P999 {
			t.Errorf("%s: got: p99 %.1f, p99.9 %.1f want: within 1.25 of %.1f, 1.5 of %.1f", s.Name, product.P99, product.P999, oracle.P99, oracle.P999)
		}
		if product.ExtraAttempts > 0.05 {
			t.Errorf("%s: extra attempts: got: %.4f want: at most 0.05", s.Name, product.ExtraAttempts)
		}
	}
}

// TestOverload offers 1.2 times the capacity: urgent and normal calls still meet
// their deadlines, and goodput does not collapse.
func TestOverload(t *testing.T) {
	for _, s := range shapes {
		full, over := medians(s, "product", 0.95), medians(s, "product", 1.2)
		if over.NonBulkOnTime < 0.99 {
			t.Errorf("%s: fraction of urgent and normal calls on time: got: %.4f want: at least 0.99", s.Name, over.NonBulkOnTime)
		}
		if over.Goodput < 0.95*full.Goodput {
			t.Errorf("%s: calls on time per second: got: %.0f want: at least 0.95 of %.0f", s.Name, over.Goodput, full.Goodput)
		}
	}
}

// TestHalfOfLeast checks that the product's p99 is at most half of that of the
// policy least, by which every entry picks the server with the fewest of its own
// calls in flight.
func TestHalfOfLeast(t *testing.T) {
	for _, s := range shapes {
		product, least := medians(s, "product", 0.85), medians(s, "least", 0.85)
		if product.P99 > 0.5*least.P99 {
			t.Errorf("%s: p99: got: %.1f ms want: at most half of %.1f ms", s.Name, product.P99, least.P99)
		}
	}
}

// TestDeterministic checks that two runs of one trial give the same result.
func TestDeterministic(t *testing.T) {
	trial := Trial{Shape: Coastline, Policy: "product", Utilization: 0.85, WorkSigma: 0.5, Seed: 9, Duration: 5 * time.Second, Faults: true}
	a, b := Run(trial), Run(trial)
	a.Hist, a.bulk, b.Hist, b.bulk = nil, nil, nil, nil
	if a != b {
		t.Errorf("got: %+v want: %+v", b, a)
	}
}
