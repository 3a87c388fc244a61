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
	c := newCensus(now, "a1", live, nil)
	if len(c.all) != 4 {
		t.Errorf("got: %d entries want: 4", len(c.all))
	}
	got := c.in("s", "a")
	if len(got) != 3 || got[0].Name != "a3" {
		t.Errorf("got: %+v want: all three that serve, a3 first", got)
	}
	live[1].Load = 0
	if got := newCensus(now, "a1", live, nil).in("s", "a"); len(got) != perDomain || got[0].Name != "a3" {
		t.Errorf("got: %+v want: %d, a3 first", got, perDomain)
	}
	if got := c.in("s", "z"); len(got) != 0 {
		t.Errorf("got: %+v want: none in a domain without entries", got)
	}
}

// TestCensusRemembers loses the strong entry that carried most: weak ones take
// its place at once, as many as it takes, and fewer as the demand turns out to be
// gone.
func TestCensusRemembers(t *testing.T) {
	now := time.Unix(1000, 0)
	live := []announcer.Member{{Name: "strong", Domain: "a", Power: 240, Ready: true, Load: 200}}
	for _, name := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		live = append(live, announcer.Member{Name: name, Domain: "a", Power: 48, Ready: true})
	}
	c := newCensus(now, "w1", live, nil)
	if got := len(c.in("s", "a")); got != perDomain {
		t.Fatalf("got: %d carriers want: %d", got, perDomain)
	}
	now = now.Add(censusLife)
	c = newCensus(now, "w1", live[1:], c)
	if got := len(c.in("s", "a")); got < 4 {
		t.Errorf("got: %d weak carriers for what a strong one had want: 4 at least", got)
	}
	for range 100 {
		now = now.Add(censusLife)
		c = newCensus(now, "w1", live[1:], c)
	}
	if got := len(c.in("s", "a")); got != perDomain {
		t.Errorf("got: %d carriers of nothing want: %d", got, perDomain)
	}
}

// TestCensusAnswer answers the callers of a failure domain that has too few
// entries, too weak ones or none: with those of the others too.
func TestCensusAnswer(t *testing.T) {
	member := func(name, domain string, load float64) announcer.Member {
		return announcer.Member{Name: name, Domain: domain, Power: 48, Load: load, Ready: true}
	}
	for _, v := range []struct {
		name string
		live []announcer.Member
		want int
	}{
		{"enough", []announcer.Member{member("a1", "a", 40), member("a2", "a", 40), member("b1", "b", 0), member("b2", "b", 0)}, 2},
		{"one", []announcer.Member{member("a1", "a", 0), member("b1", "b", 0), member("b2", "b", 0)}, 3},
		{"too weak", []announcer.Member{member("a1", "a", 90), member("a2", "a", 90), member("b1", "b", 0), member("b2", "b", 0)}, 4},
		{"none", []announcer.Member{member("b1", "b", 0), member("c1", "c", 0)}, 2},
	} {
		c := newCensus(time.Unix(1000, 0), "a1", v.live, nil)
		if got := c.answer("s", "a"); len(got) != v.want {
			t.Errorf("%s: got: %+v want: %d entries", v.name, got, v.want)
		}
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
