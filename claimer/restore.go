package claimer

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"poplarwind/internal/sleeper"
	"poplarwind/storer"
)

const (
	// retainTime is how long an entry retains its claims, to write them again. It is
	// longer than the age of the backups that a store is restored from.
	retainTime = 20 * time.Second
	// maxRetained bounds the changes of claims that an entry retains, and
	// maxRetainedBody the bodies of their outcomes, in bytes.
	maxRetained     = 4096
	maxRetainedBody = 4 << 10
	// restoreInterval is the time between two checks for claims to write again, and
	// restoreWriters the number of claims that are written at a time.
	restoreInterval = 50 * time.Millisecond
	restoreWriters  = 16
	// reclaimTime is the time after a store was restored in which entries write
	// their claims again, and none is granted.
	reclaimTime = 2 * time.Second
)

// retainedClaim is a claim that this entry acquired.
type retainedClaim struct {
	claim Claim
	// era is the latest era in which the store is known to have the record.
	era uint64
	// changedAt is when the record changed last.
	changedAt time.Time
}

// retain retains a claim whose record was written in an era of the store.
func (c *Claimer) retain(cl Claim, era uint64) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retained == nil {
		c.retained = make(map[string]*retainedClaim)
	}
	c.expire(now)
	c.retained[cl.path] = &retainedClaim{claim: cl, era: era, changedAt: now}
	c.order = append(c.order, retention{path: cl.path, at: now})
}

// retention is the retention of the claim of a path from a time on.
type retention struct {
	path string
	at   time.Time
}

// expire drops the claims that have been retained for long enough, and the oldest if
// there are too many. The lock must be held.
func (c *Claimer) expire(now time.Time) {
	for len(c.order) > 0 && (len(c.order) >= maxRetained || now.Sub(c.order[0].at) > retainTime) {
		if r := c.retained[c.order[0].path]; r != nil && !r.changedAt.After(c.order[0].at) {
			delete(c.retained, c.order[0].path)
		}
		c.order = c.order[1:]
	}
}

// retainFinal updates a retained claim by its final record.
func (c *Claimer) retainFinal(cl Claim) {
	if o := cl.record.Outcome; o != nil && len(o.Body) > maxRetainedBody {
		cl.record.Outcome = &Outcome{Status: o.Status, Type: o.Type, Omitted: true}
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.retained[cl.path]
	if r == nil || r.claim.record.Attempt != cl.record.Attempt {
		return
	}
	c.expire(now)
	c.retained[cl.path] = &retainedClaim{claim: cl, era: r.era, changedAt: now}
	c.order = append(c.order, retention{path: cl.path, at: now})
}

// confirm records that the store has the final record of a claim in an era.
func (c *Claimer) confirm(cl *Claim, era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.retained[cl.path]
	if r != nil && r.claim.record.Attempt == cl.record.Attempt && r.claim.record.State == cl.record.State {
		r.era = max(r.era, era)
	}
}

// observeEra records the era of a response of the store and returns the latest one.
func (c *Claimer) observeEra(era uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era > c.era {
		c.era, c.reclaimUntil = era, time.Now().Add(reclaimTime)
	}
	return c.era
}

// reclaimWait returns the time for which no claim is granted, not positive if there is
// none: a store that was restored from a backup may lack the claims of others.
func (c *Claimer) reclaimWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(c.reclaimUntil)
}

// Restore writes the claims that this entry has acquired again when the store was
// restored from a backup, which may lack them, until ctx ends.
func (c *Claimer) Restore(ctx context.Context) error {
	for ; ctx.Err() == nil; sleeper.Sleep(ctx, restoreInterval) {
		era := c.observeEra(c.store.Era())
		var group errgroup.Group
		group.SetLimit(restoreWriters)
		for _, cl := range c.unconfirmed(era) {
			group.Go(func() error {
				if c.rewrite(ctx, &cl) {
					c.confirm(&cl, era)
				}
				return nil
			})
		}
		_ = group.Wait() // The functions return no errors.
	}
	return nil
}

// unconfirmed returns the claims that the store may lack in an era, the latest first:
// the backup lacks the last writes.
func (c *Claimer) unconfirmed(era uint64) []Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(time.Now())
	var retained []*retainedClaim
	for _, r := range c.retained {
		if r.era < era {
			retained = append(retained, r)
		}
	}
	slices.SortFunc(retained, func(a, b *retainedClaim) int { return b.changedAt.Compare(a.changedAt) })
	out := make([]Claim, len(retained))
	for i, r := range retained {
		out[i] = r.claim
	}
	return out
}

// rewrite writes the record of a claim again if the store lacks it. It reports false if
// this has to be tried again.
func (c *Claimer) rewrite(ctx context.Context, cl *Claim) bool {
	o, err := c.store.Get(ctx, cl.path)
	switch {
	case err == nil && !replaceable(o, cl.record):
		return true
	case err != nil && !errors.Is(err, storer.ErrNotFound):
		return false
	}
	_, err = c.store.Put(ctx, cl.path, cl.record.encode(), o.Version)
	return err == nil
}

// replaceable reports whether a stored record gives way to a claim of an earlier era.
// That of another attempt does, unless the claim was released: the other attempt has
// begun later, and does not run the call during reclaimTime.
func replaceable(o storer.Object, r record) bool {
	stored, err := decode(o.Data)
	switch {
	case err != nil:
		return false
	case stored.Attempt == r.Attempt:
		return stored.State == Claimed && r.State != Claimed
	}
	return r.State != Void
}

// resetLost makes the next write of a claim expect no record, after the store was found
// to have none, if it was restored since the record was written. Otherwise the read was
// stale.
func (c *Claimer) resetLost(cl *Claim) {
	if cl.revision.Era < c.currentEra() {
		cl.revision = storer.Revision{}
	}
}

func (c *Claimer) currentEra() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}
