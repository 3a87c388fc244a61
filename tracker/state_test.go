package tracker

import (
	"fmt"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"poplarwind/announcer"
	"poplarwind/internal/scripter"
	_ "poplarwind/internal/seeder"
	"poplarwind/placer"
)

// TestReplicasConverge applies deltas of one replica to another in any order,
// with gaps, repeats and snapshots of old states. The revision must never
// decrease, and after the last delta both replicas must be equal.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var origin, follower State
		if _, err := origin.Apply(now, Delta{Kind: Upstreams, Snapshot: true, AsOf: 1}); err != nil {
			t.Fatal(err)
		}
		old := []Delta{origin.Since(Upstreams, 0, 0)}
		revision := uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprintf("u%d", rapid.IntRange(0, 5).Draw(t, "name"))
			after := revision
			revision += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			c := Change{Name: name, Revision: revision, Upstream: &placer.Spec{ID: name, Slots: int(revision)}}
			c.Removed = rapid.Bool().Draw(t, "removed")
			if _, err := origin.Apply(now, Delta{Kind: Upstreams, After: after, AsOf: revision, Changes: []Change{c}}); err != nil {
				t.Fatal(err)
			}
			old = append(old, origin.Since(Upstreams, 0, uint64(rapid.IntRange(0, int(revision)).Draw(t, "since"))))
			if rapid.Bool().Draw(t, "deliver") {
				d := old[rapid.IntRange(0, len(old)-1).Draw(t, "which")]
				before := follower.Position(now, Upstreams).AsOf
				_, err := follower.Apply(now, d)
				if err != nil && !errors.Is(err, ErrGap) {
					t.Fatal(err)
				}
				if got := follower.Position(now, Upstreams).AsOf; got < before {
					t.Fatalf("got: as of %d want: at least %d", got, before)
				}
			}
		}
		if _, err := follower.Apply(now, origin.Since(Upstreams, 0, follower.Position(now, Upstreams).AsOf)); err != nil {
			t.Fatal(err)
		}
		got, want := follower.All(Upstreams), origin.All(Upstreams)
		if len(got) != len(want) {
			t.Fatalf("got: %v want: %v", got, want)
		}
		for i := range got {
			if got[i].Name != want[i].Name || got[i].Revision != want[i].Revision {
				t.Fatalf("got: %v want: %v", got, want)
			}
		}
	})
}

// TestRoleOf runs scripts that check which entry watches the store and which
// entries each entry sends updates to.
func TestRoleOf(t *testing.T) {
	scripter.Run(t, "testdata/plan*.txt", func(*testing.T) func([]string) string {
		var live []announcer.Member
		return func(args []string) string {
			switch args[0] {
			case "live": // live name/domain...
				live = nil
				for _, a := range args[1:] {
					name, domain, _ := strings.Cut(a, "/")
					live = append(live, announcer.Member{Name: name, Domain: domain})
				}
				return ""
			case "plan":
				r := RoleOf(args[1], live)
				out := []string{"sends"}
				if r.Watch {
					out = []string{"watches", "sends"}
				}
				for _, m := range r.Recipients {
					out = append(out, m.Name)
				}
				return strings.Join(out, " ")
			}
			return "unknown command"
		}
	})
}

// TestExpiry runs scripts that check which upstreams stay in use after they
// disappear from the store's list.
func TestExpiry(t *testing.T) {
	scripter.Run(t, "testdata/expiry*.txt", func(*testing.T) func([]string) string {
		f := ExpiryFilter{Drain: 2 * time.Second}
		now, era, age := time.Unix(1000, 0), uint64(1), time.Duration(0)
		return func(args []string) string {
			switch args[0] {
			case "restore":
				era++
				return ""
			case "advance":
				d, err := time.ParseDuration(args[1])
				if err != nil {
					return err.Error()
				}
				now = now.Add(d)
				return ""
			case "age": // age of the list before the next one
				var err error
				if age, err = time.ParseDuration(args[1]); err != nil {
					return err.Error()
				}
				return ""
			case "list": // list id[@revision][+process][!]..., with ! after those that are draining
				listed := make(map[string]ListedUpstream)
				for _, a := range args[1:] {
					name, draining := strings.CutSuffix(a, "!")
					name, process, _ := strings.Cut(name, "+")
					id, revision, _ := strings.Cut(name, "@")
					listed[id] = ListedUpstream{
						Spec:     placer.Spec{ID: id, Service: id[:1], Draining: draining, StartedAt: int64(len(process))},
						Revision: uint64(len(revision)),
					}
				}
				use, next := f.Apply(now, now.Add(-age), era, listed)
				var out []string
				for _, id := range []string{"a1", "a2", "a3", "a4", "b1", "b2"} {
					if _, ok := use[id]; ok {
						out = append(out, id)
					}
				}
				if !next.IsZero() {
					out = append(out, "until", next.Sub(now).String())
				}
				return strings.Join(out, " ")
			}
			return "unknown command"
		}
	})
}

// TestAgeBounded applies updates and replies whose age is negative or beyond any
// bound: the replica must not count as fresh because of them, now or later.
func TestAgeBounded(t *testing.T) {
	for _, age := range []time.Duration{-1, math.MinInt64, math.MaxInt64, maxAge + 1} {
		s := &State{}
		tr := New(s, nil, nil, "a", func() []announcer.Member { return nil }, slog.New(slog.DiscardHandler))
		u := Update{From: "b", Deltas: []Delta{{Kind: Configs, Snapshot: true, AsOf: 3}}}
		u.Positions[Configs] = Position{AsOf: 3, Age: age}
		tr.Receive(t.Context(), u)
		if got := s.Position(time.Now(), Configs); got.AsOf != 0 {
			t.Errorf("age %d: got: %+v want: not applied", age, got)
		}
	}
	s := &State{}
	if _, p := s.SinceAt(time.Now(), Configs, 0, 0); p.Age != maxAge {
		t.Errorf("got: age %v of an empty replica want: %v", p.Age, maxAge)
	}
	if _, err := s.Apply(time.Now().Add(time.Hour), Delta{Kind: Configs, Snapshot: true, AsOf: 3}); err != nil {
		t.Fatal(err)
	}
	if p := s.Position(time.Now(), Configs); p.Age < 0 {
		t.Errorf("got: age %v want: 0 or above", p.Age)
	}
}
