package tracker

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
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
	backOff = 250 * time.Millisecond
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
	// reads counts calls to the store, failed those without an answer.
	reads, failed atomic.Int64
	// reachable holds whether the last call of each kind had an answer.
	reachable [Kinds]atomic.Bool
	// told wakes the goroutine that passes news on.
	told chan struct{}
	// start is when the process began.
	start time.Time

	mu sync.Mutex
	// blind holds entries that watched and lost the store, and until when they
	// are passed over.
	blind map[string]time.Time
}

// New returns a tracker of the source for the entry named self; live returns
// the live entries in order of name, this one among them.
func New(s *State, source Source, peers Peers, self string, live func() []announcer.Member, log *slog.Logger) *Tracker {
	return &Tracker{state: s, source: source, peers: peers, self: self, live: live, log: log, told: make(chan struct{}, 1), start: time.Now(), blind: make(map[string]time.Time)}
}

// Reads returns how many calls were made to the store and how many failed.
func (t *Tracker) Reads() (all, failed int64) { return t.reads.Load(), t.failed.Load() }

// Follow keeps the copy of one kind up to date until ctx ends.
func (t *Tracker) Follow(ctx context.Context, k Kind) error {
	for ctx.Err() == nil {
		m := t.state.Mark(time.Now(), k)
		settled := time.Since(t.start) > settleTime
		watch := settled && t.plan().Watch
		var err error
		switch {
		case m.AsOf == 0:
			// A list that is seconds old will do: news follows on it.
			err = t.list(ctx, k, true)
		case watch:
			err = t.watch(ctx, k, m.AsOf, untilBeat(time.Now()))
		case m.Age > staleAge && settled:
			err = t.watch(ctx, k, m.AsOf, time.Millisecond)
		default:
			sleeper.Sleep(ctx, min(checkEvery, max(staleAge-m.Age, 0)+time.Millisecond))
			continue
		}
		t.note(k, err)
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
	// membership before it takes itself for the one that watches, or reads by
	// itself: all entries may have started just now.
	settleTime = 2 * time.Second
	// blindTime is how long an entry that lost the store does not watch it.
	blindTime = 5 * time.Second
)

// plan returns this entry's part among those that can reach the store.
func (t *Tracker) plan() Plan { return MakePlan(t.self, t.seeing(time.Now())) }

// seeing returns the live entries but those that lost the store.
func (t *Tracker) seeing(now time.Time) []announcer.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(t.live(), func(m announcer.Member) bool { return now.Before(t.blind[m.Name]) })
}

// hide takes in how much longer entries are passed over.
func (t *Tracker) hide(blind map[string]time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, d := range blind {
		if until := now.Add(min(d, blindTime)); until.After(t.blind[name]) {
			t.blind[name] = until
		}
	}
}

// hidden returns how much longer entries are passed over, and forgets those
// that no longer are.
func (t *Tracker) hidden(now time.Time) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.blind, func(_ string, until time.Time) bool { return !now.Before(until) })
	out := make(map[string]time.Duration, len(t.blind))
	for name, until := range t.blind {
		out[name] = until.Sub(now)
	}
	return out
}

// tellPlan returns whom to tell: an entry that lost the store just now still
// tells those that it did, so that they look to another one.
func (t *Tracker) tellPlan(blind map[string]time.Duration) []announcer.Member {
	if _, ok := blind[t.self]; ok {
		return MakePlan(t.self, t.live()).Tell
	}
	return t.plan().Tell
}

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
		t.failed.Add(1)
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
	t.reads.Add(1)
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
	t.reads.Add(1)
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

// News is what an entry passes on to others.
type News struct {
	From  string      `json:"from"`
	Marks [Kinds]Mark `json:"marks"`
	// Deltas are the last changes of each kind that has any.
	Deltas []Delta `json:"deltas,omitempty"`
	// Blind are entries that lost the store, and for how much longer they are
	// passed over.
	Blind map[string]time.Duration `json:"blind,omitempty"`
}

// Spread passes news on to the entries that this one tells, until ctx ends.
func (t *Tracker) Spread(ctx context.Context) error {
	var sent [Kinds]uint64
	for ctx.Err() == nil {
		select {
		case <-t.told:
		case <-ctx.Done():
			return nil
		}
		sleeper.Sleep(ctx, tellDelay)
		now := time.Now()
		n := News{From: t.self, Blind: t.hidden(now)}
		tell := t.tellPlan(n.Blind)
		if len(tell) == 0 {
			continue
		}
		for k := range Kinds {
			n.Marks[k] = t.state.Mark(now, k)
			if n.Marks[k].AsOf > sent[k] && sent[k] > 0 {
				n.Deltas = append(n.Deltas, t.state.Since(k, sent[k]))
			}
			sent[k] = n.Marks[k].AsOf
		}
		for _, m := range tell {
			go t.tell(ctx, m, n)
		}
	}
	return nil
}

func (t *Tracker) tell(ctx context.Context, m announcer.Member, n News) {
	var none struct{}
	if err := t.peers.Send(ctx, m, PathNews, n, &none); err != nil {
		t.log.Debug("news not delivered", "to", m.Name, "error", err.Error())
	}
}

// Hear takes in news of another entry. What does not follow on this entry's
// copy is fetched from it.
func (t *Tracker) Hear(ctx context.Context, n News) {
	now := time.Now()
	t.hide(n.Blind)
	fresh := len(n.Blind) > 0
	for _, d := range n.Deltas {
		if d.Kind < 0 || d.Kind >= Kinds {
			continue
		}
		if news, err := t.state.Apply(now.Add(-n.Marks[d.Kind].Age), d); err == nil {
			for _, c := range news {
				t.report(d.Kind, c, d.AsOf, n.From)
			}
		}
	}
	for k := range Kinds {
		if t.state.Refresh(now.Add(-n.Marks[k].Age), k, n.Marks[k].AsOf) {
			fresh = true
			continue
		}
		for _, m := range t.live() {
			if m.Name == n.From {
				go t.fetch(ctx, m, k)
			}
		}
	}
	if fresh {
		t.wake()
	}
}

// Query asks an entry for what it knows behind a revision.
type Query struct {
	Kind  Kind   `json:"kind"`
	After uint64 `json:"after"`
}

// Reply answers a Query.
type Reply struct {
	Mark  Mark  `json:"mark"`
	Delta Delta `json:"delta"`
}

// Answer answers a query of another entry.
func (t *Tracker) Answer(q Query) (Reply, error) {
	if q.Kind < 0 || q.Kind >= Kinds {
		return Reply{}, errors.NotValidf("kind %d", int(q.Kind))
	}
	return Reply{Mark: t.state.Mark(time.Now(), q.Kind), Delta: t.state.Since(q.Kind, q.After)}, nil
}

// Serve answers a message of another entry.
func (t *Tracker) Serve(ctx context.Context, path string, body []byte) (any, error) {
	switch path {
	case PathNews:
		var n News
		if err := json.Unmarshal(body, &n); err != nil {
			return nil, errors.Trace(err)
		}
		t.Hear(ctx, n)
		return struct{}{}, nil
	case PathState:
		var q Query
		if err := json.Unmarshal(body, &q); err != nil {
			return nil, errors.Trace(err)
		}
		return t.Answer(q)
	default:
		return nil, errors.NotFoundf("path %q", path)
	}
}

// ask asks a few other entries for what they know, since the store can't be
// read.
func (t *Tracker) ask(ctx context.Context, k Kind) {
	live := t.live()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	asked := 0
	for _, m := range live {
		if m.Name != t.self && asked < peersAsked {
			asked++
			t.fetch(ctx, m, k)
		}
	}
}

func (t *Tracker) fetch(ctx context.Context, m announcer.Member, k Kind) {
	var r Reply
	q := Query{Kind: k, After: t.state.Mark(time.Now(), k).AsOf}
	asked := time.Now()
	if err := t.peers.Send(ctx, m, PathState, q, &r); err != nil {
		t.log.Debug("peer not asked", "peer", m.Name, "error", err.Error())
		return
	}
	if r.Delta.Kind != k || r.Delta.AsOf == 0 {
		return
	}
	if err := t.apply(asked.Add(-r.Mark.Age), r.Delta, m.Name); err != nil {
		t.log.Debug("state of a peer not taken", "peer", m.Name, "error", err.Error())
	}
}
