package claimer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	_ "poplarwind/internal/seeder"
	"poplarwind/storer"
)

// restorableStore is a store that can be replaced by a backup without its last writes.
type restorableStore struct {
	mu      sync.Mutex
	writes  []storer.Object
	era     uint64
	isolate map[string]bool
}

// entryStore is the store as one entry reaches it.
type entryStore struct {
	*restorableStore
	entry string
}

func (s *restorableStore) newest(path string) (storer.Object, bool) {
	for _, o := range slices.Backward(s.writes) {
		if o.Path == path {
			return o, true
		}
	}
	return storer.Object{}, false
}

// call takes the time of one call and reports whether the entry reaches the store.
func (s entryStore) call() bool {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isolate[s.entry]
}

func (s entryStore) Get(_ context.Context, path string) (storer.Object, error) {
	if !s.call() {
		return storer.Object{}, storer.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.newest(path); ok {
		return o, nil
	}
	return storer.Object{}, storer.ErrNotFound
}

func (s entryStore) Put(_ context.Context, path string, data []byte, expect uint64) (storer.Revision, error) {
	if !s.call() {
		return storer.Revision{}, storer.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, _ := s.newest(path); o.Version != expect {
		return storer.Revision{}, storer.ErrConflict
	}
	o := storer.Object{Path: path, Version: uint64(len(s.writes) + 1), Era: s.era, Data: slices.Clone(data)}
	s.writes = append(s.writes, o)
	return o.Revision(), nil
}

// Era returns the era that the entry's watch of the settings reports.
func (s entryStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isolate[s.entry] {
		return 0
	}
	return s.era
}

func (s *restorableStore) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = slices.Clone(s.writes[:max(0, len(s.writes)-lost)])
	s.era++
}

func (s *restorableStore) setIsolated(isolated bool, entries ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isolate == nil {
		s.isolate = make(map[string]bool)
	}
	for _, e := range entries {
		s.isolate[e] = isolated
	}
}

const (
	restoreEntries = 12
	restoreKeys    = 60
)

// startClaimers returns the claimers of some entries, which run until ctx ends.
func startClaimers(ctx context.Context, s *restorableStore) []*Claimer {
	var out []*Claimer
	for i := range restoreEntries {
		name := fmt.Sprintf("e%02d", i)
		c := New(entryStore{s, name}, name)
		go func() { _ = c.Run(ctx) }()
		go func() { _ = c.Restore(ctx) }()
		out = append(out, c)
	}
	return out
}

// acquire acquires the claim of a key with the given time limit.
func acquire(ctx context.Context, c *Claimer, key int, limit time.Duration) (*Claim, *Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.Acquire(ctx, "/t/s", fmt.Sprint(key), "digest")
}

// endings are the ways in which the first attempt of a key goes on.
var endings = []func(c *Claimer, cl *Claim){
	func(*Claimer, *Claim) {}, // still in progress
	func(c *Claimer, cl *Claim) { c.RecordOutcome(cl, Outcome{Status: 200, Body: []byte("done")}) },
	func(c *Claimer, cl *Claim) { c.RecordLost(cl) },
	func(c *Claimer, cl *Claim) { c.Release(cl) },
}

// released reports whether the first attempt of a key has not run the call.
func released(key int) bool { return key%len(endings) == 3 }

// TestCallsRunOnceAfterStoreRestored restores the store from a backup that lacks its last
// writes, the claims of calls among them. Callers repeat their calls at other entries. A
// call that may have run must not be granted again, and one that has not run at most once
// more, although some entries were cut off from the store for a moment.
func TestCallsRunOnceAfterStoreRestored(t *testing.T) {
	for _, lost := range []int{0, 1, 30, 1000} {
		for _, isolated := range []bool{false, true} {
			for _, limit := range []time.Duration{time.Second, 10 * time.Second} {
				t.Run(fmt.Sprint(lost, " lost, isolated ", isolated, ", ", limit), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(t.Context())
						defer time.Sleep(time.Minute)
						defer cancel()
						s := &restorableStore{}
						claimers := startClaimers(ctx, s)
						for key := range restoreKeys {
							c := claimers[key%restoreEntries]
							cl, _, err := acquire(ctx, c, key, time.Second)
							if err != nil {
								t.Fatal(err)
							}
							endings[key%len(endings)](c, cl)
						}
						time.Sleep(100 * time.Millisecond)
						s.restore(lost)
						if isolated {
							s.setIsolated(true, "e00", "e01", "e02")
							time.AfterFunc(time.Second, func() { s.setIsolated(false, "e00", "e01", "e02") })
						}
						checkRepeats(ctx, t, claimers, limit)
					})
				})
			}
		}
	}
}

// checkRepeats repeats each call at two other entries at once, and once more later.
func checkRepeats(ctx context.Context, t *testing.T, claimers []*Claimer, limit time.Duration) {
	granted := make([]int, restoreKeys)
	var mu sync.Mutex
	repeat := func(key, entry int) {
		cl, o, err := acquire(ctx, claimers[entry%restoreEntries], key, limit)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case cl != nil:
			granted[key]++
		case o != nil && o.Status != 200:
			t.Errorf("key %d: got: status %d want: 200", key, o.Status)
		case o == nil && !errors.Is(err, ErrMayHaveRun) && !errors.Is(err, ErrNoClaim):
			t.Errorf("key %d: got: %v want: a claim, an outcome or a rejection", key, err)
		}
	}
	for _, wait := range []time.Duration{0, 20 * time.Second} {
		time.Sleep(wait)
		var wg sync.WaitGroup
		for key := range restoreKeys {
			wg.Go(func() { repeat(key, key+5) })
			wg.Go(func() { repeat(key, key+7) })
		}
		wg.Wait()
	}
	for key, n := range granted {
		if n > 0 && !released(key) || n > 1 {
			t.Errorf("key %d: got: granted %d times again want: none of a call that may have run, one otherwise", key, n)
		}
		if released(key) && n == 0 {
			t.Errorf("key %d: got: no claim 20 s later want: one", key)
		}
	}
}
