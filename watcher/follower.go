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
	watchWait = 5 * time.Second
	retryWait = 500 * time.Millisecond
)

// Follower feeds a Book from the store. Its methods are its duties; each is
// run by one goroutine until its context ends.
type Follower struct {
	book   *Book
	store  keeper.Reader
	log    *slog.Logger
	resync time.Duration
	// synced is set once a full comparison has ended well.
	synced atomic.Bool
	// lastRead is the time of the last answer of the store, in Unix
	// nanoseconds.
	lastRead atomic.Int64

	mu sync.Mutex
	// looked holds, for each settings path, the newest refused version whose
	// predecessors have all been looked at.
	looked map[string]uint64
}

// NewFollower returns a follower of the store that compares in full every
// resync.
func NewFollower(b *Book, s keeper.Reader, resync time.Duration, log *slog.Logger) *Follower {
	return &Follower{book: b, store: s, resync: resync, log: log}
}

// Synced reports whether the settings were once compared in full.
func (f *Follower) Synced() bool { return f.synced.Load() }

// Age returns how long ago the store last answered, or 0 if it never did.
func (f *Follower) Age() time.Duration {
	n := f.lastRead.Load()
	if n == 0 {
		return 0
	}
	return time.Since(time.Unix(0, n))
}

// Watch follows the store's watch. A lost watch starts over from the
// last version seen; what it missed meanwhile is found by Resync.
func (f *Follower) Watch(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		b, err := f.store.Watch(ctx, keeper.Prefix, after, watchWait)
		if err != nil {
			sleeper.Sleep(ctx, retryWait)
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
			sleeper.Sleep(ctx, retryWait)
			continue
		}
		after = max(after, b.After)
	}
	return nil
}

// Resync compares with the store in full, now and then.
func (f *Follower) Resync(ctx context.Context) error {
	for ctx.Err() == nil {
		d := f.resync
		if err := f.compare(ctx); err != nil {
			f.log.Warn("settings comparison failed", "error", err.Error())
			d = min(d, retryWait)
		} else {
			f.synced.Store(true)
		}
		sleeper.Sleep(ctx, d)
	}
	return nil
}

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

// fetch reads the version that s names and, if it is refused, looks back
// through older versions for one that is accepted.
func (f *Follower) fetch(ctx context.Context, s keeper.Stamp) error {
	path := strings.TrimPrefix(s.Path, keeper.Prefix)
	if e := f.book.View().entries[path]; f.known(path, e, s.Version) {
		return nil
	}
	o, err := f.store.GetVersion(ctx, s.Path, s.Version)
	if errors.Is(err, keeper.ErrAbsent) {
		return nil
	}
	if err != nil {
		return err
	}
	if f.book.Offer(o) {
		f.report(o)
	}
	e := f.book.View().entries[path]
	if e == nil || e.refused != s.Version {
		return nil
	}
	if err := f.lookBack(ctx, s.Path, e.Version()); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.looked == nil {
		f.looked = make(map[string]uint64)
	}
	f.looked[path] = s.Version
	return nil
}

// known reports whether version tells nothing new about the path.
func (f *Follower) known(path string, e *Entry, version uint64) bool {
	if e == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return version <= max(e.Version(), f.looked[path])
}

// lookBack offers versions from the newest down to the first accepted one.
func (f *Follower) lookBack(ctx context.Context, path string, known uint64) error {
	stamps, err := f.store.Versions(ctx, path)
	if err != nil {
		return err
	}
	for _, s := range stamps {
		if s.Version <= known {
			return nil
		}
		o, err := f.store.GetVersion(ctx, path, s.Version)
		if err != nil {
			return err
		}
		if f.book.Offer(o); f.book.View().entries[path[len(keeper.Prefix):]].Version() == s.Version {
			f.report(o)
			return nil
		}
	}
	return nil
}

func (f *Follower) report(o keeper.Object) {
	e := f.book.View().entries[o.Path[len(keeper.Prefix):]]
	if e == nil {
		return
	}
	if e.refused == o.Version {
		f.log.Warn("settings refused", "path", e.Path(), "version", o.Version, "inforce", e.Version(), "error", e.fault.Error())
		return
	}
	f.log.Info("settings in force", "path", e.Path(), "version", o.Version)
}
