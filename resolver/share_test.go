package resolver

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"poplarwind/announcer"
)

// TestShare hands out the questions for an upstream: never more than all of
// them, and where failure domains have like loads all of them.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		per := rapid.IntRange(1, 6).Draw(t, "entries")
		var all []announcer.Member
		for d := range domains {
			for i := range per {
				m := announcer.Member{Name: fmt.Sprint(d, i), Domain: fmt.Sprint(d), Load: float64(10 * i)}
				all = append(all, m)
			}
		}
		sum := 0.0
		for _, m := range all {
			near, far := Share(m, all)
			if m.Domain == "0" {
				sum += near
			} else {
				sum += far
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("got: parts that add up to %v want: 1", sum)
		}
	})
}

// TestShareByLoad gives an entry whose failure domain has most of the load more
// questions than an even split would.
func TestShareByLoad(t *testing.T) {
	var all []announcer.Member
	for i, load := range []float64{10, 10, 10, 10, 60, 60} {
		all = append(all, announcer.Member{Name: fmt.Sprint(i), Domain: fmt.Sprint(i / 2), Load: load})
	}
	_, quiet := Share(all[0], all)
	near, busy := Share(all[4], all)
	if busy < 2.5*quiet || near < busy {
		t.Errorf("got: %.3f and %.3f of the busy entry, %.3f of a quiet one want: far more, near ones most", near, busy, quiet)
	}
	if near, far := Share(announcer.Member{Domain: "z"}, nil); near != 1 || far != 1 {
		t.Errorf("got: %v, %v of an entry alone want: all", near, far)
	}
}
