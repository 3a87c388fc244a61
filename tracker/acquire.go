package tracker

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/internal/guarder"
	"poplarwind/internal/sleeper"
)

const (
	// An entry without a replica queries others, and lists the store's objects
	// itself after a random part of acquireSpread: callers wait if all entries were
	// restarted. At the first start of the whole deployment there are no callers
	// yet, so it waits for initialAcquireDelay and a random part of
	// initialAcquireSpread, while the first entries that have a replica pass it on.
	acquireSpread        = 40 * time.Millisecond
	initialAcquireDelay  = 250 * time.Millisecond
	initialAcquireSpread = 3 * time.Second
	// acquireInterval is the pause between two queries without a replica.
	acquireInterval = 40 * time.Millisecond
)

// SetInitialStart selects the delays for the first start of the whole deployment. It
// must be called before Follow.
func (t *Tracker) SetInitialStart() {
	t.settle, t.initial = initialSettleTime, true
	t.acquireDelay = initialAcquireDelay + rand.N(initialAcquireSpread)
}

// SetContacts sets the function that returns the entries to query for a first
// replica while no other is known to be live. If this entry is a seed, it reads the
// store at once: the others query it. SetContacts must be called before Follow and
// after SetInitialStart.
func (t *Tracker) SetContacts(contacts func() []announcer.Member, isSeed bool) {
	t.contacts = contacts
	if isSeed {
		t.acquireDelay = 0
	}
}

// acquire obtains the first replica of a kind: from an entry that has one, and from
// the store if none has replied after some time. Many entries may start at the same
// time.
func (t *Tracker) acquire(ctx context.Context, k Kind) {
	now := time.Now()
	wait := t.acquireDelay - now.Sub(t.start)
	if wait > 0 || !t.mayRead(now) {
		queried := make(chan struct{})
		go func() {
			defer close(queried)
			defer guarder.Contain(t.log, "query for a replica", nil)
			t.queryPeers(ctx, k, t.role(now))
		}()
		select {
		case <-queried:
			wait = acquireInterval
		case <-time.After(max(wait, acquireInterval)):
			wait = 0
		}
		if t.state.Position(time.Now(), k).AsOf > 0 {
			return
		}
		sleeper.Sleep(ctx, wait)
		return
	}
	var err error
	if t.initial {
		err = t.list(ctx, k, true)
	} else {
		err = t.readOrList(ctx, k, func() error { return t.listCurrent(ctx, k) })
	}
	t.setReachable(k, err)
	t.recordRead(time.Now(), err)
}

// listCurrent reads a stale list, which costs little, and the changes since. Nothing
// is applied before both were read: the list may name upstreams that have left.
func (t *Tracker) listCurrent(ctx context.Context, k Kind) error {
	ctx, cancel := context.WithTimeout(ctx, 2*ResponseTimeout)
	defer cancel()
	list, err := t.source.List(ctx, k, true)
	if err != nil {
		return err
	}
	if list.Era > FirstEra {
		return t.list(ctx, k, false)
	}
	fresh := time.Now()
	changes, err := t.source.Watch(ctx, k, list.AsOf, time.Millisecond)
	if errors.Is(err, ErrCompacted) || err == nil && changes.Era != list.Era {
		return t.list(ctx, k, false)
	}
	if err != nil {
		return err
	}
	if err := t.apply(fresh.Add(-maxStaleness), list, "store"); err != nil {
		return err
	}
	return t.apply(fresh, changes, "store")
}
