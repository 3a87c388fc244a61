package runner

import (
	"testing"
	"time"

	"poplarwind/announcer"
)

// TestMembership checks that a snapshot counts only ready entries, and that
// entries of high capacity are assigned first, with more added until they meet
// the demand.
func TestMembership(t *testing.T) {
	now := time.Unix(1000, 0)
	live := []announcer.Member{
		{Name: "a1", Domain: "a", Capacity: 48, Ready: true},
		{Name: "a2", Domain: "a", Capacity: 48, Ready: true, Load: 90},
		{Name: "a3", Domain: "a", Capacity: 240, Ready: true, Load: 200},
		{Name: "a4", Domain: "a", Capacity: 240},
		{Name: "b1", Domain: "b", Capacity: 48, Ready: true},
	}
	snapshot := newMembership(now, "a1", live, nil)
	if len(snapshot.all) != 4 {
		t.Errorf("got: %d entries want: 4", len(snapshot.all))
	}
	got := snapshot.assigned("s", "a")
	if len(got) != 3 || got[0].Name != "a3" {
		t.Errorf("got: %+v want: all three ready entries, a3 first", got)
	}
	live[1].Load = 0
	if got := newMembership(now, "a1", live, nil).assigned("s", "a"); len(got) != minPerDomain || got[0].Name != "a3" {
		t.Errorf("got: %+v want: %d, a3 first", got, minPerDomain)
	}
	if got := snapshot.assigned("s", "z"); len(got) != 0 {
		t.Errorf("got: %+v want: none in a domain without entries", got)
	}
}

// TestMembershipKeepsDemand removes the entry that served most of the demand.
// Enough entries of lower capacity must replace it at once, although their
// heartbeats do not report the load yet, and fewer as the unreported demand
// decays.
func TestMembershipKeepsDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	live := []announcer.Member{{Name: "strong", Domain: "a", Capacity: 240, Ready: true, Load: 200}}
	for _, name := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		live = append(live, announcer.Member{Name: name, Domain: "a", Capacity: 48, Ready: true})
	}
	snapshot := newMembership(now, "w1", live, nil)
	if got := len(snapshot.assigned("s", "a")); got != minPerDomain {
		t.Fatalf("got: %d assigned entries want: %d", got, minPerDomain)
	}
	now = now.Add(membershipTTL)
	snapshot = newMembership(now, "w1", live[1:], snapshot)
	if got := len(snapshot.assigned("s", "a")); got < 4 {
		t.Errorf("got: %d assigned entries after the loss of the strongest want: at least 4", got)
	}
	for range 100 {
		now = now.Add(membershipTTL)
		snapshot = newMembership(now, "w1", live[1:], snapshot)
	}
	if got := len(snapshot.assigned("s", "a")); got != minPerDomain {
		t.Errorf("got: %d assigned entries without demand want: %d", got, minPerDomain)
	}
}

// TestMembershipEntriesFor checks that callers of a failure domain with too few
// entries, too little capacity or no entries also get those of other domains.
func TestMembershipEntriesFor(t *testing.T) {
	member := func(name, domain string, load float64) announcer.Member {
		return announcer.Member{Name: name, Domain: domain, Capacity: 48, Load: load, Ready: true}
	}
	for _, v := range []struct {
		name string
		live []announcer.Member
		want int
	}{
		{"enough", []announcer.Member{member("a1", "a", 40), member("a2", "a", 40), member("b1", "b", 0), member("b2", "b", 0)}, 2},
		{"one", []announcer.Member{member("a1", "a", 0), member("b1", "b", 0), member("b2", "b", 0)}, 3},
		{"too little capacity", []announcer.Member{member("a1", "a", 90), member("a2", "a", 90), member("b1", "b", 0), member("b2", "b", 0)}, 4},
		{"none", []announcer.Member{member("b1", "b", 0), member("c1", "c", 0)}, 2},
	} {
		snapshot := newMembership(time.Unix(1000, 0), "a1", v.live, nil)
		if got := snapshot.entriesFor("s", "a"); len(got) != v.want {
			t.Errorf("%s: got: %+v want: %d entries", v.name, got, v.want)
		}
	}
}

// TestCapacity checks that the scarcer of cores and link sets the capacity, and
// that unknown values are ignored.
func TestCapacity(t *testing.T) {
	for _, v := range []struct{ cores, link, want float64 }{
		{0.5, 1000, 150}, {0.5, 10, 60}, {0.5, 0, 150}, {0, 10, 60}, {0, 0, 0},
	} {
		if got := capacity(v.cores, v.link); got != v.want {
			t.Errorf("capacity(%v, %v): got: %v want: %v", v.cores, v.link, got, v.want)
		}
	}
}

// TestRateEstimator checks that the rate follows a burst within a second and falls
// slowly in a lull.
func TestRateEstimator(t *testing.T) {
	var estimator rateEstimator
	now, count := time.Unix(1000, 0), int64(0)
	run := func(rate float64, heartbeats int) float64 {
		for range heartbeats {
			now = now.Add(500 * time.Millisecond)
			count += int64(rate / 2)
			estimator.update(now, count)
		}
		return estimator.rate
	}
	if got := run(100, 20); got < 95 || got > 100 {
		t.Errorf("got: %.1f want: about 100", got)
	}
	if got := run(300, 2); got < 220 {
		t.Errorf("a burst of one second: got: %.1f want: most of 300", got)
	}
	if got := run(0, 4); got < 120 {
		t.Errorf("a lull of two seconds: got: %.1f want: over 120", got)
	}
	if got := run(0, 100); got > 1 {
		t.Errorf("a lull of 50 seconds: got: %.1f want: at most 1", got)
	}
}
