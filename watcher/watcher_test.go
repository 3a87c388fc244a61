package watcher

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "poplarwind/internal/seeder"
	"poplarwind/keeper"
)

const testPath = keeper.Prefix + "/t/s"

// object is a version of the test's path, accepted or not.
func object(version uint64, good bool) keeper.Object {
	slots := 0
	if good {
		slots = 1 + int(version)
	}
	data := fmt.Sprintf(`{"id":"%d","doc":"{\"slots\": %d}"}`, version, slots)
	return keeper.Object{Path: testPath, Version: version, Data: []byte(data)}
}

// TestBookAdvances offers versions in any order to two books: what is in
// force never falls and ends as the newest accepted version in both.
func TestBookAdvances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		good := rapid.SliceOfN(rapid.Bool(), 1, 12).Draw(t, "good")
		var objects []keeper.Object
		var want uint64
		for i, g := range good {
			objects = append(objects, object(uint64(i+1), g))
			if g {
				want = uint64(i + 1)
			}
		}
		var digests []uint64
		for n := range 2 {
			var b Book
			var last uint64
			for _, o := range rapid.Permutation(append(objects, objects...)).Draw(t, fmt.Sprint("order", n)) {
				b.Offer(o)
				now := b.View().Entries()[0].Version()
				if now < last {
					t.Fatalf("version fell: got: %d want: at least %d", now, last)
				}
				last = now
				if s := b.View().Service("/t/s"); s != nil && uint64(s.Slots()) != 1+now {
					t.Fatalf("settings in force: got: %d slots want: %d", s.Slots(), 1+now)
				}
			}
			if last != want {
				t.Fatalf("in force: got: %d want: %d", last, want)
			}
			digests = append(digests, b.View().Digest())
		}
		if digests[0] != digests[1] {
			t.Fatalf("digests differ: %v", digests)
		}
	})
}

func TestRefusedIsReported(t *testing.T) {
	var b Book
	b.Offer(object(1, true))
	b.Offer(object(2, false))
	e := b.View().Entries()[0]
	v, fault := e.Refused()
	if diff := cmp.Diff([]uint64{1, 2}, []uint64{e.Version(), v}); diff != "" || fault == nil {
		t.Errorf("in force and refused: %s, fault %v", diff, fault)
	}
	b.Offer(object(3, true))
	if v, fault := b.View().Entries()[0].Refused(); v != 0 || fault != nil {
		t.Errorf("after a good version: got: %d, %v want: 0, nil", v, fault)
	}
}

// sick is a store with a history that goes wrong by turns.
type sick struct {
	mu      sync.Mutex
	objects []keeper.Object
	// down, deaf and stale say what is wrong now; stale hides the newest
	// versions.
	down, deaf bool
	stale      int
	// flaky fails each call whose number it divides, if it is not 0.
	flaky, calls int
}

func (s *sick) seen() ([]keeper.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down || s.flaky > 0 && s.calls%s.flaky == 0 {
		return nil, keeper.ErrUnavailable
	}
	return s.objects[:max(0, len(s.objects)-s.stale)], nil
}

func (s *sick) Get(ctx context.Context, path string) (keeper.Object, error) {
	return s.GetVersion(ctx, path, 0)
}

func (s *sick) GetVersion(_ context.Context, _ string, version uint64) (keeper.Object, error) {
	o, err := s.seen()
	if err != nil {
		return keeper.Object{}, err
	}
	for _, v := range slices.Backward(o) {
		if version == 0 || v.Version == version {
			return v, nil
		}
	}
	return keeper.Object{}, keeper.ErrAbsent
}

func (s *sick) Versions(context.Context, string) ([]keeper.Stamp, error) {
	o, err := s.seen()
	var out []keeper.Stamp
	for _, v := range slices.Backward(o) {
		out = append(out, keeper.Stamp{Path: v.Path, Version: v.Version})
	}
	return out, err
}

func (s *sick) List(ctx context.Context, _ string) ([]keeper.Stamp, error) {
	v, err := s.Versions(ctx, testPath)
	return v[:min(1, len(v))], err
}

func (s *sick) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (keeper.Batch, error) {
	end := time.Now().Add(wait)
	for time.Now().Before(end) && ctx.Err() == nil {
		o, err := s.seen()
		if err != nil {
			return keeper.Batch{}, err
		}
		s.mu.Lock()
		deaf := s.deaf
		s.mu.Unlock()
		if n := len(o); n > 0 && o[n-1].Version > after && !deaf {
			return keeper.Batch{After: o[n-1].Version, Changes: []keeper.Stamp{{Path: testPath, Version: o[n-1].Version}}}, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return keeper.Batch{After: after}, nil
}

// TestFollowerConverges lets a store go wrong by turns while versions are
// written, good and bad. What is in force never falls, and is the newest
// accepted version within 10 s of the store's recovery, even if watches stay
// deaf.
func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			Write, Good, Down, Deaf bool
			Stale, Flaky            int
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				rapid.Bool().Draw(t, "write"), rapid.Bool().Draw(t, "good"), rapid.Bool().Draw(t, "down"),
				rapid.Bool().Draw(t, "deaf"), rapid.IntRange(0, 3).Draw(t, "stale"),
				rapid.SampledFrom([]int{0, 2, 3, 5}).Draw(t, "flaky"),
			}
		}), 1, 10).Draw(rt, "steps")
		pause := rapid.IntRange(1, 3000).Draw(rt, "pause")
		var fault string
		synctest.Test(t, func(*testing.T) {
			s, b := &sick{}, &Book{}
			f := NewFollower(b, s, 5*time.Second, slog.New(slog.DiscardHandler))
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { _ = f.Watch(ctx) })
			wg.Go(func() { _ = f.Resync(ctx) })
			var last, want uint64
			look := func() {
				if e := b.View().Entries(); len(e) > 0 {
					if e[0].Version() < last {
						fault = fmt.Sprintf("version fell: got: %d want: at least %d", e[0].Version(), last)
					}
					last = e[0].Version()
				}
			}
			for _, v := range steps {
				s.mu.Lock()
				s.down, s.deaf, s.stale, s.flaky = v.Down, v.Deaf, v.Stale, v.Flaky
				if v.Write {
					n := uint64(len(s.objects) + 1)
					s.objects = append(s.objects, object(n, v.Good))
					if v.Good {
						want = n
					}
				}
				s.mu.Unlock()
				time.Sleep(time.Duration(pause) * time.Millisecond)
				look()
			}
			s.mu.Lock()
			s.down, s.stale, s.flaky = false, 0, 0
			s.mu.Unlock()
			time.Sleep(10 * time.Second)
			look()
			if last != want {
				fault = fmt.Sprintf("in force: got: %d want: %d", last, want)
			}
			cancel()
			wg.Wait()
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// failing fails one listing of versions.
type failing struct {
	*sick
	failed bool
}

func (f *failing) Versions(ctx context.Context, path string) ([]keeper.Stamp, error) {
	if !f.failed {
		f.failed = true
		return nil, keeper.ErrUnavailable
	}
	return f.sick.Versions(ctx, path)
}

// TestLookBackIsRetried loses the answer that a refused newest version is
// looked back with: the accepted one behind it comes into force all the same.
func TestLookBackIsRetried(t *testing.T) {
	s := &failing{sick: &sick{objects: []keeper.Object{object(1, true), object(2, true), object(3, false)}}}
	var b Book
	b.Offer(object(1, true))
	f := NewFollower(&b, s, time.Second, slog.New(slog.DiscardHandler))
	first := f.compare(context.Background())
	second := f.compare(context.Background())
	if first == nil || second != nil {
		t.Errorf("comparisons: got: %v, %v want: an error, then none", first, second)
	}
	if got := b.View().Entries()[0].Version(); got != 2 {
		t.Errorf("in force: got: %d want: 2", got)
	}
}
