package resolver

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"poplarwind/announcer"
)

// TestProbeQuota checks that the quotas of all entries for the load probes of an
// upstream add up to 1 where failure domains have equal loads.
func TestProbeQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		entries := rapid.IntRange(1, 6).Draw(t, "entries")
		var all []announcer.Member
		for d := range domains {
			for i := range entries {
				m := announcer.Member{Name: fmt.Sprint(d, i), Domain: fmt.Sprint(d), Load: float64(10 * i)}
				all = append(all, m)
			}
		}
		sum := 0.0
		for _, m := range all {
			local, remote := ProbeQuota(m, all)
			if m.Domain == "0" {
				sum += local
			} else {
				sum += remote
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("got: quotas that add up to %v want: 1", sum)
		}
	})
}

// TestProbeQuotaByLoad checks that an entry whose failure domain has most of the
// load has a much larger quota of load probes than an entry with little load, and
// that an entry alone has the whole quota.
func TestProbeQuotaByLoad(t *testing.T) {
	var all []announcer.Member
	for i, load := range []float64{10, 10, 10, 10, 60, 60} {
		all = append(all, announcer.Member{Name: fmt.Sprint(i), Domain: fmt.Sprint(i / 2), Load: load})
	}
	_, low := ProbeQuota(all[0], all)
	local, high := ProbeQuota(all[4], all)
	if high < 2.5*low || local < high {
		t.Errorf("got: %.3f and %.3f for the entry with high load, %.3f for one with low load want: much more, most in its own domain", local, high, low)
	}
	if local, remote := ProbeQuota(announcer.Member{Domain: "z"}, nil); local != 1 || remote != 1 {
		t.Errorf("got: %v, %v for a single entry want: 1, 1", local, remote)
	}
}
