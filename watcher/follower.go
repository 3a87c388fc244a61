package watcher

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"poplarwind/internal/sleeper"
	"poplarwind/storer"
)

const (
	watchTimeout = 5 * time.Second
	retryDelay   = 500 * time.Millisecond
)

// Follower updates a Cache from the store. Watch and Resync are each run by one
// goroutine until their context ends.
type Follower struct {
	cache  *Cache
	store  storer.Reader
	log    *slog.Logger
	resync time.Duration
	// synced is set once a full comparison has succeeded.
	synced atomic.Bool
	// lastRead is the time of the store's last response to a watch or a list
	// request, in Unix nanoseconds.
	lastRead atomic.Int64

	mu sync.Mutex
	// scanned holds, for each settings path, the newest rejected version whose
	// older versions have been searched for an accepted one.
	scanned map[string]storer.Revision
}

// NewFollower returns a follower of the store that performs a full comparison
// every resync.
func NewFollower(cache *Cache, s storer.Reader, resync time.Duration, log *slog.Logger) *Follower {
	return &Follower{cache: cache, store: s, resync: resync, log: log}
}

// Synced reports whether a full comparison has succeeded since the start.
func (f *Follower) Synced() bool { return f.synced.Load() }

// Staleness returns the time since the store's last response, or 0 if there was
// none.
func (f *Follower) Staleness() time.Duration {
	n := f.lastRead.Load()
	if n == 0 {
		return 0
	}
	return time.Since(time.Unix(0, n))
}

// Watch applies the changes that the store's watch returns. A failed watch
// restarts from the last version processed; changes that it misses are found
// by Resync. In a new era of the store it restarts from the first version.
func (f *Follower) Watch(ctx context.Context) error {
	var after storer.Revision
	for ctx.Err() == nil {
		b, err := f.store.Watch(ctx, storer.Prefix, after, watchTimeout)
		if err != nil {
			sleeper.Sleep(ctx, retryDelay)
			continue
		}
		f.lastRead.Store(time.Now().UnixNano())
		if b.Era > after.Era {
			f.log.Warn("store era changed", "era", b.Era, "was", after.Era, "after", after.Version)
			after = storer.Revision{Era: b.Era}
			continue
		}
		failed := false
		for _, c := range b.Changes {
			if err := f.fetch(ctx, c); err != nil {
				failed = true
			}
		}
		if failed {
			sleeper.Sleep(ctx, retryDelay)
			continue
		}
		after.Version = max(after.Version, b.After)
	}
	return nil
}

// Resync compares all settings with the store at the resync interval. After a
// failed comparison it waits for at most retryDelay.
func (f *Follower) Resync(ctx context.Context) error {
	for ctx.Err() == nil {
		d := f.resync
		if err := f.compare(ctx); err != nil {
			f.log.Warn("settings comparison failed", "error", err.Error())
			d = min(d, retryDelay)
		} else {
			f.synced.Store(true)
		}
		sleeper.Sleep(ctx, d)
	}
	return nil
}

// compare lists all settings in the store and fetches those that have changed.
func (f *Follower) compare(ctx context.Context) error {
	refs, err := f.store.List(ctx, storer.Prefix)
	if err != nil {
		return err
	}
	f.lastRead.Store(time.Now().UnixNano())
	for _, ref := range refs {
		if err := f.fetch(ctx, ref); err != nil {
			return err
		}
	}
	return nil
}

// fetch reads the version that ref identifies and applies it. If it is rejected,
// fetch searches older versions for the newest acceptable one.
func (f *Follower) fetch(ctx context.Context, ref storer.VersionRef) error {
	path := strings.TrimPrefix(ref.Path, storer.Prefix)
	if state := f.cache.Snapshot().states[path]; f.upToDate(path, state, ref.Revision()) {
		return nil
	}
	o, err := f.store.GetVersion(ctx, ref.Path, ref.Version)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if f.cache.Apply(o) {
		f.logResult(o)
	}
	state := f.cache.Snapshot().states[path]
	if state == nil || state.rejected != o.Revision() {
		return nil
	}
	if err := f.findAccepted(ctx, ref.Path, state.object.Revision()); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.scanned == nil {
		f.scanned = make(map[string]storer.Revision)
	}
	f.scanned[path] = o.Revision()
	return nil
}

// upToDate reports whether version need not be fetched: it is not above the
// accepted version, or not above the newest rejected version whose older versions
// have been searched.
func (f *Follower) upToDate(path string, state *PathState, version storer.Revision) bool {
	if state == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return version.Compare(state.object.Revision()) <= 0 || version.Compare(f.scanned[path]) <= 0
}

// findAccepted applies versions from the newest downwards until one is accepted
// or the version accepted is reached.
func (f *Follower) findAccepted(ctx context.Context, path string, accepted storer.Revision) error {
	refs, err := f.store.Versions(ctx, path)
	if err != nil {
		return err
	}
	for _, ref := range refs {
		if ref.Revision().Compare(accepted) <= 0 {
			return nil
		}
		o, err := f.store.GetVersion(ctx, path, ref.Version)
		if err != nil {
			return err
		}
		if f.cache.Apply(o); f.cache.Snapshot().states[path[len(storer.Prefix):]].object.Revision() == o.Revision() {
			f.logResult(o)
			return nil
		}
	}
	return nil
}

// logResult logs whether o was accepted or rejected.
func (f *Follower) logResult(o storer.Object) {
	state := f.cache.Snapshot().states[o.Path[len(storer.Prefix):]]
	if state == nil {
		return
	}
	if state.rejected == o.Revision() {
		f.log.Warn("settings refused", "path", state.Path(), "version", o.Version, "inforce", state.Version(), "error", state.fault.Error())
		return
	}
	f.log.Info("settings in force", "path", state.Path(), "version", o.Version)
}
