package claimer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"poplarwind/internal/ring"
	"poplarwind/internal/sleeper"
	"poplarwind/storer"
)

const (
	// ErrMismatch reports that the key was used for a different request.
	ErrMismatch = errors.ConstError("idempotency key was used for another request")
	// ErrMayHaveRun reports that another attempt holds or held the claim and
	// that no outcome is recorded.
	ErrMayHaveRun = errors.ConstError("call may have run already")
	// ErrNoClaim reports that the claim could not be acquired. This attempt has
	// not run the call and will not run it.
	ErrNoClaim = errors.ConstError("claim can't be had")
)

// Store is the subset of the platform's store that the claimer uses.
type Store interface {
	Get(ctx context.Context, path string) (storer.Object, error)
	Put(ctx context.Context, path string, data []byte, expect uint64) (storer.Revision, error)
	// Era returns the latest era of the store that is known.
	Era() uint64
}

// Claim is the exclusive right to send one call.
type Claim struct {
	path   string
	record record
	// revision is that of the stored record which the next write replaces, zero if
	// there is none.
	revision storer.Revision
}

const (
	queueSize        = 4096
	maxWriteAttempts = 40
	initialDelay     = 10 * time.Millisecond
	maxPollDelay     = 200 * time.Millisecond
)

// Claimer acquires claims and records their outcomes. Run must be running for
// outcomes to be written, and Restore for claims to survive the restore of the store
// from a backup.
type Claimer struct {
	store Store
	entry string
	// pending holds claims whose final record is to be written by Run.
	pending *ring.Ring[Claim]
	// unwritten counts final records that are neither written nor dropped.
	unwritten atomic.Int64
	granted   atomic.Int64
	replayed  atomic.Int64
	rejected  atomic.Int64
	dropped   atomic.Int64

	mu sync.Mutex
	// era is the latest era of the store that is known. Until reclaimUntil no claim is
	// granted.
	era          uint64
	reclaimUntil time.Time
	// retained holds the claims to write again in a new era, by path, and order their
	// paths, the first to be dropped first.
	retained map[string]*retainedClaim
	order    []retention
}

// New returns a claimer for the named entry.
func New(s Store, entry string) *Claimer {
	return &Claimer{store: s, entry: entry, pending: ring.New[Claim](queueSize)}
}

// Counts returns how many claims were granted, answered with a recorded outcome
// and rejected, and how many final records were dropped without being written.
func (c *Claimer) Counts() (granted, replayed, rejected, dropped int64) {
	return c.granted.Load(), c.replayed.Load(), c.rejected.Load(), c.dropped.Load()
}

// Pending returns the number of final records that are still to be written.
func (c *Claimer) Pending() int64 { return c.unwritten.Load() }

// Acquire tries to acquire the claim for a key of the service until ctx ends. It
// returns a claim, or the outcome that an earlier attempt recorded, or
// ErrMismatch, ErrMayHaveRun or ErrNoClaim.
func (c *Claimer) Acquire(ctx context.Context, service, key, digest string) (*Claim, *Outcome, error) {
	cl := &Claim{
		path:   Path(service, key),
		record: record{Attempt: storer.NewID(), Entry: c.entry, Fingerprint: digest, State: Claimed},
	}
	delay, mayBeWritten := initialDelay, false
	for {
		v, err := c.store.Put(ctx, cl.path, cl.record.encode(), cl.revision.Version)
		if err == nil {
			cl.revision, mayBeWritten = v, true
			c.observeEra(v.Era)
			wait := c.reclaimWait()
			if wait <= 0 {
				return c.grant(cl), nil, nil
			}
			if !sleepWithin(ctx, wait) {
				c.rejected.Add(1)
				c.enqueue(*cl, Void, nil)
				return nil, nil, errors.Trace(ErrNoClaim)
			}
			// Written again, unless the record has been replaced meanwhile.
			continue
		}
		mayBeWritten = mayBeWritten || errors.Is(err, storer.ErrUnavailable)
		o, err := c.inspect(ctx, cl)
		switch {
		case err == nil && o.State == Done:
			c.replayed.Add(1)
			return nil, o.Outcome, nil
		case err == nil && o.State == Claimed && o.Attempt == cl.record.Attempt:
			c.observeEra(cl.revision.Era)
			if c.reclaimWait() <= 0 {
				return c.grant(cl), nil, nil
			}
			continue
		case errors.Is(err, ErrMismatch), errors.Is(err, ErrMayHaveRun):
			c.rejected.Add(1)
			return nil, nil, err
		}
		held := err == nil && o.State == Claimed
		if sleeper.Sleep(ctx, delay); ctx.Err() != nil {
			c.rejected.Add(1)
			if mayBeWritten {
				c.enqueue(*cl, Void, nil)
			}
			if held {
				return nil, nil, errors.Trace(ErrMayHaveRun)
			}
			return nil, nil, errors.Trace(ErrNoClaim)
		}
		delay = min(2*delay, maxPollDelay)
		for held && ctx.Err() == nil {
			o, err = c.inspect(ctx, cl)
			if err != nil || o.State != Claimed {
				break
			}
			sleeper.Sleep(ctx, delay)
			delay = min(2*delay, maxPollDelay)
		}
	}
}

// grant counts and retains a claim that this attempt holds.
func (c *Claimer) grant(cl *Claim) *Claim {
	c.granted.Add(1)
	c.retain(*cl, cl.revision.Era)
	return cl
}

// sleepWithin sleeps if ctx does not end before. It reports whether it did.
func sleepWithin(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d {
		return false
	}
	sleeper.Sleep(ctx, d)
	return ctx.Err() == nil
}

// inspect reads the record at the claim's path. The claim may be acquired if
// there is no record or a void one. If the record is void, or is the claim of
// this attempt, inspect sets the revision that the next write expects.
func (c *Claimer) inspect(ctx context.Context, cl *Claim) (record, error) {
	o, err := c.store.Get(ctx, cl.path)
	if errors.Is(err, storer.ErrNotFound) {
		c.resetLost(cl)
		return record{State: Void}, nil
	}
	if err != nil {
		return record{}, err
	}
	r, err := decode(o.Data)
	if err != nil {
		return r, errors.WithType(err, ErrMayHaveRun)
	}
	if r.Attempt == cl.record.Attempt && r.State == Claimed {
		cl.revision = o.Revision()
		return r, nil
	}
	switch {
	case r.State == Void && o.Revision().Compare(cl.revision) > 0:
		cl.revision = o.Revision()
	case r.State == Void:
	case r.Fingerprint != cl.record.Fingerprint:
		return r, errors.Trace(ErrMismatch)
	case r.State == Lost:
		return r, errors.Trace(ErrMayHaveRun)
	}
	return r, nil
}

// RecordOutcome records the outcome of a call that ran.
func (c *Claimer) RecordOutcome(cl *Claim, o Outcome) {
	if len(o.Body) > MaxBody {
		o.Body, o.Omitted = nil, true
	}
	c.enqueue(*cl, Done, &o)
}

// Release releases the claim of a call that did not run and never will.
func (c *Claimer) Release(cl *Claim) { c.enqueue(*cl, Void, nil) }

// RecordLost records that a call may have run but its response is lost.
func (c *Claimer) RecordLost(cl *Claim) { c.enqueue(*cl, Lost, nil) }

// enqueue queues the final record of a claim for Run. If the queue is full, the
// oldest record is dropped.
func (c *Claimer) enqueue(cl Claim, s State, o *Outcome) {
	cl.record.State, cl.record.Outcome = s, o
	c.retainFinal(cl)
	c.unwritten.Add(1)
	if c.pending.Push(cl) {
		c.unwritten.Add(-1)
		c.dropped.Add(1)
	}
}

// Run writes final records until ctx ends. It may run in several goroutines.
func (c *Claimer) Run(ctx context.Context) error {
	for {
		cl, ok := c.pending.Pop(ctx)
		if !ok {
			return nil
		}
		c.write(ctx, cl)
		c.unwritten.Add(-1)
	}
}

// write replaces the claim by its final record. It stops as soon as the stored
// record is no longer the claim of this attempt.
func (c *Claimer) write(ctx context.Context, cl Claim) {
	delay := initialDelay
	for range maxWriteAttempts {
		v, err := c.store.Put(ctx, cl.path, cl.record.encode(), cl.revision.Version)
		if err == nil {
			c.confirm(&cl, v.Era)
			return
		}
		o, err := c.store.Get(ctx, cl.path)
		switch {
		case err == nil:
			r, err := decode(o.Data)
			own := err == nil && r.Attempt == cl.record.Attempt
			if !own && o.Revision().Compare(cl.revision) >= 0 || own && r.State == cl.record.State {
				return
			}
			if own && r.State == Claimed {
				cl.revision = o.Revision()
			}
		case errors.Is(err, storer.ErrNotFound):
			c.resetLost(&cl)
		}
		if sleeper.Sleep(ctx, delay); ctx.Err() != nil {
			break
		}
		delay = min(2*delay, time.Second)
	}
	c.dropped.Add(1)
}
