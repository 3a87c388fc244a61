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
	"poplarwind/storer"
)

const testPath = storer.Prefix + "/t/s"

// object returns the given version of testPath, with a valid or an invalid
// document.
func object(version uint64, valid bool) storer.Object {
	return numbered(storer.Revision{Version: version}, version, valid)
}

// numbered returns a revision of testPath with the document of a number, valid or
// invalid.
func numbered(r storer.Revision, number uint64, valid bool) storer.Object {
	slots := 0
	if valid {
		slots = 1 + int(number)
	}
	data := fmt.Sprintf(`{"id":"%d","doc":"{\"slots\": %d}"}`, number, slots)
	return storer.Object{Path: testPath, Version: r.Version, Era: r.Era, Data: []byte(data)}
}

// numberInForce returns the number of the document in force, 0 if there is none.
func numberInForce(c *Cache) uint64 {
	s := c.Snapshot().Service("/t/s")
	if s == nil {
		return 0
	}
	return uint64(s.Slots() - 1)
}

// TestCacheAdvances applies versions in random order to two caches. The version in
// force never decreases and ends as the newest valid version in both.
func TestCacheAdvances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valid := rapid.SliceOfN(rapid.Bool(), 1, 12).Draw(t, "good")
		var objects []storer.Object
		var want uint64
		for i, ok := range valid {
			objects = append(objects, object(uint64(i+1), ok))
			if ok {
				want = uint64(i + 1)
			}
		}
		var digests []uint64
		for n := range 2 {
			var cache Cache
			var last uint64
			for _, o := range rapid.Permutation(append(objects, objects...)).Draw(t, fmt.Sprint("order", n)) {
				cache.Apply(o)
				now := cache.Snapshot().States()[0].Version()
				if now < last {
					t.Fatalf("version decreased: got: %d want: at least %d", now, last)
				}
				last = now
				if s := cache.Snapshot().Service("/t/s"); s != nil && uint64(s.Slots()) != 1+now {
					t.Fatalf("settings in force: got: %d slots want: %d", s.Slots(), 1+now)
				}
			}
			if last != want {
				t.Fatalf("in force: got: %d want: %d", last, want)
			}
			digests = append(digests, cache.Snapshot().Digest())
		}
		if digests[0] != digests[1] {
			t.Fatalf("digests differ: %v", digests)
		}
	})
}

func TestRejectedVersion(t *testing.T) {
	var cache Cache
	cache.Apply(object(1, true))
	cache.Apply(object(2, false))
	state := cache.Snapshot().States()[0]
	v, fault := state.Rejected()
	if diff := cmp.Diff([]uint64{1, 2}, []uint64{state.Version(), v}); diff != "" || fault == nil {
		t.Errorf("in force and rejected: %s, fault %v", diff, fault)
	}
	cache.Apply(object(3, true))
	if v, fault := cache.Snapshot().States()[0].Rejected(); v != 0 || fault != nil {
		t.Errorf("after a valid version: got: %d, %v want: 0, nil", v, fault)
	}
}

// faultyStore is a store that holds the history of one object and has faults
// that can be switched on and off.
type faultyStore struct {
	mu      sync.Mutex
	objects []storer.Object
	// era counts the restores, and written the documents.
	era, written uint64
	// unavailable makes all calls fail, and watchesEmpty makes watches report no
	// changes. The newest staleBy versions are not returned by any call.
	unavailable, watchesEmpty bool
	staleBy                   int
	// failEvery makes every call whose number it divides fail, if it is not 0.
	failEvery, calls int
}

func (s *faultyStore) read() ([]storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable || s.failEvery > 0 && s.calls%s.failEvery == 0 {
		return nil, storer.ErrUnavailable
	}
	return s.objects[:max(0, len(s.objects)-s.staleBy)], nil
}

// write writes the next document.
func (s *faultyStore) write(valid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written++
	s.objects = append(s.objects, numbered(storer.Revision{Era: s.era, Version: uint64(len(s.objects) + 1)}, s.written, valid))
}

// restore replaces the objects by a backup that lacks the last ones.
func (s *faultyStore) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = slices.Clone(s.objects[:max(0, len(s.objects)-lost)])
	s.era++
}

// newestValid returns the number of the newest valid document.
func (s *faultyStore) newestValid() uint64 {
	var c Cache
	for _, o := range s.objects {
		c.Apply(o)
	}
	return numberInForce(&c)
}

func (s *faultyStore) Get(ctx context.Context, path string) (storer.Object, error) {
	return s.GetVersion(ctx, path, 0)
}

func (s *faultyStore) GetVersion(_ context.Context, _ string, version uint64) (storer.Object, error) {
	o, err := s.read()
	if err != nil {
		return storer.Object{}, err
	}
	for _, v := range slices.Backward(o) {
		if version == 0 || v.Version == version {
			return v, nil
		}
	}
	return storer.Object{}, storer.ErrNotFound
}

func (s *faultyStore) Versions(context.Context, string) ([]storer.VersionRef, error) {
	o, err := s.read()
	var out []storer.VersionRef
	for _, v := range slices.Backward(o) {
		out = append(out, storer.VersionRef{Path: v.Path, Version: v.Version, Era: v.Era})
	}
	return out, err
}

func (s *faultyStore) List(ctx context.Context, _ string) ([]storer.VersionRef, error) {
	v, err := s.Versions(ctx, testPath)
	return v[:min(1, len(v))], err
}

func (s *faultyStore) Watch(ctx context.Context, _ string, after storer.Revision, wait time.Duration) (storer.Batch, error) {
	end := time.Now().Add(wait)
	for time.Now().Before(end) && ctx.Err() == nil {
		o, err := s.read()
		if err != nil {
			return storer.Batch{}, err
		}
		s.mu.Lock()
		watchesEmpty, era := s.watchesEmpty, s.era
		s.mu.Unlock()
		if n := len(o); n > 0 && o[n-1].Version > after.Version && era == after.Era && !watchesEmpty {
			return storer.Batch{After: o[n-1].Version, Era: era, Changes: []storer.VersionRef{{Path: testPath, Version: o[n-1].Version, Era: o[n-1].Era}}}, nil
		}
		time.Sleep(20 * time.Millisecond)
		if era != after.Era {
			return storer.Batch{After: after.Version, Era: era}, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return storer.Batch{After: after.Version, Era: s.era}, nil
}

// TestFollowerConverges writes valid and invalid versions to a store with
// changing faults, which is sometimes restored from a backup that lacks the last of
// them. The document in force never gives way to an older one, and is the newest valid
// one within 10 s of the store's recovery, even if watches still report no changes.
func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			Write, Valid, Unavailable, WatchesEmpty bool
			StaleBy, FailEvery, Lost                int
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				rapid.Bool().Draw(t, "write"), rapid.Bool().Draw(t, "good"), rapid.Bool().Draw(t, "down"),
				rapid.Bool().Draw(t, "deaf"), rapid.IntRange(0, 3).Draw(t, "stale"),
				rapid.SampledFrom([]int{0, 2, 3, 5}).Draw(t, "flaky"),
				rapid.SampledFrom([]int{-1, -1, -1, 0, 1, 2, 5}).Draw(t, "lost"),
			}
		}), 1, 10).Draw(rt, "steps")
		pause := rapid.IntRange(1, 3000).Draw(rt, "pause")
		var fault string
		synctest.Test(t, func(*testing.T) {
			s, cache := &faultyStore{}, &Cache{}
			f := NewFollower(cache, s, 5*time.Second, slog.New(slog.DiscardHandler))
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { _ = f.Watch(ctx) })
			wg.Go(func() { _ = f.Resync(ctx) })
			var last uint64
			checkNumber := func() {
				got := numberInForce(cache)
				if got < last {
					fault = fmt.Sprintf("document in force: got: %d want: at least %d", got, last)
				}
				last = got
			}
			for _, v := range steps {
				s.mu.Lock()
				s.unavailable, s.watchesEmpty, s.staleBy, s.failEvery = v.Unavailable, v.WatchesEmpty, v.StaleBy, v.FailEvery
				s.mu.Unlock()
				if v.Lost >= 0 {
					s.restore(v.Lost)
				}
				if v.Write {
					s.write(v.Valid)
				}
				time.Sleep(time.Duration(pause) * time.Millisecond)
				checkNumber()
			}
			s.mu.Lock()
			s.unavailable, s.staleBy, s.failEvery = false, 0, 0
			s.mu.Unlock()
			before := last
			time.Sleep(10 * time.Second)
			checkNumber()
			if want := max(before, s.newestValid()); last != want {
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

// failsVersionsOnce is a store whose first Versions call fails.
type failsVersionsOnce struct {
	*faultyStore
	failed bool
}

func (f *failsVersionsOnce) Versions(ctx context.Context, path string) ([]storer.VersionRef, error) {
	if !f.failed {
		f.failed = true
		return nil, storer.ErrUnavailable
	}
	return f.faultyStore.Versions(ctx, path)
}

// TestVersionSearchIsRetried guards against an accepted version being skipped
// when the newest version is rejected and the Versions call that searches the
// older ones fails: the next comparison must search again.
func TestVersionSearchIsRetried(t *testing.T) {
	s := &failsVersionsOnce{faultyStore: &faultyStore{objects: []storer.Object{object(1, true), object(2, true), object(3, false)}}}
	var cache Cache
	cache.Apply(object(1, true))
	f := NewFollower(&cache, s, time.Second, slog.New(slog.DiscardHandler))
	first := f.compare(context.Background())
	second := f.compare(context.Background())
	if first == nil || second != nil {
		t.Errorf("comparisons: got: %v, %v want: an error, then none", first, second)
	}
	if got := cache.Snapshot().States()[0].Version(); got != 2 {
		t.Errorf("in force: got: %d want: 2", got)
	}
}
