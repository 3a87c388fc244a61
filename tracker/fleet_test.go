package tracker

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"poplarwind/announcer"
)

// The shape of the largest deployment.
const (
	fleetSize    = 312
	fleetDomains = 5
	seeds        = 3
)

// startFleet starts entries in the shape of the largest deployment: most have a fifth
// of the capacity of a few strong ones. They see one another only after a delay.
func startFleet(ctx context.Context, n int, separated time.Duration) *cluster {
	c := &cluster{
		separatedUntil: time.Now().Add(separated),
		store:          &store{revision: 1, fails: map[string]bool{}, hangs: map[string]bool{}}, trackers: map[string]*Tracker{},
		states: map[string]*State{}, partitioned: map[string]bool{},
	}
	for i := range n {
		capacity := 48.0
		if i/fleetDomains%20 == 7 {
			capacity = 240
		}
		c.live = append(c.live, announcer.Member{Name: fmt.Sprintf("e%03d", i), Domain: string(rune('a' + i%fleetDomains)), Capacity: capacity})
	}
	for i, m := range c.live {
		c.start(ctx, m, separated > 0, i < seeds)
	}
	return c
}

// start starts the process of one entry without a replica.
func (c *cluster) start(ctx context.Context, m announcer.Member, initial, seed bool) {
	s := &State{}
	t := New(s, storeSource{c.store, m.Name}, peers{c, m.Name}, m.Name, func() []announcer.Member { return c.visibleTo(m) }, slog.New(slog.DiscardHandler))
	if initial {
		t.SetInitialStart()
	}
	contacts := c.live[:min(len(c.live), seeds)]
	t.SetContacts(func() []announcer.Member { return contacts }, seed)
	c.mu.Lock()
	c.states[m.Name], c.trackers[m.Name] = s, t
	c.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	c.mu.Lock()
	if c.stops == nil {
		c.stops = make(map[string]func())
	}
	if end := c.stops[m.Name]; end != nil {
		end()
	}
	c.stops[m.Name] = stop
	c.mu.Unlock()
	go func() { _ = t.Follow(ctx, Configs) }()
	go func() { _ = t.Disseminate(ctx) }()
}

// reads returns the number of reads so far: a list is counted once by the store, a
// watch twice.
func (c *cluster) reads() int { return c.store.callCount() }

// outdated returns the names of the entries whose configuration is not of a version.
func (c *cluster) outdated(want int64) []string {
	var out []string
	for _, m := range c.members() {
		if !c.isolated(m.Name) && c.version(m.Name) != want {
			out = append(out, m.Name)
		}
	}
	return out
}

// setFailing sets whether the store rejects the calls of the entries.
func (c *cluster) setFailing(fail bool, entries ...announcer.Member) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for _, m := range entries {
		c.store.fails[m.Name] = fail
	}
}

// remove ends the connection of entries to all others and, after the heartbeat
// timeout, their membership.
func (c *cluster) remove(entries ...announcer.Member) {
	c.mu.Lock()
	for _, m := range entries {
		c.partitioned[m.Name] = true
	}
	c.mu.Unlock()
	c.setFailing(true, entries...)
	time.AfterFunc(2500*time.Millisecond, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.live = slices.DeleteFunc(slices.Clone(c.live), func(m announcer.Member) bool { return c.partitioned[m.Name] })
	})
}

// heads returns the entries of the highest rank of each failure domain.
func (c *cluster) heads() []announcer.Member {
	var out []announcer.Member
	live := c.members()
	for _, m := range live {
		if RoleOf(m.Name, live).Rank == 0 {
			out = append(out, m)
		}
	}
	return out
}

// TestFleetFaults starts the largest deployment and injects faults. A change made
// at any time must be in force everywhere within propagationBound, and the number
// of reads of the store must not grow with the entries.
func TestFleetFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		// fault is injected 10 s after the start. It lasts until heal is called, for
		// the given time.
		fault, heal func(ctx context.Context, c *cluster)
		lasts       time.Duration
		// reads is the limit of counted reads during the fault and the 5 s after it.
		reads int
	}{
		{name: "none", lasts: 10 * time.Second, reads: 60},
		{
			name:  "heads killed",
			fault: func(_ context.Context, c *cluster) { c.remove(c.heads()...) },
			lasts: 5 * time.Second, reads: 150,
		},
		{
			name:  "store away",
			fault: func(_ context.Context, c *cluster) { c.setFailing(true, c.members()...) },
			heal:  func(_ context.Context, c *cluster) { c.setFailing(false, c.members()...) },
			lasts: 10 * time.Second, reads: 600,
		},
		{
			name:  "store rejects a third",
			fault: func(_ context.Context, c *cluster) { c.setFailing(true, c.members()[:fleetSize/3]...) },
			heal:  func(_ context.Context, c *cluster) { c.setFailing(false, c.members()...) },
			lasts: 10 * time.Second, reads: 400,
		},
		{
			name: "all restart",
			fault: func(ctx context.Context, c *cluster) {
				for i, m := range c.members() {
					c.start(ctx, m, false, i < seeds)
				}
			},
			// Each entry may read once, a stale list and the changes since, because
			// callers wait.
			lasts: 5 * time.Second, reads: 3*fleetSize + 60,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := startFleet(ctx, fleetSize, time.Second)
				time.Sleep(10 * time.Second)
				before := c.reads()
				if tc.fault != nil {
					tc.fault(ctx, c)
				}
				time.Sleep(tc.lasts)
				if tc.heal != nil {
					tc.heal(ctx, c)
				}
				want := int64(c.store.write())
				time.Sleep(propagationBound)
				if got := c.outdated(want); len(got) > 0 {
					t.Errorf("got: %d entries without version %d, %v want: none", len(got), want, got[:min(3, len(got))])
				}
				time.Sleep(3 * time.Second)
				if got := c.reads() - before; got > tc.reads {
					t.Errorf("got: %d counted reads want: at most %d", got, tc.reads)
				}
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestFleetStart starts the largest deployment, whose entries see one another after
// a second. Few entries read the store, and all have a replica 5 s after the start,
// when traffic may begin.
func TestFleetStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := startFleet(ctx, fleetSize, time.Second)
		time.Sleep(5 * time.Second)
		if got := c.outdated(1); len(got) > 0 {
			t.Errorf("got: %d entries without a replica want: none", len(got))
		}
		if got := c.reads(); got > fleetSize/2 {
			t.Errorf("got: %d counted reads want: at most half as many as entries", got)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestRestartWithStaleStore restarts an entry while stale lists of the store are some
// changes behind. The entry must never have an old version, neither from the store nor
// from other entries.
func TestRestartWithStaleStore(t *testing.T) {
	for _, peers := range []bool{false, true} {
		t.Run(fmt.Sprint("peers ", peers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := startFleet(ctx, 4, time.Second)
				time.Sleep(8 * time.Second)
				c.store.mu.Lock()
				c.store.revision, c.store.lag = 9, 5
				c.store.mu.Unlock()
				c.store.write()
				time.Sleep(propagationBound)
				m := c.members()[3]
				if !peers {
					c.remove(c.members()[:3]...)
					c.remove(m)
					c.setFailing(false, m)
				}
				c.start(ctx, m, false, false)
				for range 400 {
					time.Sleep(5 * time.Millisecond)
					if got := c.version(m.Name); got != 0 && got != 10 {
						t.Fatalf("got: version %d want: none or 10", got)
					}
				}
				if got := c.version(m.Name); got != 10 {
					t.Errorf("got: version %d 2 s after the restart want: 10", got)
				}
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestChangeJustAfterRestartOfAll restarts all entries of the largest deployment and
// changes the configuration shortly afterwards, while some entries are not seen by the
// others yet and receive no updates. Every entry must have the change 3 s after its start,
// when the users count on it.
func TestChangeJustAfterRestartOfAll(t *testing.T) {
	hidden := map[string]func(c *cluster) []announcer.Member{
		"last":  func(c *cluster) []announcer.Member { return c.live[fleetSize-10:] },
		"third": func(c *cluster) []announcer.Member { return c.live[:fleetSize/3] },
		"heads": (*cluster).heads,
		"readers": func(c *cluster) []announcer.Member {
			return slices.DeleteFunc(slices.Clone(c.live), func(m announcer.Member) bool {
				r := RoleOf(m.Name, c.live).Rank
				return r == 0 || r >= readersPerDomain
			})
		},
	}
	for _, name := range slices.Sorted(maps.Keys(hidden)) {
		for _, offset := range []time.Duration{100, 350, 600, 1000} {
			t.Run(fmt.Sprint(name, " ", int64(offset)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer time.Sleep(5 * time.Second)
					defer cancel()
					c := startFleet(ctx, fleetSize, time.Second)
					time.Sleep(10 * time.Second)
					before := c.reads()
					names := make(map[string]bool)
					for _, m := range hidden[name](c) {
						names[m.Name] = true
					}
					c.mu.Lock()
					c.hidden = names
					c.mu.Unlock()
					for i, m := range c.members() {
						c.start(ctx, m, false, i < seeds)
					}
					time.Sleep(offset * time.Millisecond)
					want := int64(c.store.write())
					time.Sleep(3*time.Second - offset*time.Millisecond)
					if got := c.outdated(want); len(got) > 0 {
						t.Errorf("got: %d entries without version %d 3 s after their start, %v want: none", len(got), want, got[:min(3, len(got))])
					}
					if got, limit := c.reads()-before, 3*fleetSize+60; got > limit {
						t.Errorf("got: %d counted reads want: at most %d", got, limit)
					}
				})
			})
		}
	}
}
