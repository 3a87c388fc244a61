package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"poplarwind/internal/faker"
	"poplarwind/storer"
)

// checkVersionsMonotonic polls the versions in force at the entries and fails the
// test if any decreases.
func checkVersionsMonotonic(t *testing.T, path string, ops func() []string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		highest := make(map[string]uint64)
		for ctx.Err() == nil {
			for _, o := range ops() {
				v := versionAt(o, path)
				if v > 0 && v < highest[o] {
					t.Errorf("version at %s decreased: got: %d want: at least %d", o, v, highest[o])
				}
				highest[o] = max(highest[o], v)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	return func() { cancel(); wg.Wait() }
}

func (b *testbed) opsAddrs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, e := range b.entries {
		out = append(out, e.Ops)
	}
	return out
}

// awaitVersion waits until all entries have the version in force and returns how
// long that took. The users' limit is 10 seconds.
func (b *testbed) awaitVersion(path string, version uint64) time.Duration {
	b.t.Helper()
	return eventually(b.t, fmt.Sprintf("%s at version %d at all entries", path, version), propagationLimit, func() bool {
		for _, o := range b.opsAddrs() {
			if versionAt(o, path) != version {
				return false
			}
		}
		return true
	})
}

func doc(slots int) string { return fmt.Sprintf(`{"slots": %d}`, slots) }

// TestSettingsPropagation changes the settings of 19 entries under each fault of
// the store.
func TestSettingsPropagation(t *testing.T) {
	b := newTestbed(t)
	b.applySettings("/t/s", doc(1))
	for i := range 19 {
		b.startEntry(fmt.Sprintf("e%02d", i), string(rune('a'+i%3)))
	}
	defer b.stopEntries()
	b.awaitVersion("/t/s", 1)
	stop := checkVersionsMonotonic(t, "/t/s", b.opsAddrs)
	defer stop()
	for i, scenario := range []struct {
		name           string
		during, before faker.PlatformFaults
	}{
		{"no fault", faker.PlatformFaults{}, faker.PlatformFaults{}},
		{"slow store", faker.PlatformFaults{Delay: 300 * time.Millisecond}, faker.PlatformFaults{}},
		{"silent watches", faker.PlatformFaults{DropWatches: true}, faker.PlatformFaults{DropWatches: true}},
		{"lost response", faker.PlatformFaults{}, faker.PlatformFaults{LoseResponses: 1}},
		{"stale reads", faker.PlatformFaults{Staleness: 2 * time.Second}, faker.PlatformFaults{}},
	} {
		b.platform.SetFaults(scenario.before)
		version := b.applySettings("/t/s", doc(2+i))
		b.platform.SetFaults(scenario.during)
		t.Logf("%s: in force at all entries after %v", scenario.name, b.awaitVersion("/t/s", version).Round(time.Millisecond))
		b.platform.SetFaults(faker.PlatformFaults{})
	}
}

// TestSettingsFromPeers applies a change at only one entry while the store is down.
// The other entries, and one that starts during the outage, must get it from their
// peers.
func TestSettingsFromPeers(t *testing.T) {
	b := newTestbed(t)
	b.applySettings("/t/s", doc(1))
	b.platform.AddInstance(storer.Instance{Name: "s1", Addr: "127.0.0.1:9", Service: "/t/s"})
	for i := range 19 {
		b.startEntry(fmt.Sprintf("e%02d", i), string(rune('a'+i%3)))
	}
	defer b.stopEntries()
	b.awaitVersion("/t/s", 1)
	for _, o := range b.opsAddrs() {
		eventually(t, "all peers listed", settleTimeout, func() bool { s, err := statusOf(o); return err == nil && len(s.Members) == 19 })
	}
	stop := checkVersionsMonotonic(t, "/t/s", b.opsAddrs)
	defer stop()
	b.platform.SetFaults(faker.PlatformFaults{Down: true})
	time.Sleep(100 * time.Millisecond)
	data, err := json.Marshal(storer.Envelope{ID: "x", Doc: doc(7)})
	if err != nil {
		t.Fatal(err)
	}
	b.entries["e00"].runner.cache.Apply(storer.Object{Path: storer.Prefix + "/t/s", Version: 99, Data: data})
	t.Logf("from peers: in force at all entries after %v", b.awaitVersion("/t/s", 99).Round(time.Millisecond))
	settings := entrySettings("late", "b", b.addr)
	late := b.startEntryWith("late", strings.Replace(settings, "{", fmt.Sprintf(`{"seeds": [%q], `, b.entries["e03"].Peers), 1))
	eventually(t, "ready during the outage", propagationLimit, func() bool {
		s, err := statusOf(late.Ops)
		return err == nil && s.Ready && versionAt(late.Ops, "/t/s") == 99
	})
}

// TestInvalidNewestVersion writes invalid documents without the checks of the
// operators' tool. The last valid version must stay in force, also at a new entry.
func TestInvalidNewestVersion(t *testing.T) {
	b := newTestbed(t)
	good := b.applySettings("/t/s", doc(3))
	b.startEntry("e1", "a")
	defer b.stopEntries()
	b.awaitVersion("/t/s", good)
	stop := checkVersionsMonotonic(t, "/t/s", b.opsAddrs)
	defer stop()
	bad := b.applySettings("/t/s", `{"slots": 0}`)
	bad2 := b.applySettings("/t/s", `{"slots": "many"}`)
	fresh := b.startEntry("e2", "b")
	for _, o := range b.opsAddrs() {
		eventually(t, "rejection in status", propagationLimit, func() bool {
			s, err := statusOf(o)
			return err == nil && len(s.Settings) == 1 && s.Settings[0].Rejected == bad2 && s.Settings[0].Version == good
		})
	}
	if v := versionAt(fresh.Ops, "/t/s"); v != good || bad >= bad2 {
		t.Errorf("new entry: got: %d want: %d", v, good)
	}
	b.awaitVersion("/t/s", b.applySettings("/t/s", doc(4)))
}

// TestConcurrentOperators has operators change the same version concurrently. One
// must succeed and the others must get a conflict error.
func TestConcurrentOperators(t *testing.T) {
	b := newTestbed(t)
	first := b.applySettings("/t/s", doc(1))
	b.startEntry("e1", "a")
	defer b.stopEntries()
	b.platform.SetFaults(faker.PlatformFaults{LoseResponses: 3})
	type outcome struct {
		version uint64
		err     error
	}
	outcomes := make([]outcome, 8)
	var wg sync.WaitGroup
	for i := range outcomes {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
			defer cancel()
			envelope := storer.Envelope{ID: storer.NewID(), Author: fmt.Sprint("operator ", i), Doc: doc(2 + i)}
			outcomes[i].version, outcomes[i].err = storer.Apply(ctx, b.store, "/t/s", envelope, first)
		})
	}
	wg.Wait()
	winners := 0
	for i, result := range outcomes {
		switch {
		case result.err == nil:
			winners++
			b.awaitVersion("/t/s", result.version)
			s, _ := statusOf(b.opsAddrs()[0])
			if len(s.Services) != 1 || s.Settings[0].Version != result.version {
				t.Errorf("operator %d wrote version %d: got: %+v", i, result.version, s.Settings)
			}
		case !errors.Is(result.err, storer.ErrConflict):
			t.Errorf("operator %d: got: %v want: %v", i, result.err, storer.ErrConflict)
		}
	}
	if winners != 1 {
		t.Errorf("successful operators: got: %d want: 1", winners)
	}
}

// TestPausedEntryCatchesUp pauses an entry process during a change. It resumes
// with the old version and must have the new one in force in time. Its peers
// must not list it as live meanwhile.
func TestPausedEntryCatchesUp(t *testing.T) {
	b := newTestbed(t)
	b.applySettings("/t/s", doc(1))
	e := b.startEntry("e1", "a")
	defer b.stopEntries()
	p := b.startEntryProcess("paused", "b")
	eventually(t, "starts", settleTimeout, func() bool { return versionAt(p.Ops, "/t/s") == 1 && seesLive(e.Ops, "paused") })
	p.signal(syscall.SIGSTOP)
	v := b.applySettings("/t/s", doc(2))
	eventually(t, "paused entry not live", settleTimeout, func() bool { return !seesLive(e.Ops, "paused") })
	p.signal(syscall.SIGCONT)
	eventually(t, "caught up", propagationLimit, func() bool { return versionAt(p.Ops, "/t/s") == v })
	eventually(t, "resumed entry live", settleTimeout, func() bool { return seesLive(e.Ops, "paused") && seesLive(p.Ops, "e1") })
}
