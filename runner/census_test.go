package runner

import (
	"testing"
	"time"

	"poplarwind/announcer"
)

// TestCensus counts only entries that serve callers, and has strong ones carry
// what weak ones could not.
func TestCensus(t *testing.T) {
	now := time.Unix(1000, 0)
	live := []announcer.Member{
		{Name: "a1", Domain: "a", Power: 48, Ready: true},
		{Name: "a2", Domain: "a", Power: 48, Ready: true, Load: 90},
		{Name: "a3", Domain: "a", Power: 240, Ready: true, Load: 200},
		{Name: "a4", Domain: "a", Power: 240},
		{Name: "b1", Domain: "b", Power: 48, Ready: true},
	}
	c := newCensus(now, "a1", live)
	if len(c.all) != 4 {
		t.Errorf("got: %d entries want: 4", len(c.all))
	}
	got := c.in("s", "a")
	if len(got) != 3 || got[0].Name != "a3" {
		t.Errorf("got: %+v want: all three that serve, a3 first", got)
	}
	live[1].Load = 0
	if got := newCensus(now, "a1", live).in("s", "a"); len(got) != perDomain || got[0].Name != "a3" {
		t.Errorf("got: %+v want: %d, a3 first", got, perDomain)
	}
	if got := c.in("s", "z"); len(got) != 0 {
		t.Errorf("got: %+v want: none in a domain without entries", got)
	}
}

// TestPower takes the scarcer of processor and link, and nothing that is untold.
func TestPower(t *testing.T) {
	for _, v := range []struct{ cores, link, want float64 }{
		{0.5, 1000, 150}, {0.5, 10, 60}, {0.5, 0, 150}, {0, 10, 60}, {0, 0, 0},
	} {
		if got := power(v.cores, v.link); got != v.want {
			t.Errorf("power(%v, %v): got: %v want: %v", v.cores, v.link, got, v.want)
		}
	}
}

// TestGauge follows a burst within a second, and holds through a lull.
func TestGauge(t *testing.T) {
	var g gauge
	now, count := time.Unix(1000, 0), int64(0)
	play := func(rate float64, beats int) float64 {
		for range beats {
			now = now.Add(500 * time.Millisecond)
			count += int64(rate / 2)
			g.step(now, count)
		}
		return g.rate
	}
	if got := play(100, 20); got < 95 || got > 100 {
		t.Errorf("got: %.1f want: about 100", got)
	}
	if got := play(300, 2); got < 220 {
		t.Errorf("a burst, after a second: got: %.1f want: most of 300", got)
	}
	if got := play(0, 4); got < 120 {
		t.Errorf("a lull of two seconds: got: %.1f want: over 120", got)
	}
	if got := play(0, 100); got > 1 {
		t.Errorf("after a minute without: got: %.1f want: none", got)
	}
}
