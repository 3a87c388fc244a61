package tracker

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"poplarwind/announcer"
	"poplarwind/placer"
	"poplarwind/router"
)

// TestChangesAfterStoreRestored restores the store from a backup that lacks some changes,
// after it was away, while entries restart, are killed, frozen or cut off from all others.
// Every entry must have each later change within propagationBound and never an older
// version than before, and the number of reads must stay bounded.
func TestChangesAfterStoreRestored(t *testing.T) {
	faults := map[string]func(ctx context.Context, c *cluster){
		"none": func(context.Context, *cluster) {},
		"restarts": func(ctx context.Context, c *cluster) {
			for _, m := range c.members()[3:6] {
				c.start(ctx, m, false, false)
			}
		},
		"heads killed": func(_ context.Context, c *cluster) { c.remove(c.heads()...) },
		"frozen until later": func(_ context.Context, c *cluster) {
			// A frozen entry wakes up with the replica of the earlier era.
			c.isolate(4*time.Second, c.members()[0], c.members()[7])
		},
		"cut off from others": func(_ context.Context, c *cluster) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.partitioned[c.live[0].Name], c.partitioned[c.live[4].Name] = true, true
		},
	}
	for name, fault := range faults {
		for _, lost := range []uint64{0, 1, 6} {
			for _, away := range []time.Duration{0, 2 * time.Second} {
				t.Run(fmt.Sprintf("%s/%d/%v", name, lost, away), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(t.Context())
						defer time.Sleep(5 * time.Second)
						defer cancel()
						c := startFleet(ctx, 24, time.Second)
						time.Sleep(8 * time.Second)
						for range 6 {
							c.store.write()
							time.Sleep(300 * time.Millisecond)
						}
						time.Sleep(propagationBound)
						reads, highest := c.reads(), make(map[string]int64)
						c.checkVersions(t, highest)
						c.setFailing(true, c.members()...)
						time.Sleep(away)
						c.store.restore(lost)
						c.setFailing(false, c.members()...)
						fault(ctx, c)
						for range 3 {
							// As many changes as were lost, so that the store gives out
							// the same revisions again.
							want := int64(0)
							for range max(1, lost) {
								want = int64(c.store.write())
								time.Sleep(100 * time.Millisecond)
								c.checkVersions(t, highest)
							}
							time.Sleep(5 * time.Second)
							c.checkVersions(t, highest)
							if got := c.outdated(want); len(got) > 0 {
								t.Fatalf("got: %d entries without version %d, %v want: none", len(got), want, got[:min(3, len(got))])
							}
						}
						if got := c.reads() - reads; got > 400 {
							t.Errorf("got: %d counted reads want: at most 400", got)
						}
					})
				})
			}
		}
	}
}

// isolate cuts entries off from the store and all others for a time.
func (c *cluster) isolate(d time.Duration, entries ...announcer.Member) {
	set := func(on bool) {
		c.mu.Lock()
		for _, m := range entries {
			c.partitioned[m.Name] = on
		}
		c.mu.Unlock()
		c.setFailing(on, entries...)
	}
	set(true)
	time.AfterFunc(d, func() { set(false) })
}

// checkVersions checks that no entry has an older version than before; highest holds
// those.
func (c *cluster) checkVersions(t *testing.T, highest map[string]int64) {
	t.Helper()
	for _, m := range c.members() {
		v := c.version(m.Name)
		if v != 0 && v < highest[m.Name] {
			t.Errorf("%s: got: version %d after %d want: never an older one", m.Name, v, highest[m.Name])
		}
		highest[m.Name] = max(highest[m.Name], v)
	}
}

// TestReplicaErasInAnyOrder applies deltas of a store that was restored several times,
// in any order, late and repeatedly. The replica must never go back to an earlier era or
// revision, nor to an earlier version of the configuration, and its revision must never
// come from the changes of another era.
func TestReplicaErasInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var origin, follower State
		era, revision, version := uint64(1), uint64(0), int64(0)
		var sent []Delta
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			snapshot := revision == 0
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 && revision > 0 {
				era++
				revision -= uint64(rapid.IntRange(0, int(min(revision, 4))).Draw(t, "lost"))
				snapshot = true
			}
			version++
			d := Delta{Kind: Configs, Era: era, After: revision, AsOf: revision + 1, Snapshot: snapshot, Changes: []Change{{
				Name: "main", Revision: revision + 1, Config: &router.Spec{Version: version - int64(rapid.IntRange(0, 1).Draw(t, "older"))},
			}}}
			revision++
			if _, err := origin.Apply(now, d); err != nil {
				t.Fatal(err)
			}
			sent = append(sent, d, origin.Since(Configs, era, 0))
			for range rapid.IntRange(0, 3).Draw(t, "deliveries") {
				d := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
				before, old := follower.Position(now, Configs), follower.All(Configs)
				if _, err := follower.Apply(now, d); err != nil && !errors.Is(err, ErrGap) {
					t.Fatal(err)
				}
				after := follower.Position(now, Configs)
				if before.newer(after.Era, after.AsOf) {
					t.Fatalf("got: %+v after %+v want: not older", after, before)
				}
				if after.Era > before.Era && before.AsOf > 0 && !d.Snapshot {
					t.Fatalf("got: era %d after %d by changes want: by a snapshot", after.Era, before.Era)
				}
				if list := follower.All(Configs); len(old) > 0 && list[0].Config.Version < old[0].Config.Version {
					t.Fatalf("got: version %d after %d want: never an older one", list[0].Config.Version, old[0].Config.Version)
				}
			}
		}
		if _, err := follower.Apply(now, origin.Since(Configs, era, 0)); err != nil {
			t.Fatal(err)
		}
		if got, want := follower.All(Configs)[0].Config.Version, origin.All(Configs)[0].Config.Version; got != want {
			t.Fatalf("got: version %d want: %d", got, want)
		}
	})
}

// TestCallsToStoreThatFellBehind has the store return older objects than before without a
// later era. No entry may use them, and the calls must stay as few as in an outage.
func TestCallsToStoreThatFellBehind(t *testing.T) {
	const entries, duration = 24, 8
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(5 * time.Second)
		defer cancel()
		c := startFleet(ctx, entries, time.Second)
		time.Sleep(8 * time.Second)
		for range 6 {
			c.store.write()
		}
		time.Sleep(propagationBound)
		c.store.mu.Lock()
		c.store.revision -= 4
		c.store.notify()
		c.store.mu.Unlock()
		before := c.reads()
		time.Sleep(duration * time.Second)
		// A failed watch is counted once, as is the list after it.
		if got := c.reads() - before; got > 2*entries*duration {
			t.Errorf("got: %d counted calls in %d s want: at most two per second and entry", got, duration)
		}
		if got := c.outdated(7); len(got) > 0 {
			t.Errorf("got: %d entries without version 7, %v want: none", len(got), got[:min(3, len(got))])
		}
	})
}

// TestAgeOfRemovedObjects checks since when the objects that Take has returned may have changed: a
// removal that is noticed late may have happened as soon as they were last certain to exist, whatever
// changes behind it before they are taken again.
func TestAgeOfRemovedObjects(t *testing.T) {
	var s State
	start := time.Unix(1000, 0)
	apply := func(after time.Duration, d Delta) {
		t.Helper()
		d.Kind, d.Era = Upstreams, 1
		if _, err := s.Apply(start.Add(after), d); err != nil {
			t.Fatal(err)
		}
	}
	take := func(after, want time.Duration, objects int) {
		t.Helper()
		now := start.Add(after)
		d, confirmed := s.Take(now, Upstreams)
		if got := now.Sub(confirmed); got != want || len(d.Changes) != objects {
			t.Errorf("after %v: got: %d objects, before %v want: %d, %v", after, len(d.Changes), got, objects, want)
		}
	}
	apply(0, Delta{AsOf: 1, Snapshot: true, Changes: []Change{{Name: "u", Revision: 1, Upstream: &placer.Spec{ID: "u"}}}})
	take(0, maxAge, 1)
	take(500*time.Millisecond, 0, 1)
	s.ConfirmFresh(start.Add(time.Second), Upstreams, 1, 1)
	apply(2500*time.Millisecond, Delta{After: 1, AsOf: 2, Changes: []Change{{Name: "u", Removed: true}}})
	apply(2505*time.Millisecond, Delta{After: 2, AsOf: 3, Changes: []Change{{Name: "v", Revision: 3, Upstream: &placer.Spec{ID: "v"}}}})
	s.ConfirmFresh(start.Add(3*time.Second), Upstreams, 1, 3)
	if got := s.Position(start.Add(3*time.Second), Upstreams).Age; got != 0 {
		t.Errorf("got: age %v want: 0", got)
	}
	take(3*time.Second, 2*time.Second, 1)
	take(3*time.Second, 0, 1)
}
