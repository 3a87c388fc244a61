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
	"poplarwind/keeper"
)

const (
	watchTimeout = 5 * time.Second
	retryDelay   = 500 * time.Millisecond
)

// Follower updates a Book from the store. Watch and Resync are each run by one
// goroutine until their context ends.
type Follower struct {
	book   *Cache
	store  keeper.Reader
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
	scanned map[string]uint64
}

// NewFollower returns a follower of the store that performs a full comparison
// every resync.
func NewFollower(b *Cache, s keeper.Reader, resync time.Duration, log *slog.Logger) *Follower {
	return &Follower{book: b, store: s, resync: resync, log: log}
}

// Synced reports whether a full comparison has succeeded since the start.
func (f *Follower) Synced() bool { return f.synced.Load() }

// Staleness returns the time since the store's last response, or 0 if there was none.
func (f *Follower) Staleness() time.Duration {
	n := f.lastRead.Load()
	if n == 0 {
		return 0
	}
	return time.Since(time.Unix(0, n))
}

// Watch applies the changes that the store's watch returns. A failed watch
// restarts from the last version processed; changes that it misses are found
// by Resync.
func (f *Follower) Watch(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		b, err := f.store.Watch(ctx, keeper.Prefix, after, watchTimeout)
		if err != nil {
			sleeper.Sleep(ctx, retryDelay)
			continue
		}
		f.lastRead.Store(time.Now().UnixNano())
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
		after = max(after, b.After)
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
	stamps, err := f.store.List(ctx, keeper.Prefix)
	if err != nil {
		return err
	}
	f.lastRead.Store(time.Now().UnixNano())
	for _, s := range stamps {
		if err := f.fetch(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// fetch reads the version that s identifies and applies it. If it is rejected,
// fetch searches older versions for the newest acceptable one.
func (f *Follower) fetch(ctx context.Context, s keeper.VersionRef) error {
	path := strings.TrimPrefix(s.Path, keeper.Prefix)
	if e := f.book.Snapshot().entries[path]; f.upToDate(path, e, s.Version) {
		return nil
	}
	o, err := f.store.GetVersion(ctx, s.Path, s.Version)
	if errors.Is(err, keeper.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if f.book.Apply(o) {
		f.logResult(o)
	}
	e := f.book.Snapshot().entries[path]
	if e == nil || e.rejected != s.Version {
		return nil
	}
	if err := f.findAccepted(ctx, s.Path, e.Version()); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.scanned == nil {
		f.scanned = make(map[string]uint64)
	}
	f.scanned[path] = s.Version
	return nil
}

// upToDate reports whether version needs no fetch: it is not above the accepted
// version, or not above the newest one whose predecessors were searched.
func (f *Follower) upToDate(path string, e *PathState, version uint64) bool {
	if e == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return version <= max(e.Version(), f.scanned[path])
}

// findAccepted applies versions from the newest downwards until one is accepted
// or the version accepted is reached.
func (f *Follower) findAccepted(ctx context.Context, path string, accepted uint64) error {
	stamps, err := f.store.Versions(ctx, path)
	if err != nil {
		return err
	}
	for _, s := range stamps {
		if s.Version <= accepted {
			return nil
		}
		o, err := f.store.GetVersion(ctx, path, s.Version)
		if err != nil {
			return err
		}
		if f.book.Apply(o); f.book.Snapshot().entries[path[len(keeper.Prefix):]].Version() == s.Version {
			f.logResult(o)
			return nil
		}
	}
	return nil
}

// logResult logs whether o was accepted or rejected.
func (f *Follower) logResult(o keeper.Object) {
	e := f.book.Snapshot().entries[o.Path[len(keeper.Prefix):]]
	if e == nil {
		return
	}
	if e.rejected == o.Version {
		f.log.Warn("settings refused", "path", e.Path(), "version", o.Version, "inforce", e.Version(), "error", e.fault.Error())
		return
	}
	f.log.Info("settings in force", "path", e.Path(), "version", o.Version)
}
