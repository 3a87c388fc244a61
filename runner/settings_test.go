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
	"poplarwind/keeper"
)

// spy watches the versions that entries have in force and fails the test if
// any falls.
func spy(t *testing.T, path string, ops func() []string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		high := make(map[string]uint64)
		for ctx.Err() == nil {
			for _, o := range ops() {
				v := versionAt(o, path)
				if v > 0 && v < high[o] {
					t.Errorf("version at %s fell: got: %d want: at least %d", o, v, high[o])
				}
				high[o] = max(high[o], v)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	return func() { cancel(); wg.Wait() }
}

func (b *bed) ops() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, e := range b.entries {
		out = append(out, e.Ops)
	}
	return out
}

// everywhere waits until all entries have the version in force and returns
// how long that took. The users' bound is ten seconds.
func (b *bed) everywhere(path string, version uint64) time.Duration {
	b.t.Helper()
	return eventually(b.t, fmt.Sprintf("%s at %d everywhere", path, version), everywhere, func() bool {
		for _, o := range b.ops() {
			if versionAt(o, path) != version {
				return false
			}
		}
		return true
	})
}

func doc(slots int) string { return fmt.Sprintf(`{"slots": %d}`, slots) }

// TestSettingsEverywhere changes settings of 19 entries while the store goes
// wrong in each of its ways.
func TestSettingsEverywhere(t *testing.T) {
	b := newBed(t)
	b.apply("/t/s", doc(1))
	for i := range 19 {
		b.entry(fmt.Sprintf("e%02d", i), string(rune('a'+i%3)))
	}
	defer b.close()
	b.everywhere("/t/s", 1)
	stop := spy(t, "/t/s", b.ops)
	defer stop()
	for i, v := range []struct {
		name           string
		during, before faker.Trouble
	}{
		{"store well", faker.Trouble{}, faker.Trouble{}},
		{"store slow", faker.Trouble{Delay: 300 * time.Millisecond}, faker.Trouble{}},
		{"watches deaf", faker.Trouble{Deaf: true}, faker.Trouble{Deaf: true}},
		{"answer lost", faker.Trouble{}, faker.Trouble{Lose: 1}},
		{"reads stale", faker.Trouble{Stale: 2 * time.Second}, faker.Trouble{}},
	} {
		b.platform.Set(v.before)
		version := b.apply("/t/s", doc(2+i))
		b.platform.Set(v.during)
		t.Logf("%s: everywhere after %v", v.name, b.everywhere("/t/s", version).Round(time.Millisecond))
		b.platform.Set(faker.Trouble{})
	}
}

// TestSettingsThroughPeers lets one entry alone see a change before the store
// goes down: the others, and one that starts in the outage, have it from
// their peers.
func TestSettingsThroughPeers(t *testing.T) {
	b := newBed(t)
	b.apply("/t/s", doc(1))
	b.platform.Enlist(keeper.Instance{Name: "s1", Addr: "127.0.0.1:9", Service: "/t/s"})
	for i := range 19 {
		b.entry(fmt.Sprintf("e%02d", i), string(rune('a'+i%3)))
	}
	defer b.close()
	b.everywhere("/t/s", 1)
	for _, o := range b.ops() {
		eventually(t, "knows its peers", settle, func() bool { s, err := statusOf(o); return err == nil && len(s.Members) == 19 })
	}
	stop := spy(t, "/t/s", b.ops)
	defer stop()
	b.platform.Set(faker.Trouble{Down: true})
	time.Sleep(100 * time.Millisecond)
	data, err := json.Marshal(keeper.Envelope{ID: "x", Doc: doc(7)})
	if err != nil {
		t.Fatal(err)
	}
	b.entries["e00"].runner.book.Offer(keeper.Object{Path: keeper.Prefix + "/t/s", Version: 99, Data: data})
	t.Logf("through peers: everywhere after %v", b.everywhere("/t/s", 99).Round(time.Millisecond))
	settings := entrySettings("late", "b", b.addr)
	late := b.entryWith("late", strings.Replace(settings, "{", fmt.Sprintf(`{"seeds": [%q], `, b.entries["e03"].Peers), 1))
	eventually(t, "ready in the outage", everywhere, func() bool {
		s, err := statusOf(late.Ops)
		return err == nil && s.Ready && versionAt(late.Ops, "/t/s") == 99
	})
}

// TestBadNewestVersion puts a document that is refused past the operators'
// tool: the last accepted one stays in force, at a fresh entry too.
func TestBadNewestVersion(t *testing.T) {
	b := newBed(t)
	good := b.apply("/t/s", doc(3))
	b.entry("e1", "a")
	defer b.close()
	b.everywhere("/t/s", good)
	stop := spy(t, "/t/s", b.ops)
	defer stop()
	bad := b.apply("/t/s", `{"slots": 0}`)
	bad2 := b.apply("/t/s", `{"slots": "many"}`)
	fresh := b.entry("e2", "b")
	for _, o := range b.ops() {
		eventually(t, "refusal in status", everywhere, func() bool {
			s, err := statusOf(o)
			return err == nil && len(s.Settings) == 1 && s.Settings[0].Refused == bad2 && s.Settings[0].Version == good
		})
	}
	if v := versionAt(fresh.Ops, "/t/s"); v != good || bad >= bad2 {
		t.Errorf("fresh entry: got: %d want: %d", v, good)
	}
	b.everywhere("/t/s", b.apply("/t/s", doc(4)))
}

// TestOperatorsRace lets operators change the same version at once: one wins,
// the others are told who.
func TestOperatorsRace(t *testing.T) {
	b := newBed(t)
	first := b.apply("/t/s", doc(1))
	b.entry("e1", "a")
	defer b.close()
	b.platform.Set(faker.Trouble{Lose: 3})
	type end struct {
		version uint64
		err     error
	}
	ends := make([]end, 8)
	var wg sync.WaitGroup
	for i := range ends {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), settle)
			defer cancel()
			e := keeper.Envelope{ID: keeper.NewID(), By: fmt.Sprint("operator ", i), Doc: doc(2 + i)}
			ends[i].version, ends[i].err = keeper.Apply(ctx, b.store, "/t/s", e, first)
		})
	}
	wg.Wait()
	winners := 0
	for i, e := range ends {
		switch {
		case e.err == nil:
			winners++
			b.everywhere("/t/s", e.version)
			s, _ := statusOf(b.ops()[0])
			if len(s.Services) != 1 || s.Settings[0].Version != e.version {
				t.Errorf("operator %d won with version %d: got: %+v", i, e.version, s.Settings)
			}
		case !errors.Is(e.err, keeper.ErrConflict):
			t.Errorf("operator %d: got: %v want: %v", i, e.err, keeper.ErrConflict)
		}
	}
	if winners != 1 {
		t.Errorf("winners: got: %d want: 1", winners)
	}
}

// TestPausedEntryCatchesUp pauses a real entry over a change: it comes back
// with the old version and has the new one in time, and its peers leave it
// out of their answers meanwhile.
func TestPausedEntryCatchesUp(t *testing.T) {
	b := newBed(t)
	b.apply("/t/s", doc(1))
	e := b.entry("e1", "a")
	defer b.close()
	p := b.processEntry("paused", "b")
	eventually(t, "starts", settle, func() bool { return versionAt(p.Ops, "/t/s") == 1 && sees(e.Ops, "paused") })
	p.signal(syscall.SIGSTOP)
	v := b.apply("/t/s", doc(2))
	eventually(t, "left out of answers", settle, func() bool { return !sees(e.Ops, "paused") })
	p.signal(syscall.SIGCONT)
	eventually(t, "caught up", everywhere, func() bool { return versionAt(p.Ops, "/t/s") == v })
	eventually(t, "back in answers", settle, func() bool { return sees(e.Ops, "paused") && sees(p.Ops, "e1") })
}
