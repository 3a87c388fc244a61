package tracker

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"poplarwind/announcer"
	"poplarwind/internal/sleeper"
)

// Errors of a Source.
const (
	// ErrForgotten reports that the store does not remember that far back.
	ErrForgotten = errors.ConstError("store has dropped that history")
	// ErrUnavailable reports that the store gave no usable answer.
	ErrUnavailable = errors.ConstError("store gave no usable answer")
)

// Source reads the store.
type Source interface {
	// List reads all objects of a kind. A stale list may be seconds old and
	// costs less. It returns ErrUnavailable.
	List(ctx context.Context, k Kind, stale bool) (Delta, error)
	// Watch waits at most wait for a change behind a revision. It returns
	// ErrForgotten or ErrUnavailable.
	Watch(ctx context.Context, k Kind, after uint64, wait time.Duration) (Delta, error)
}

// Peers sends messages to other entries.
type Peers interface {
	// Send sends a message to a path of the member and decodes its answer.
	Send(ctx context.Context, m announcer.Member, path string, message, answer any) error
}

// Paths of messages between entries.
const (
	PathNews  = "/peer/news"
	PathState = "/peer/state"
)

const (
	// watchWait is how long a watch waits: the news of others is at most this
	// old while all is well, and every entry counts on it being under staleAge.
	watchWait = 750 * time.Millisecond
	// shortWait is the least time that a watch is worth beginning for.
	shortWait = 100 * time.Millisecond
	// tellDelay is how long news is held so that what comes at the same time
	// goes in the same message.
	tellDelay = 3 * time.Millisecond
	// answerWait is how long a call to the store may take beyond its wait.
	answerWait = 350 * time.Millisecond
	// staleAge is the age at which an entry that heard nothing reads by
	// itself. With answerWait it stays well within the two seconds in which a
	// change must be in force.
	staleAge = 1050 * time.Millisecond
	// checkEvery is how often an entry looks at the age of its copy.
	checkEvery = 100 * time.Millisecond
	// backOff is the pause after a failed read, with as much again at random.
	// Each further failure doubles the time for which an entry that need not
	// watch leaves the store alone, up to backOffMost: what keeps one entry from
	// the store mostly keeps them all, and the news of the first that reaches it
	// again is asked of each other meanwhile.
	backOff     = 250 * time.Millisecond
	backOffMost = 2 * time.Second
	// peersAsked is how many other entries are asked when the store can't be
	// read.
	peersAsked = 2
)

// Tracker keeps a State up to date.
type Tracker struct {
	state  *State
	source Source
	peers  Peers
	self   string
	live   func() []announcer.Member
	log    *slog.Logger
	// reachable holds whether the last call of each kind had an answer.
	reachable [Kinds]atomic.Bool
	// told wakes the goroutine that passes news on.
	told chan struct{}
	// start is when the process began, and settle how long it then waits for
	// the membership.
	start  time.Time
	settle time.Duration

	mu sync.Mutex
	// failures counts reads in a row without an answer, and next is until when
	// this entry leaves the store alone unless it is the one that watches.
	failures int
	next     time.Time
	// blind holds entries that watched and lost the store, and until when they
	// are passed over.
	blind map[string]time.Time
}

// New returns a tracker of the source for the entry named self; live returns
// the live entries in order of name, this one among them.
func New(s *State, source Source, peers Peers, self string, live func() []announcer.Member, log *slog.Logger) *Tracker {
	return &Tracker{state: s, source: source, peers: peers, self: self, live: live, log: log, told: make(chan struct{}, 1), start: time.Now(), settle: settleTime, blind: make(map[string]time.Time)}
}

// First says that the whole deployment starts for the first time. It must be
// called before Follow.
func (t *Tracker) First() { t.settle = firstSettle }

// Follow keeps the copy of one kind up to date until ctx ends.
func (t *Tracker) Follow(ctx context.Context, k Kind) error {
	for ctx.Err() == nil {
		m := t.state.Mark(time.Now(), k)
		settled := time.Since(t.start) - t.settle
		watch := settled > 0 && t.plan().Watch
		var err error
		switch {
		case m.AsOf == 0:
			// A list that is seconds old will do: news follows on it.
			err = t.list(ctx, k, true)
		case watch:
			err = t.watch(ctx, k, m.AsOf, untilBeat(time.Now()))
		case min(m.Age, settled) > staleAge && t.mayRead(time.Now()):
			err = t.watch(ctx, k, m.AsOf, time.Millisecond)
		case min(m.Age, settled) > staleAge:
			t.ask(ctx, k)
			sleeper.Sleep(ctx, backOff+rand.N(backOff))
			continue
		default:
			sleeper.Sleep(ctx, min(checkEvery, max(staleAge-min(m.Age, settled), 0)+time.Millisecond))
			continue
		}
		t.note(k, err)
		t.pace(time.Now(), err)
		if err != nil {
			if watch {
				t.hide(map[string]time.Duration{t.self: blindTime})
				t.wake()
			}
			t.ask(ctx, k)
			sleeper.Sleep(ctx, backOff+rand.N(backOff))
		}
	}
	return nil
}

const (
	// settleTime is how long an entry that has just started waits for the
	// membership before it takes itself for the one that watches: all entries
	// may have started just now. Those that are told nothing read by themselves
	// staleAge later: an entry must know the newest configuration three seconds
	// after its start.
	settleTime = 1800 * time.Millisecond
	// firstSettle is the same where the whole deployment starts for the first
	// time and nobody calls yet: with a hundred entries the membership takes
	// three seconds to spread, and each of them would read the store until then.
	firstSettle = 3500 * time.Millisecond
	// blindTime is how long an entry that lost the store does not watch it.
	blindTime = 5 * time.Second
)

// mayRead reports whether an entry that need not watch may read the store.
func (t *Tracker) mayRead(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.next)
}

// pace takes in how a read of the store ended.
func (t *Tracker) pace(now time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.failures, t.next = 0, time.Time{}
		return
	}
	pause := min(backOff<<min(t.failures, maxDoublings), backOffMost)
	t.failures++
	t.next = now.Add(pause/2 + rand.N(pause/2))
}

// maxDoublings keeps a pause within what a time.Duration holds.
const maxDoublings = 10

// plan returns this entry's part among those that can reach the store.
func (t *Tracker) plan() Plan { return MakePlan(t.self, t.seeing(time.Now())) }

// untilBeat returns how long a watch that begins now waits, so that the
// watches of all kinds end together and one message tells of them.
func untilBeat(now time.Time) time.Duration {
	d := watchWait - time.Duration(now.UnixNano()%int64(watchWait))
	if d < shortWait {
		d += watchWait
	}
	return d
}

// note logs when the store is lost or found again.
func (t *Tracker) note(k Kind, err error) {
	ok := err == nil
	if t.reachable[k].Swap(ok) == ok {
		return
	}
	if ok {
		t.log.Info("store answers", "kind", k.String())
	} else {
		t.log.Warn("store lost", "kind", k.String(), "error", err.Error(), "age_ms", t.state.Mark(time.Now(), k).Age.Milliseconds())
	}
}

// freshAge is the age up to which a copy counts as new enough not to be read
// again before a request is told that it has no route: a change is in force
// within the time in which any entry hears of it.
const freshAge = staleAge + checkEvery

// Refresh reads the store once unless the copy of the kind is new enough.
// It reports whether it read.
func (t *Tracker) Refresh(ctx context.Context, k Kind) bool {
	m := t.state.Mark(time.Now(), k)
	if m.AsOf > 0 && m.Age < freshAge {
		return false
	}
	var err error
	if m.AsOf == 0 {
		err = t.list(ctx, k, false)
	} else {
		err = t.watch(ctx, k, m.AsOf, time.Millisecond)
	}
	t.note(k, err)
	return err == nil
}

func (t *Tracker) list(ctx context.Context, k Kind, stale bool) error {
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	asked := time.Now()
	d, err := t.source.List(ctx, k, stale)
	if err != nil {
		return err
	}
	return t.apply(asked, d, "store")
}

func (t *Tracker) watch(ctx context.Context, k Kind, after uint64, wait time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, wait+answerWait)
	defer cancel()
	d, err := t.source.Watch(limited, k, after, wait)
	if errors.Is(err, ErrForgotten) {
		return t.list(ctx, k, false)
	}
	if err != nil {
		return err
	}
	if err := t.apply(time.Now(), d, "store"); !errors.Is(err, ErrGap) {
		return err
	}
	// Other entries told more in the meantime.
	return nil
}

// apply takes in a delta and has it passed on.
func (t *Tracker) apply(fresh time.Time, d Delta, from string) error {
	news, err := t.state.Apply(fresh, d)
	if err != nil {
		return err
	}
	for _, c := range news {
		t.report(d.Kind, c, d.AsOf, from)
	}
	t.wake()
	return nil
}

func (t *Tracker) report(k Kind, c Change, asOf uint64, from string) {
	attrs := []any{"kind", k.String(), "name", c.Name, "rev", c.Revision, "asof", asOf, "from", from}
	switch {
	case c.Gone:
		t.log.Info("object gone", attrs...)
	case c.Config == nil && c.Upstream == nil:
		t.log.Warn("object can't be read and counts for nothing", attrs...)
	case c.Upstream != nil:
		t.log.Info("upstream told", append(attrs, "service", c.Upstream.Service, "addr", c.Upstream.Addr, "leaving", c.Upstream.Leaving)...)
	}
}

func (t *Tracker) wake() {
	select {
	case t.told <- struct{}{}:
	default:
	}
}
