package modeler

import (
	"testing"
	"time"
)

const span = 12 * time.Second

// checkNearOracle checks that at any load the fraction of requests that the
// product's policy answers within the objective is at most 0.05 below that of
// Oracle.
func checkNearOracle(t *testing.T, s Shape) {
	for _, utilization := range []float64{0.5, 0.85, 1, 1.2, 1.7} {
		got, limit := Run(s, Probe, utilization, 1, span), Run(s, Oracle, utilization, 1, span)
		t.Logf("%s %.2f: in time %.3f of %.3f, served %.3f of %.3f, p99 %v of %v, %.1f probes",
			s.Name, utilization, got.InTime, limit.InTime, got.Served, limit.Served, got.P99, limit.P99, got.Probes)
		if got.InTime < limit.InTime-0.05 {
			t.Errorf("%s at %.2f: got: %.3f in time want: within 0.05 of %.3f", s.Name, utilization, got.InTime, limit.InTime)
		}
	}
}

func TestNearTruthCoastline(t *testing.T) { checkNearOracle(t, Coastline) }

func TestNearTruthKalame(t *testing.T) { checkNearOracle(t, Kalame) }

// TestHalfOfLeastProbed checks that the p99 of the product's policy is at most
// half of that of Least.
func TestHalfOfLeastProbed(t *testing.T) {
	for _, s := range []Shape{Coastline, Kalame} {
		got, least := Run(s, Probe, 0.85, 1, span), Run(s, Least, 0.85, 1, span)
		t.Logf("%s: p99 %v, least %v; in time %.3f, least %.3f", s.Name, got.P99, least.P99, got.InTime, least.InTime)
		if 2*got.P99 > least.P99 {
			t.Errorf("%s: p99: got: %v want: at most half of %v", s.Name, got.P99, least.P99)
		}
	}
}

// TestDeterministic checks that two runs with the same seed give the same result.
func TestDeterministic(t *testing.T) {
	if a, b := Run(Kalame, Probe, 0.85, 3, span), Run(Kalame, Probe, 0.85, 3, span); a != b {
		t.Errorf("got: %+v want: %+v", b, a)
	}
}
