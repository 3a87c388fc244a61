package forwarder

import (
	"testing"
	"time"

	"poplarwind/placer"
)

// TestAllowance hands out the repeats that don't grow with load: the entries
// that carry a service have most of them, and all entries together no more than
// there are, even when as many again take the carriers' place.
func TestAllowance(t *testing.T) {
	const entries, carriers, allowance = 140, 6, 218
	o := Options{Retries: Retries{Allowance: allowance, Window: 10 * time.Second}}
	spend := func(carries bool) int {
		o.Entries = func(string) Entries {
			return Entries{All: entries, Carriers: carriers, Carries: carries, Questions: [placer.Scopes]float64{1, 1}}
		}
		s := &service{name: "s", works: make(map[string]*placer.Work)}
		now := time.Unix(1000, 0)
		s.configure(o, "r", now)
		n := 0
		for s.ration.Spend(now) {
			n++
		}
		return n
	}
	mine, others := spend(true), spend(false)
	if mine < allowance/carriers/4 {
		t.Errorf("got: %d repeats of a carrier want: a quarter of its part of %d at least", mine, allowance)
	}
	if all := 2*carriers*mine + entries*others; all > allowance {
		t.Errorf("got: %d repeats of all want: at most %d", all, allowance)
	}
}
