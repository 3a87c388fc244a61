package claimer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"poplarwind/internal/ring"
	"poplarwind/internal/sleeper"
	"poplarwind/keeper"
)

const (
	// ErrMismatch reports that the key was used for another request.
	ErrMismatch = errors.ConstError("idempotency key was used for another request")
	// ErrMayHaveRun reports that another attempt holds or held the claim and
	// that no outcome is recorded.
	ErrMayHaveRun = errors.ConstError("call may have run already")
	// ErrNoClaim reports that the claim could not be had. Nothing was run
	// under it, and nothing will be by this attempt.
	ErrNoClaim = errors.ConstError("claim can't be had")
)

// Store is what the claimer needs of the platform's store.
type Store interface {
	Get(ctx context.Context, path string) (keeper.Object, error)
	Put(ctx context.Context, path string, data []byte, expect uint64) (uint64, error)
}

// Claim is the right to send one call.
type Claim struct {
	path    string
	record  record
	version uint64
}

const (
	settleRing  = 4096
	settleTries = 40
	pollStart   = 10 * time.Millisecond
	pollMax     = 200 * time.Millisecond
)

// Claimer takes and settles claims. Run must be running for settlements to
// be written.
type Claimer struct {
	store Store
	entry string
	// pending holds claims whose last record Run is to write.
	pending *ring.Ring[Claim]
	// open counts settlements that are neither written nor given up.
	open     atomic.Int64
	granted  atomic.Int64
	replayed atomic.Int64
	refused  atomic.Int64
	gaveUp   atomic.Int64
}

// New returns a claimer for the entry of the name.
func New(s Store, entry string) *Claimer {
	return &Claimer{store: s, entry: entry, pending: ring.New[Claim](settleRing)}
}

// Counts returns how many claims were granted, answered with a recorded
// outcome and refused, and how many settlements were given up.
func (c *Claimer) Counts() (granted, replayed, refused, gaveUp int64) {
	return c.granted.Load(), c.replayed.Load(), c.refused.Load(), c.gaveUp.Load()
}

// Pending returns how many settlements are still to be written.
func (c *Claimer) Pending() int64 { return c.open.Load() }

// Claim tries until ctx ends to take the claim for a key of the service. It
// returns a claim, or the outcome that an earlier attempt recorded, or
// ErrMismatch, ErrMayHaveRun or ErrNoClaim.
func (c *Claimer) Claim(ctx context.Context, service, key, digest string) (*Claim, *Outcome, error) {
	cl := &Claim{
		path:   Path(service, key),
		record: record{Attempt: keeper.NewID(), Entry: c.entry, Print: digest, State: Claimed},
	}
	poll, put := pollStart, false
	for {
		v, err := c.store.Put(ctx, cl.path, cl.record.encode(), cl.version)
		if err == nil {
			cl.version = v
			c.granted.Add(1)
			return cl, nil, nil
		}
		put = put || errors.Is(err, keeper.ErrUnavailable)
		o, err := c.inspect(ctx, cl)
		switch {
		case err == nil && o.State == Done:
			c.replayed.Add(1)
			return nil, o.Outcome, nil
		case err == nil && o.State == Claimed && o.Attempt == cl.record.Attempt:
			c.granted.Add(1)
			return cl, nil, nil
		case errors.Is(err, ErrMismatch), errors.Is(err, ErrMayHaveRun):
			c.refused.Add(1)
			return nil, nil, err
		}
		held := err == nil && o.State == Claimed
		if sleeper.Sleep(ctx, poll); ctx.Err() != nil {
			c.refused.Add(1)
			if put {
				c.settle(*cl, Void, nil)
			}
			if held {
				return nil, nil, errors.Trace(ErrMayHaveRun)
			}
			return nil, nil, errors.Trace(ErrNoClaim)
		}
		poll = min(2*poll, pollMax)
		for held && ctx.Err() == nil {
			o, err = c.inspect(ctx, cl)
			if err != nil || o.State != Claimed {
				break
			}
			sleeper.Sleep(ctx, poll)
			poll = min(2*poll, pollMax)
		}
	}
}

// inspect reads the record at the claim's path. Where the claim may be taken,
// because there is no record or a void one, it sets the version to expect.
func (c *Claimer) inspect(ctx context.Context, cl *Claim) (record, error) {
	o, err := c.store.Get(ctx, cl.path)
	if errors.Is(err, keeper.ErrAbsent) {
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
		cl.version = o.Version
		return r, nil
	}
	switch {
	case r.State == Void:
		cl.version = max(cl.version, o.Version)
	case r.Print != cl.record.Print:
		return r, errors.Trace(ErrMismatch)
	case r.State == Lost:
		return r, errors.Trace(ErrMayHaveRun)
	}
	return r, nil
}

// Done records the outcome of a call that ran.
func (c *Claimer) Done(cl *Claim, o Outcome) {
	if len(o.Body) > MaxBody {
		o.Body, o.Omitted = nil, true
	}
	c.settle(*cl, Done, &o)
}

// Void gives back the claim of a call that did not run and never will.
func (c *Claimer) Void(cl *Claim) { c.settle(*cl, Void, nil) }

// Lose records that a call may have run and has no answer.
func (c *Claimer) Lose(cl *Claim) { c.settle(*cl, Lost, nil) }

func (c *Claimer) settle(cl Claim, s State, o *Outcome) {
	cl.record.State, cl.record.Outcome = s, o
	c.open.Add(1)
	if c.pending.Push(cl) {
		c.open.Add(-1)
		c.gaveUp.Add(1)
	}
}

// Run writes settlements until ctx ends. Several may run at once.
func (c *Claimer) Run(ctx context.Context) error {
	for {
		cl, ok := c.pending.Pop(ctx)
		if !ok {
			return nil
		}
		c.write(ctx, cl)
		c.open.Add(-1)
	}
}

// write replaces the claim by its settlement. It stops as soon as the record
// is no longer the claim of this attempt.
func (c *Claimer) write(ctx context.Context, cl Claim) {
	wait := pollStart
	for range settleTries {
		_, err := c.store.Put(ctx, cl.path, cl.record.encode(), cl.version)
		if err == nil {
			return
		}
		o, err := c.store.Get(ctx, cl.path)
		if err == nil {
			r, err := decode(o.Data)
			mine := err == nil && r.Attempt == cl.record.Attempt
			if !mine && o.Version >= cl.version || mine && r.State == cl.record.State {
				return
			}
			if mine && r.State == Claimed {
				cl.version = o.Version
			}
		}
		if sleeper.Sleep(ctx, wait); ctx.Err() != nil {
			break
		}
		wait = min(2*wait, time.Second)
	}
	c.gaveUp.Add(1)
}
