package forwarder

import (
	"testing"
	"time"

	"poplarwind/placer"
)

// TestRetryAllowance checks how the load-independent retry allowance is
// divided: assigned entries get most of it, and all entries together do not
// exceed it, even when as many entries again replace the assigned ones.
func TestRetryAllowance(t *testing.T) {
	const entries, assigned, allowance = 140, 6, 218
	o := Options{RetryBudget: RetryBudget{Allowance: allowance, Window: 10 * time.Second}}
	spend := func(isAssigned bool) int {
		o.Entries = func(string) EntrySet {
			return EntrySet{Total: entries, Assigned: assigned, IsAssigned: isAssigned, ProbeFraction: [placer.Scopes]float64{1, 1}}
		}
		s := &service{name: "s", serviceTimes: make(map[string]*placer.ServiceTime)}
		now := time.Unix(1000, 0)
		s.admit(o, "r", now)
		n := 0
		for s.retryBudget.Spend(now) {
			n++
		}
		return n
	}
	assignedRetries, otherRetries := spend(true), spend(false)
	if assignedRetries < allowance/assigned/4 {
		t.Errorf("got: %d retries by an assigned entry want: at least a quarter of its fair share of %d", assignedRetries, allowance)
	}
	if total := 2*assigned*assignedRetries + entries*otherRetries; total > allowance {
		t.Errorf("got: %d retries by all entries want: at most %d", total, allowance)
	}
}
